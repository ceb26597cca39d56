package deployment

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"strings"
	"sync"
	"time"

	"github.com/currantturn/currantturn/platform/platformtest"
)

// Caller is a stand-in for a client.
type Caller struct {
	d     *Deployment
	index int
	conn  *net.UDPConn

	mu    sync.Mutex
	port  uint16
	flows map[uint16]*Flow
}

// Flow is a flow at its caller.
type Flow struct {
	ID       FlowID
	OpenedAt time.Time
	c        *Caller
	received chan platformtest.Packet

	mu       sync.Mutex
	sequence uint32
	acked    uint32
	open     bool
	closed   bool
	reset    bool
	requests int
}

// Reset is a reset that a caller got on a flow that was open.
type Reset struct {
	At     time.Time
	Flow   FlowID
	From   string // VM that sent it
	Holder *Host  // that holds the flow and is alive; nil if there is none
}

// NewCaller returns a caller with an address of its own.
func (d *Deployment) NewCaller() (*Caller, error) {
	d.mu.Lock()
	index := d.callers
	d.callers++
	d.mu.Unlock()
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(d.address(callerNet, index, callerPort)))
	if err != nil {
		return nil, err
	}
	c := &Caller{d: d, index: index, conn: conn, port: 20000, flows: make(map[uint16]*Flow)}
	d.closeAtEnd(func() { _ = conn.Close() })
	go c.serve()
	return c, nil
}

func (c *Caller) serve() {
	b := make([]byte, 2048)
	for {
		n, from, err := c.conn.ReadFromUDPAddrPort(b)
		if err != nil {
			return // closed at the end
		}
		p, ok := platformtest.Decode(b[:n])
		if !ok || !p.Intact && p.Flags != platformtest.Reset {
			c.d.Record.Add("caller", "gets a packet that nobody wrote so, from %s", from)
			continue
		}
		c.mu.Lock()
		f := c.flows[p.To.Port()]
		c.mu.Unlock()
		if f == nil || f.ID.Service != p.From {
			continue
		}
		if p.Flags&platformtest.Reset != 0 {
			f.receiveReset(from, &p)
		}
		select {
		case f.received <- p:
		default: // sent again
		}
	}
}

// receiveReset handles a reset, which the caller accepts if its number is near its last
// acknowledgement.
func (f *Flow) receiveReset(from netip.AddrPort, p *platformtest.Packet) {
	f.mu.Lock()
	distance := int32(p.Sequence - f.acked)
	accepted := f.open && !f.closed && !f.reset && distance <= resetWindow && distance >= -resetWindow
	f.reset = f.reset || accepted
	f.mu.Unlock()
	if !accepted {
		return
	}
	f.c.d.recordReset(f.ID, from.Addr(), !p.Intact)
}

// Outcome is the result of opening a flow.
type Outcome string

// Outcomes of opening a flow.
const (
	Opened     Outcome = "opened"
	Refused    Outcome = "reset"
	Unanswered Outcome = "no answer"
)

// Open opens a flow: it sends the opening packet and two copies.
func (c *Caller) Open(service netip.AddrPort) (*Flow, Outcome) {
	c.mu.Lock()
	c.port++
	f := &Flow{
		ID: FlowID{netip.AddrPortFrom(c.d.address(callerNet, c.index, 0).Addr(), c.port), service},
		c:  c, received: make(chan platformtest.Packet, 64), sequence: rand.Uint32(),
	}
	c.flows[c.port] = f
	c.mu.Unlock()
	c.d.Record.Add("caller", "opens %s", f.ID)
	f.OpenedAt = time.Now()
	f.send(platformtest.Open, "")
	copies := []<-chan time.Time{time.After(ResendAfter), time.After(secondCopy)}
	end := time.After(openTimeout)
	for {
		select {
		case <-copies[0]:
			f.resendOpening()
		case <-copies[1]:
			f.resendOpening()
		case <-end:
			c.d.Record.Add("caller", "gets no answer to the opening packet of %s", f.ID)
			f.forget()
			return f, Unanswered
		case p := <-f.received:
			switch {
			case p.Flags&platformtest.Reset != 0:
				c.d.Record.Add("caller", "gets a reset for the opening packet of %s", f.ID)
				f.forget()
				return f, Refused
			case p.Flags == platformtest.Open|platformtest.Ack:
				f.mu.Lock()
				f.sequence++
				f.acked, f.open = p.Sequence+1, true
				f.mu.Unlock()
				f.send(platformtest.Ack, "")
				return f, Opened
			}
		}
	}
}

// resendOpening sends a copy of the opening packet; the acknowledgement counts the copies.
func (f *Flow) resendOpening() {
	f.mu.Lock()
	f.acked++
	f.mu.Unlock()
	f.send(platformtest.Open, "")
}

// Request sends a request and returns whether it was answered before the deadline, and the
// ID of the host that answered.
func (f *Flow) Request(deadline time.Duration) (host string, ok bool) {
	f.mu.Lock()
	f.requests++
	attempt := fmt.Sprintf("%s-%d", f.ID.Caller, f.requests)
	f.mu.Unlock()
	data := "GET / HTTP/1.1\r\nX-Attempt-Id: " + attempt + "\r\n\r\n"
	f.c.d.Record.Add("caller", "sends %s on %s", attempt, f.ID)
	f.send(platformtest.Ack, data)
	wait := ResendAfter
	again, end := time.After(wait), time.After(deadline)
	for {
		select {
		case <-again:
			f.send(platformtest.Ack, data)
			wait = min(2*wait, maxResendInterval)
			again = time.After(wait)
		case <-end:
			f.c.d.Record.Add("caller", "gets no answer to %s", attempt)
			return "", false
		case p := <-f.received:
			if f.Ended() {
				f.c.d.Record.Add("caller", "gets no answer to %s: the flow was reset", attempt)
				return "", false
			}
			f.mu.Lock()
			current := p.Data != "" && p.Sequence == f.acked
			if current {
				f.acked += uint32(len(p.Data))
				f.sequence += uint32(len(data))
				f.closed = p.Flags&platformtest.Close != 0
			}
			f.mu.Unlock()
			if !current {
				if p.Data != "" {
					f.send(platformtest.Ack, "") // a copy
				}
				continue
			}
			f.send(platformtest.Ack, "")
			_, rest, _ := strings.Cut(p.Data, "X-Server-Signature: ")
			host, _, _ = strings.Cut(rest, "\r\n")
			f.c.d.Record.Add("caller", "gets the answer to %s from %s", attempt, host)
			return host, true
		}
	}
}

// Ended reports whether the flow was reset or closed by its host.
func (f *Flow) Ended() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.reset || f.closed
}

// Close closes the flow.
func (f *Flow) Close() {
	f.mu.Lock()
	ended := f.reset
	f.closed = true
	f.mu.Unlock()
	if !ended {
		f.send(platformtest.Close|platformtest.Ack, "")
	}
}

// forget makes later packets of the flow unexpected.
func (f *Flow) forget() {
	f.c.mu.Lock()
	defer f.c.mu.Unlock()
	delete(f.c.flows, f.ID.Caller.Port())
}

// send sends a packet to the balancer that the routers select.
func (f *Flow) send(flags byte, data string) {
	f.mu.Lock()
	p := platformtest.Packet{From: f.ID.Caller, To: f.ID.Service, Flags: flags, Sequence: f.sequence, Acked: f.acked, Data: data}
	f.mu.Unlock()
	to := f.c.d.address(balancerNet, f.c.d.Balancer(f.ID), callerPort)
	_, _ = f.c.conn.WriteToUDPAddrPort(p.Encode(), to) // a lost packet is sent again
}
