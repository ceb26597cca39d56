package soak

import (
	"errors"
	"net"
	"net/netip"
	"sync"

	"github.com/rotisserie/eris"
)

// subnet is the third byte of the addresses of one kind of machine.
type subnet byte

const (
	storeNet         subnet = 1 // proxies of the store, one for each balancer
	balancerNet      subnet = 2
	backendNet       subnet = 3 // as registered; the proxies of agents' links
	callerNet        subnet = 4
	agentNet         subnet = 5
	balancerProxyNet subnet = 6 // proxies of balancers' links
	originNet        subnet = 7 // the store behind its proxies
	serviceNet       subnet = 8 // addresses of services; nobody listens there
)

// blocks of addresses, below 127/8, that a run may take.
const (
	firstBlock = 32
	blocks     = 200
)

// network is the addresses and sockets of a run.
type network struct {
	block             byte
	balancers, agents int

	mu      sync.Mutex
	closers []func() error
}

// newNetwork takes the first free block of addresses from one that depends on
// the seed.
func newNetwork(seed uint64, balancers, agents int) (*network, error) {
	for n := range uint64(blocks) {
		w := &network{block: byte(firstBlock + (seed+n)%blocks), balancers: balancers, agents: agents}
		// Whoever holds this socket holds the block.
		if _, err := w.listen(w.at(serviceNet, 0, linkPort)); err == nil {
			return w, nil
		}
	}
	return nil, eris.New("no free block of loopback addresses")
}

func (n *network) at(s subnet, i int, port uint16) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, n.block, byte(s), byte(i + 1)}), port)
}

// index tells which machine of a kind an address belongs to.
func (n *network) index(s subnet, a netip.AddrPort) (int, bool) {
	ip := a.Addr().As4()
	return int(ip[3]) - 1, ip[1] == n.block && ip[2] == byte(s)
}

func (n *network) listen(at netip.AddrPort) (*net.UDPConn, error) {
	c, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(at))
	if err != nil {
		return nil, eris.Wrapf(err, "listen at %s", at)
	}
	n.closeLater(c.Close)
	return c, nil
}

func (n *network) listenTCP(at netip.AddrPort) (net.Listener, error) {
	ln, err := net.Listen("tcp4", at.String())
	if err != nil {
		return nil, eris.Wrapf(err, "listen at %s", at)
	}
	n.closeLater(ln.Close)
	return ln, nil
}

func (n *network) closeLater(f func() error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.closers = append(n.closers, f)
}

// close closes every socket; what fails is closed already.
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
