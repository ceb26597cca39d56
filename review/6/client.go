package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/currantturn/currantturn/platform/platformtest"
)

// Behaviour of clients and routers, from the platform's pages.
const (
	openTimeout   = 1400 * time.Millisecond
	deadline      = 1500 * time.Millisecond
	firstResend   = 200 * time.Millisecond
	probeInterval = 500 * time.Millisecond
	readyTimeout  = 400 * time.Millisecond
	maxMisses     = 2
)

// Outcomes of a request.
const (
	answered   = "answered"
	wasReset   = "reset"
	unanswered = "unanswered"
)

// received is a packet that a client received, with its sender.
type received struct {
	packet platformtest.Packet
	sender netip.AddrPort
}

// clients are the clients of one zone, with the routers in front of its balancers.
type clients struct {
	d    *deployment
	conn *net.UDPConn

	mu     sync.Mutex
	port   uint16
	flows  map[uint16]*flow
	misses []int // of the readiness probe, by balancer
}

func newClients(d *deployment) (*clients, error) {
	c := &clients{d: d, port: 20000, flows: make(map[uint16]*flow), misses: make([]int, len(d.balancers))}
	var err error
	c.conn, err = net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(d.ip(clientNet, 0), callerPort)))
	if err != nil {
		return nil, err
	}
	go c.serve()
	return c, nil
}

// probe probes the readiness of the balancers until stop is closed.
func (c *clients) probe(stop <-chan struct{}) {
	t := time.NewTicker(probeInterval)
	defer t.Stop()
	for {
		select {
		case <-stop:
			return
		case <-t.C:
		}
		for i := range c.d.balancers {
			go func() {
				ready := c.d.ready(i)
				c.mu.Lock()
				defer c.mu.Unlock()
				before := c.misses[i] >= maxMisses
				if ready {
					c.misses[i] = 0
				} else {
					c.misses[i]++
				}
				if out := c.misses[i] >= maxMisses; out != before {
					c.d.record.note("balancer %d is out of rotation: %t", i, out)
				}
			}()
		}
	}
}

// route returns the balancer that gets a flow's packets: only the flows of a balancer that
// leaves the rotation move to the other one.
func (c *clients) route(port uint16) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	first := int(port) % len(c.misses)
	if c.misses[first] < maxMisses {
		return first
	}
	return (first + 1) % len(c.misses)
}

func (c *clients) serve() {
	b := make([]byte, 2048)
	for {
		n, sender, err := c.conn.ReadFromUDPAddrPort(b)
		if err != nil {
			return // the socket is closed
		}
		p, ok := platformtest.Decode(b[:n])
		if !ok {
			continue
		}
		c.mu.Lock()
		f := c.flows[p.To.Port()]
		c.mu.Unlock()
		if f != nil {
			select {
			case f.received <- received{packet: p, sender: sender}:
			default: // the sender repeats it
			}
		}
	}
}

// flow is a flow of a client.
type flow struct {
	*clients
	from     netip.AddrPort
	received chan received
	sequence uint32 // of the next data
	acked    uint32 // next byte expected; before the flow is open, the number of copies sent
	isOpen   bool
	opened   time.Time
}

// newFlow returns a flow from a new port.
func (c *clients) newFlow() *flow {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.port++
	f := &flow{
		clients: c, from: netip.AddrPortFrom(c.d.ip(clientNet, 0), c.port), received: make(chan received, 64), sequence: rand.Uint32(),
	}
	c.flows[c.port] = f
	return f
}

// String returns the flow's port.
func (f *flow) String() string { return fmt.Sprintf("flow %d", f.from.Port()) }

func (f *flow) send(flags byte, data string) (balancer int) {
	p := platformtest.Packet{From: f.from, To: f.d.address(), Flags: flags, Sequence: f.sequence, Acked: f.acked, Data: data}
	balancer = f.route(f.from.Port())
	_, _ = f.conn.WriteToUDPAddrPort(p.Encode(), netip.AddrPortFrom(f.d.balancers[balancer].ip, callerPort))
	return balancer
}

// open sends the opening packet and up to two copies.
func (f *flow) open() bool {
	sent := func(n uint32) {
		f.acked = n
		f.d.record.note("%s: opening packet %d to balancer %d", f, n, f.send(platformtest.Open, ""))
	}
	sent(0)
	first, second, end := time.After(200*time.Millisecond), time.After(600*time.Millisecond), time.After(openTimeout)
	for {
		select {
		case <-first:
			sent(1)
		case <-second:
			sent(2)
		case <-end:
			f.d.record.note("%s: not opened", f)
			return false
		case r := <-f.received:
			switch {
			case r.packet.Flags&platformtest.Reset != 0:
				f.d.record.note("%s: reset before it was open", f)
				return false
			case r.packet.Flags == platformtest.Open|platformtest.Ack:
				f.sequence, f.acked = f.sequence+1, r.packet.Sequence+1
				return true
			}
		}
	}
}

// openAndRequest opens the flow and sends the first request.
func (f *flow) openAndRequest() {
	if !f.open() {
		return
	}
	f.opened = time.Now()
	outcome, _ := f.request(1)
	f.isOpen = outcome == answered
}

// request sends a request and returns its outcome, with the sender of a reset.
func (f *flow) request(n int) (outcome string, sender netip.AddrPort) {
	defer func() { f.d.record.note("%s: request %d: %s %v", f, n, outcome, sender) }()
	id := fmt.Sprintf("%s-request-%d", f.from, n)
	f.send(platformtest.Ack, id)
	wait, end := firstResend, time.After(deadline)
	again := time.After(wait)
	for {
		select {
		case <-again:
			f.send(platformtest.Ack, id)
			wait *= 2
			again = time.After(wait)
		case <-end:
			f.send(platformtest.Reset, "")
			return unanswered, sender
		case r := <-f.received:
			switch {
			case r.packet.Flags&platformtest.Reset != 0:
				return wasReset, r.sender
			case r.packet.Data == "200 "+id && r.packet.Sequence == f.acked:
				f.sequence += uint32(len(id))
				f.acked += uint32(len(r.packet.Data))
				f.send(platformtest.Ack, "")
				return answered, sender
			}
		}
	}
}

// close ends the flow.
func (f *flow) close() {
	f.send(platformtest.Close|platformtest.Ack, "")
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.flows, f.from.Port())
}
