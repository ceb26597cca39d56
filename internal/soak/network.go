package soak

import (
	"errors"
	"net"
	"net/netip"
	"sync"

	"github.com/rotisserie/eris"
)

// subnet is the third byte of the addresses of one kind of endpoint.
type subnet byte

const (
	storeProxyNet    subnet = 1 // TCP proxies in front of the store, by balancer
	balancerNet      subnet = 2
	agentProxyNet    subnet = 3 // the link proxy's sockets for agents, registered as the backend servers' addresses
	callerNet        subnet = 4
	agentNet         subnet = 5
	balancerProxyNet subnet = 6 // the link proxy's sockets for balancers
	storeNet         subnet = 7 // the store's servers behind the proxies, by balancer
	serviceNet       subnet = 8 // one socket, which reserves the address block
)

// Address blocks below 127/8 that runs use; the block is the second byte.
const (
	firstAddressBlock = 32
	addressBlocks     = 200
)

// network holds the address block and the sockets of a run.
type network struct {
	block             byte
	balancers, agents int

	mu      sync.Mutex
	closers []func() error
}

// newNetwork reserves the first free address block, starting from one that depends on
// the seed, so that several runs can share a host.
func newNetwork(seed uint64, balancers, agents int) (*network, error) {
	for offset := range uint64(addressBlocks) {
		n := &network{block: byte(firstAddressBlock + (seed+offset)%addressBlocks), balancers: balancers, agents: agents}
		// This socket reserves the block.
		if _, err := n.listen(n.address(serviceNet, 0, linkPort)); err == nil {
			return n, nil
		}
	}
	return nil, eris.New("no free block of loopback addresses")
}

// address returns the address of endpoint i of a subnet.
func (n *network) address(s subnet, i int, port uint16) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, n.block, byte(s), byte(i + 1)}), port)
}

// endpointIndex returns the index of the endpoint with the address, and whether the
// address belongs to the subnet.
func (n *network) endpointIndex(s subnet, a netip.AddrPort) (int, bool) {
	ip := a.Addr().As4()
	return int(ip[3]) - 1, ip[1] == n.block && ip[2] == byte(s)
}

func (n *network) listen(at netip.AddrPort) (*net.UDPConn, error) {
	c, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(at))
	if err != nil {
		return nil, eris.Wrapf(err, "listen at %s", at)
	}
	n.closeAtEnd(c.Close)
	return c, nil
}

func (n *network) listenTCP(at netip.AddrPort) (net.Listener, error) {
	ln, err := net.Listen("tcp4", at.String())
	if err != nil {
		return nil, eris.Wrapf(err, "listen at %s", at)
	}
	n.closeAtEnd(ln.Close)
	return ln, nil
}

func (n *network) closeAtEnd(f func() error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.closers = append(n.closers, f)
}

// close closes every socket; one that fails to close is closed already.
func (n *network) close() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, f := range n.closers {
		_ = f()
	}
}

func isClosed(err error) bool {
	return errors.Is(err, net.ErrClosed)
}
