package harness

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/currantturn/currantturn/platform/platformtest"
)

// Outcomes of a flow other than an answer.
var (
	ErrNotOpened = errors.New("the flow was not opened")
	ErrReset     = errors.New("the flow was reset")
	ErrSilence   = errors.New("no answer within the deadline")
)

// Client is a stand-in for a client's machine, which opens flows.
type Client struct {
	address netip.Addr
	port    uint16 // at which it receives packets
	zone    string
	routers *Routers
	record  *Record
	conn    *net.UDPConn

	mu       sync.Mutex
	rng      *rand.Rand
	lastPort uint16
	flows    map[uint16]chan received
	attempts int
}

type received struct {
	packet platformtest.Packet
	from   netip.AddrPort
}

func newClient(address netip.Addr, port uint16, zone string, routers *Routers, record *Record) (*Client, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(address, port)))
	if err != nil {
		return nil, err
	}
	c := &Client{
		address: address, port: port, zone: zone, routers: routers, record: record, conn: conn, lastPort: 20000,
		rng:   rand.New(rand.NewPCG(uint64(time.Now().UnixNano()), uint64(address.As4()[3]))),
		flows: make(map[uint16]chan received),
	}
	go c.serve()
	return c, nil
}

func (c *Client) serve() {
	b := make([]byte, 2048)
	for {
		n, from, err := c.conn.ReadFromUDPAddrPort(b)
		if err != nil {
			return
		}
		p, ok := platformtest.Decode(b[:n])
		if !ok || !p.Intact && p.Flags != platformtest.Reset {
			c.record.Printf("client %s: MIXED packet that its sender did not write so", c.address)
			continue
		}
		c.mu.Lock()
		f := c.flows[p.To.Port()]
		c.mu.Unlock()
		if f == nil {
			continue
		}
		select {
		case f <- received{packet: p, from: from}:
		default: // the flow will send again
		}
	}
}

// Flow is a flow at its client.
type Flow struct {
	ID       FlowID
	client   *Client
	received chan received
	next     uint32 // sequence number of the next data
	acked    uint32 // next byte expected of the host; before the flow is open, the copies of the SYN
	OpenedAt time.Time
	LastUsed time.Time
	// ResetBy is the process that sent the reset, and ResetByHost whether the host wrote it.
	ResetBy     netip.AddrPort
	ResetByHost bool
	Took        []string // balancers that the packets of the last request were sent to
}

// NewFlow returns a flow that is not open yet.
func (c *Client) NewFlow(service netip.AddrPort) *Flow {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastPort++
	f := &Flow{
		ID:     FlowID{Client: netip.AddrPortFrom(c.address, c.lastPort), Service: service},
		client: c, received: make(chan received, 64), next: c.rng.Uint32(),
	}
	c.flows[c.lastPort] = f.received
	return f
}

// Open sends the SYN, and copies after 200 and 600 ms, until it is answered. It gives up
// after 1.4 s.
func (f *Flow) Open(ctx context.Context) error {
	end := time.After(1400 * time.Millisecond)
	copies := []<-chan time.Time{time.After(200 * time.Millisecond), time.After(600 * time.Millisecond)}
	f.send(platformtest.Open, "")
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-copies[0]:
			f.acked = 1
			f.send(platformtest.Open, "")
		case <-copies[1]:
			f.acked = 2
			f.send(platformtest.Open, "")
		case <-end:
			f.client.record.Printf("client: %s was not answered", f.ID)
			return ErrNotOpened
		case r := <-f.received:
			switch {
			case r.packet.Flags&platformtest.Reset != 0:
				f.client.record.Printf("client: %s was refused by %s", f.ID, r.from)
				return ErrNotOpened
			case r.packet.Flags == platformtest.Open|platformtest.Ack:
				f.next++
				f.acked = r.packet.Sequence + 1
				f.OpenedAt, f.LastUsed = time.Now(), time.Now()
				f.send(platformtest.Ack, "")
				return nil
			}
		}
	}
}

// Request sends a request and repeats it until it is answered or the deadline has passed.
func (f *Flow) Request(ctx context.Context, deadline time.Duration) (attempt string, err error) {
	c := f.client
	c.mu.Lock()
	c.attempts++
	attempt = fmt.Sprintf("%s-%d", c.address, c.attempts)
	c.mu.Unlock()
	data := fmt.Sprintf("POST /work HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s\r\nContent-Length: 0\r\n\r\n", f.ID.Service, attempt)
	end := time.After(deadline)
	wait := firstRepeat
	f.Took = nil
	f.send(platformtest.Ack, data)
	c.record.Printf("client: %s sends %s to %v", f.ID, attempt, f.Took)
	again := time.After(wait)
	for {
		select {
		case <-ctx.Done():
			return attempt, ctx.Err()
		case <-again:
			f.send(platformtest.Ack, data)
			wait = min(2*wait, lastRepeat)
			again = time.After(wait)
		case <-end:
			c.record.Printf("client: %s got no answer to %s", f.ID, attempt)
			return attempt, ErrSilence
		case r := <-f.received:
			switch {
			case r.packet.Flags&platformtest.Reset != 0:
				if !r.packet.Intact && !near(r.packet.Sequence, f.acked) {
					c.record.Printf("client: %s ignores a reset by %s, which is out of its window", f.ID, r.from)
					continue
				}
				f.ResetBy, f.ResetByHost = r.from, r.packet.Intact
				c.record.Printf("client: %s was reset by %s while %s waited, written by a host: %t", f.ID, r.from, attempt, r.packet.Intact)
				return attempt, ErrReset
			case r.packet.Data != "" && r.packet.Sequence == f.acked:
				f.acked += uint32(len(r.packet.Data))
				f.next += uint32(len(data))
				f.LastUsed = time.Now()
				f.send(platformtest.Ack, "")
				c.record.Printf("client: %s got the answer to %s", f.ID, attempt)
				return attempt, nil
			}
		}
	}
}

// Close sends the end of the flow.
func (f *Flow) Close() { f.send(platformtest.Close|platformtest.Ack, "") }

// near reports whether a reset is within the window of the client's last acknowledgement.
func near(sequence, acked uint32) bool {
	return sequence-acked <= 76800 || acked-sequence <= 76800
}

func (f *Flow) send(flags byte, data string) {
	p := platformtest.Packet{From: f.ID.Client, To: f.ID.Service, Flags: flags, Sequence: f.next, Acked: f.acked, Data: data}
	to, name := f.client.routers.Pick(f.ID, f.client.zone)
	f.Took = append(f.Took, name)
	_, _ = f.client.conn.WriteToUDPAddrPort(p.Encode(), to) // a lost packet is sent again
}
