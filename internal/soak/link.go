package soak

import (
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"
)

// linkState is how the datagrams between a balancer and an agent fare.
type linkState struct {
	cutToAgent    int // how many faults cut this direction
	cutToBalancer int
	lossy         int
	slow          int
}

// links carries the datagrams between balancers and agents: each balancer sees
// the agents at addresses of the proxy, and each agent the balancers.
type links struct {
	net       *network
	toAgents  []*net.UDPConn // by balancer, as agents see it
	toBalance []*net.UDPConn // by agent, as balancers see it

	mu    sync.Mutex
	rng   *rand.Rand
	state [][]linkState // by balancer and agent
}

func newLinks(n *network, seed uint64) (*links, error) {
	l := &links{net: n, rng: rand.New(rand.NewPCG(seed, 23)), state: make([][]linkState, n.balancers)}
	for i := range n.balancers {
		l.state[i] = make([]linkState, n.agents)
		c, err := n.listen(n.at(balancerProxyNet, i, linkPort))
		if err != nil {
			return nil, err
		}
		l.toAgents = append(l.toAgents, c)
	}
	for j := range n.agents {
		c, err := n.listen(n.at(backendNet, j, linkPort))
		if err != nil {
			return nil, err
		}
		l.toBalance = append(l.toBalance, c)
	}
	for i, c := range l.toAgents {
		go serveDatagrams(c, func(from netip.AddrPort, b []byte) {
			if j, ok := n.index(agentNet, from); ok {
				l.pass(i, j, false, b)
			}
		})
	}
	for j, c := range l.toBalance {
		go serveDatagrams(c, func(from netip.AddrPort, b []byte) {
			if i, ok := n.index(balancerNet, from); ok {
				l.pass(i, j, true, b)
			}
		})
	}
	return l, nil
}

// change applies f to the links of a balancer and an agent; -1 stands for all.
func (l *links) change(balancer, agent int, f func(*linkState)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for i := range l.state {
		for j := range l.state[i] {
			if (balancer < 0 || balancer == i) && (agent < 0 || agent == j) {
				f(&l.state[i][j])
			}
		}
	}
}

func (l *links) pass(balancer, agent int, toAgent bool, b []byte) {
	l.mu.Lock()
	s := l.state[balancer][agent]
	lost := s.lossy > 0 && l.rng.Float64() < linkLoss
	var delay time.Duration
	if s.slow > 0 {
		delay = time.Duration(l.rng.Int64N(int64(linkDelay)))
	}
	l.mu.Unlock()
	if lost || toAgent && s.cutToAgent > 0 || !toAgent && s.cutToBalancer > 0 {
		return
	}
	from, to := l.toAgents[balancer], l.net.at(agentNet, agent, linkPort)
	if !toAgent {
		from, to = l.toBalance[agent], l.net.at(balancerNet, balancer, linkPort)
	}
	if delay == 0 {
		write(from, to, b)
		return
	}
	late := append([]byte(nil), b...)
	time.AfterFunc(delay, func() { write(from, to, late) })
}

// write sends a datagram; a receiver that is down loses it.
func write(c *net.UDPConn, to netip.AddrPort, b []byte) {
	_, _ = c.WriteToUDPAddrPort(b, to)
}

// serveDatagrams calls take until the socket is closed.
func serveDatagrams(c *net.UDPConn, take func(from netip.AddrPort, b []byte)) {
	b := make([]byte, 2048)
	for {
		n, from, err := c.ReadFromUDPAddrPort(b)
		if isClosed(err) {
			return
		}
		if err == nil { // else a receiver of an earlier datagram is down
			take(netip.AddrPortFrom(from.Addr().Unmap(), from.Port()), b[:n])
		}
	}
}
