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

// Behaviour of clients, from the platform's pages.
const (
	openTimeout = 1400 * time.Millisecond
	deadline    = 1500 * time.Millisecond
	firstResend = 200 * time.Millisecond
)

// attempt is one attempt of a client, in a flow of its own.
type attempt struct {
	id       string
	balancer int
	received chan platformtest.Packet
	mu       sync.Mutex
	sent     []time.Time // the copies of its opening packet
}

// clients are the clients, with the routers in front of the balancers: each flow stays at one
// balancer, since both stay in rotation.
type clients struct {
	d    *deployment
	conn *net.UDPConn

	mu       sync.Mutex
	port     uint16
	flows    map[uint16]*attempt
	attempts map[string]*attempt
}

func newClients(d *deployment) (*clients, error) {
	c := &clients{d: d, port: 20000, flows: make(map[uint16]*attempt), attempts: make(map[string]*attempt)}
	var err error
	c.conn, err = net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(d.ip(clientNet, 0), callerPort)))
	if err != nil {
		return nil, err
	}
	go c.serve()
	return c, nil
}

func (c *clients) serve() {
	b := make([]byte, 2048)
	for {
		n, _, err := c.conn.ReadFromUDPAddrPort(b)
		if err != nil {
			return // the socket is closed
		}
		p, ok := platformtest.Decode(b[:n])
		if !ok {
			continue
		}
		c.mu.Lock()
		a := c.flows[p.To.Port()]
		c.mu.Unlock()
		if a != nil {
			select {
			case a.received <- p:
			default: // the sender repeats it
			}
		}
	}
}

// load starts an attempt at each interval until stop is closed, and waits for the last ones.
func (c *clients) load(every time.Duration, stop <-chan struct{}) {
	var wg sync.WaitGroup
	defer wg.Wait()
	t := time.NewTicker(every)
	defer t.Stop()
	for {
		select {
		case <-stop:
			return
		case <-t.C:
			wg.Go(c.attempt)
		}
	}
}

// attempt opens a flow, sends one request and closes the flow.
func (c *clients) attempt() {
	c.mu.Lock()
	c.port++
	port := c.port
	a := &attempt{id: fmt.Sprintf("attempt-%d", port), balancer: int(port % 2), received: make(chan platformtest.Packet, 16)}
	c.flows[port], c.attempts[a.id] = a, a
	c.mu.Unlock()
	defer func() {
		c.mu.Lock()
		delete(c.flows, port)
		c.mu.Unlock()
	}()
	outcome := c.play(a, port)
	c.d.record.note("%s through balancer %d: %s", a.id, a.balancer, outcome)
}

// play plays the attempt and returns its outcome.
func (c *clients) play(a *attempt, port uint16) string {
	from := netip.AddrPortFrom(c.d.ip(clientNet, 0), port)
	balancer := netip.AddrPortFrom(c.d.balancers[a.balancer].ip, callerPort)
	sequence := rand.Uint32()
	acked := uint32(0)
	send := func(flags byte, data string) {
		p := platformtest.Packet{From: from, To: c.d.address(), Flags: flags, Sequence: sequence, Acked: acked, Data: data}
		_, _ = c.conn.WriteToUDPAddrPort(p.Encode(), balancer)
	}
	open := func(n uint32) {
		acked = n
		a.mu.Lock()
		a.sent = append(a.sent, time.Now())
		a.mu.Unlock()
		send(platformtest.Open, "")
	}
	open(0)
	first, second, end := time.After(200*time.Millisecond), time.After(600*time.Millisecond), time.After(openTimeout)
	for opened := false; !opened; {
		select {
		case <-first:
			open(1)
		case <-second:
			open(2)
		case <-end:
			return "not opened"
		case p := <-a.received:
			switch {
			case p.Flags&platformtest.Reset != 0:
				return "reset before it was open"
			case p.Flags == platformtest.Open|platformtest.Ack:
				sequence, acked, opened = sequence+1, p.Sequence+1, true
			}
		}
	}
	send(platformtest.Ack, a.id)
	wait, end := firstResend, time.After(deadline)
	again := time.After(wait)
	for {
		select {
		case <-again:
			send(platformtest.Ack, a.id)
			wait *= 2
			again = time.After(wait)
		case <-end:
			send(platformtest.Reset, "")
			return "no answer before the deadline"
		case p := <-a.received:
			switch {
			case p.Flags&platformtest.Reset != 0:
				return "reset while open"
			case p.Data == "200 "+a.id:
				sequence += uint32(len(a.id))
				acked = p.Sequence + uint32(len(p.Data))
				send(platformtest.Close|platformtest.Ack, "")
				return "200"
			}
		}
	}
}

// ran records that a backend server of a service runs an attempt's request, in the flow that
// a copy of the attempt's opening packet opened.
func (c *clients) ran(id, service string, copies uint32) {
	now := time.Now()
	c.mu.Lock()
	a := c.attempts[id]
	c.mu.Unlock()
	if a == nil {
		c.d.record.note("service %s runs %q, which no client sent", service, id)
		return
	}
	a.mu.Lock()
	sent := a.sent[copies]
	a.mu.Unlock()
	c.d.addRun(a.balancer, served{attempt: id, service: service, at: now, openingSent: sent, copies: copies})
	c.d.record.note("%s is run by service %s; opening packet %d was sent %s ago", id, service, copies, now.Sub(sent).Round(time.Millisecond))
}
