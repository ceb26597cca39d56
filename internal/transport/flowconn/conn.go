package flowconn

import (
	"net"
	"net/netip"
	"os"
	"sync"
	"sync/atomic"
	"time"
)

const (
	queuePackets = 4096
	packetBytes  = 2048
)

type datagram struct {
	from netip.AddrPort
	p    []byte
}

// Writer sends an answer to a caller.
type Writer func(caller netip.AddrPort, p []byte)

// Conn is a net.PacketConn over delivered packets.
type Conn struct {
	local    netip.AddrPort
	write    Writer
	queue    chan datagram
	done     chan struct{}
	once     sync.Once
	mu       sync.Mutex
	deadline time.Time
	changed  chan struct{} // closed when the deadline changes

	delivered, dropped, answered atomic.Uint64
}

var packets = sync.Pool{New: func() any { return make([]byte, 0, packetBytes) }}

// New returns a connection that stands for the given service address.
func New(local netip.AddrPort, write Writer) *Conn {
	return &Conn{
		local:   local,
		write:   write,
		queue:   make(chan datagram, queuePackets),
		done:    make(chan struct{}),
		changed: make(chan struct{}),
	}
}

// Deliver queues a caller's packet; it drops it when the queue is full.
func (c *Conn) Deliver(caller netip.AddrPort, p []byte) {
	d := datagram{from: caller, p: append(packets.Get().([]byte)[:0], p...)}
	select {
	case c.queue <- d:
		c.delivered.Add(1)
	default:
		c.dropped.Add(1)
		packets.Put(d.p) //nolint:staticcheck // as below
	}
}

// Counters are a connection's totals since its start.
type Counters struct {
	Delivered uint64 `json:"delivered"` // callers' packets queued for QUIC
	Dropped   uint64 `json:"dropped"`   // callers' packets dropped because the queue was full
	Answered  uint64 `json:"answered"`  // packets of QUIC handed on towards callers
}

// Counters returns the totals so far.
func (c *Conn) Counters() Counters {
	return Counters{Delivered: c.delivered.Load(), Dropped: c.dropped.Load(), Answered: c.answered.Load()}
}

// ReadFrom waits for the next delivered packet.
func (c *Conn) ReadFrom(p []byte) (int, net.Addr, error) {
	for {
		c.mu.Lock()
		deadline, changed := c.deadline, c.changed
		c.mu.Unlock()
		d, again, err := c.wait(deadline, changed)
		if err != nil {
			return 0, nil, err
		}
		if again {
			continue
		}
		n := copy(p, d.p)
		packets.Put(d.p) //nolint:staticcheck // a slice header costs less than a wrapper here
		return n, net.UDPAddrFromAddrPort(d.from), nil
	}
}

func (c *Conn) wait(deadline time.Time, changed chan struct{}) (d datagram, again bool, err error) {
	var expired <-chan time.Time
	if !deadline.IsZero() {
		t := time.NewTimer(time.Until(deadline))
		defer t.Stop()
		expired = t.C
	}
	select {
	case d = <-c.queue:
		return d, false, nil
	case <-changed:
		return d, true, nil
	case <-expired:
		return d, false, os.ErrDeadlineExceeded
	case <-c.done:
		return d, false, net.ErrClosed
	}
}

// WriteTo sends an answer to a caller.
func (c *Conn) WriteTo(p []byte, addr net.Addr) (int, error) {
	select {
	case <-c.done:
		return 0, net.ErrClosed
	default:
	}
	to, ok := addr.(*net.UDPAddr)
	if !ok {
		return 0, net.InvalidAddrError("not a datagram address")
	}
	ap := to.AddrPort()
	c.answered.Add(1)
	c.write(netip.AddrPortFrom(ap.Addr().Unmap(), ap.Port()), p)
	return len(p), nil
}

// Close ends pending reads.
func (c *Conn) Close() error {
	c.once.Do(func() { close(c.done) })
	return nil
}

// LocalAddr is the service address.
func (c *Conn) LocalAddr() net.Addr {
	return net.UDPAddrFromAddrPort(c.local)
}

// SetDeadline sets the read deadline; writes never block.
func (c *Conn) SetDeadline(t time.Time) error {
	return c.SetReadDeadline(t)
}

// SetReadDeadline ends pending and later reads at t.
func (c *Conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.deadline = t
	close(c.changed)
	c.changed = make(chan struct{})
	return nil
}

// SetWriteDeadline does nothing, because writes never block.
func (c *Conn) SetWriteDeadline(time.Time) error {
	return nil
}
