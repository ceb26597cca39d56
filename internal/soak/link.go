package soak

import (
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"
)

// linkState counts the active faults of the link between a balancer and an agent.
type linkState struct {
	cutToAgent    int // faults that drop datagrams in this direction
	cutToBalancer int
	lossy         int // faults that drop a share of the datagrams
	slow          int // faults that delay datagrams
}

// linkProxy forwards the datagrams between balancers and agents. Each side sees the
// other at addresses of the proxy.
type linkProxy struct {
	net          *network
	agentSide    []*net.UDPConn // sockets by balancer, at the address that agents see
	balancerSide []*net.UDPConn // sockets by agent, at the address that balancers see

	mu     sync.Mutex
	rng    *rand.Rand
	states [][]linkState // by balancer and agent
}

func newLinkProxy(n *network, seed uint64) (*linkProxy, error) {
	l := &linkProxy{net: n, rng: rand.New(rand.NewPCG(seed, 23)), states: make([][]linkState, n.balancers)}
	for i := range n.balancers {
		l.states[i] = make([]linkState, n.agents)
		c, err := n.listen(n.address(balancerProxyNet, i, linkPort))
		if err != nil {
			return nil, err
		}
		l.agentSide = append(l.agentSide, c)
	}
	for j := range n.agents {
		c, err := n.listen(n.address(agentProxyNet, j, linkPort))
		if err != nil {
			return nil, err
		}
		l.balancerSide = append(l.balancerSide, c)
	}
	for i, c := range l.agentSide {
		go serveDatagrams(c, func(from netip.AddrPort, b []byte) {
			if j, ok := n.endpointIndex(agentNet, from); ok {
				l.forward(i, j, false, b)
			}
		})
	}
	for j, c := range l.balancerSide {
		go serveDatagrams(c, func(from netip.AddrPort, b []byte) {
			if i, ok := n.endpointIndex(balancerNet, from); ok {
				l.forward(i, j, true, b)
			}
		})
	}
	return l, nil
}

// change applies f to the links between a balancer and an agent; -1 stands for all.
func (l *linkProxy) change(balancer, agent int, f func(*linkState)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for i := range l.states {
		for j := range l.states[i] {
			if (balancer < 0 || balancer == i) && (agent < 0 || agent == j) {
				f(&l.states[i][j])
			}
		}
	}
}

// forward forwards a datagram, unless a fault of its link drops or delays it.
func (l *linkProxy) forward(balancer, agent int, toAgent bool, b []byte) {
	l.mu.Lock()
	s := l.states[balancer][agent]
	lost := s.lossy > 0 && l.rng.Float64() < linkLossRate
	var delay time.Duration
	if s.slow > 0 {
		delay = time.Duration(l.rng.Int64N(int64(maxLinkDelay)))
	}
	l.mu.Unlock()
	if lost || toAgent && s.cutToAgent > 0 || !toAgent && s.cutToBalancer > 0 {
		return
	}
	from, to := l.agentSide[balancer], l.net.address(agentNet, agent, linkPort)
	if !toAgent {
		from, to = l.balancerSide[agent], l.net.address(balancerNet, balancer, linkPort)
	}
	if delay == 0 {
		sendDatagram(from, to, b)
		return
	}
	delayed := append([]byte(nil), b...)
	time.AfterFunc(delay, func() { sendDatagram(from, to, delayed) })
}

// sendDatagram sends a datagram; errors count as loss, as when the receiver is down.
func sendDatagram(c *net.UDPConn, to netip.AddrPort, b []byte) {
	_, _ = c.WriteToUDPAddrPort(b, to)
}

// serveDatagrams calls handle for each datagram until the socket is closed. The
// buffer is valid only during the call.
func serveDatagrams(c *net.UDPConn, handle func(from netip.AddrPort, b []byte)) {
	b := make([]byte, 2048)
	for {
		n, from, err := c.ReadFromUDPAddrPort(b)
		if isClosed(err) {
			return
		}
		if err == nil { // an error means that the receiver of an earlier datagram is down
			handle(netip.AddrPortFrom(from.Addr().Unmap(), from.Port()), b[:n])
		}
	}
}
