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
	// queuePackets is the largest number of delivered packets that wait to be read.
	queuePackets = 4096
	// bufferBytes is the initial capacity of a packet's buffer.
	bufferBytes = 2048
)

// datagram is a queued packet; its payload is from bufferPool.
type datagram struct {
	from    netip.AddrPort
	payload []byte
}

// Writer sends an answer to a caller.
type Writer func(caller netip.AddrPort, p []byte)

// Conn is a net.PacketConn that reads the packets given to Deliver and writes
// through a Writer.
type Conn struct {
	local           netip.AddrPort
	write           Writer
	queue           chan datagram
	done            chan struct{}
	closeOnce       sync.Once
	mu              sync.Mutex
	deadline        time.Time     // of reads; zero means none
	deadlineChanged chan struct{} // closed when the deadline changes

	delivered, dropped, answered atomic.Uint64
}

// bufferPool holds buffers for the payloads of queued packets.
var bufferPool = sync.Pool{New: func() any { return make([]byte, 0, bufferBytes) }}

// New returns a connection with the given service address as its local address.
func New(local netip.AddrPort, write Writer) *Conn {
	return &Conn{
		local:           local,
		write:           write,
		queue:           make(chan datagram, queuePackets),
		done:            make(chan struct{}),
		deadlineChanged: make(chan struct{}),
	}
}

// Deliver queues a copy of a caller's packet, or drops the packet if the queue is
// full.
func (c *Conn) Deliver(caller netip.AddrPort, p []byte) {
	d := datagram{from: caller, payload: append(bufferPool.Get().([]byte)[:0], p...)}
	select {
	case c.queue <- d:
		c.delivered.Add(1)
	default:
		c.dropped.Add(1)
		bufferPool.Put(d.payload) //nolint:staticcheck // see ReadFrom
	}
}

// Counters are a connection's totals since its start.
type Counters struct {
	Delivered uint64 `json:"delivered"` // callers' packets queued for the QUIC server
	Dropped   uint64 `json:"dropped"`   // callers' packets dropped because the queue was full
	Answered  uint64 `json:"answered"`  // packets sent by the QUIC server to callers
}

// Counters returns the current totals.
func (c *Conn) Counters() Counters {
	return Counters{Delivered: c.delivered.Load(), Dropped: c.dropped.Load(), Answered: c.answered.Load()}
}

// ReadFrom copies the next delivered packet to p and returns its caller's address.
// It waits for a packet until the read deadline or Close.
func (c *Conn) ReadFrom(p []byte) (int, net.Addr, error) {
	for {
		c.mu.Lock()
		deadline, deadlineChanged := c.deadline, c.deadlineChanged
		c.mu.Unlock()
		d, retry, err := c.receive(deadline, deadlineChanged)
		if err != nil {
			return 0, nil, err
		}
		if retry {
			continue
		}
		n := copy(p, d.payload)
		bufferPool.Put(d.payload) //nolint:staticcheck // the slice header that Put allocates costs less than a wrapper type
		return n, net.UDPAddrFromAddrPort(d.from), nil
	}
}

// receive waits for the next packet; retry means that the deadline changed meanwhile.
func (c *Conn) receive(deadline time.Time, deadlineChanged chan struct{}) (d datagram, retry bool, err error) {
	var expired <-chan time.Time
	if !deadline.IsZero() {
		t := time.NewTimer(time.Until(deadline))
		defer t.Stop()
		expired = t.C
	}
	select {
	case d = <-c.queue:
		return d, false, nil
	case <-deadlineChanged:
		return d, true, nil
	case <-expired:
		return d, false, os.ErrDeadlineExceeded
	case <-c.done:
		return d, false, net.ErrClosed
	}
}

// WriteTo sends p to a caller through the Writer.
func (c *Conn) WriteTo(p []byte, addr net.Addr) (int, error) {
	select {
	case <-c.done:
		return 0, net.ErrClosed
	default:
	}
	to, ok := addr.(*net.UDPAddr)
	if !ok {
		return 0, net.InvalidAddrError("caller address is not a UDP address")
	}
	ap := to.AddrPort()
	c.answered.Add(1)
	c.write(netip.AddrPortFrom(ap.Addr().Unmap(), ap.Port()), p)
	return len(p), nil
}

// Close ends pending reads; later writes fail with net.ErrClosed.
func (c *Conn) Close() error {
	c.closeOnce.Do(func() { close(c.done) })
	return nil
}

// LocalAddr returns the service address.
func (c *Conn) LocalAddr() net.Addr {
	return net.UDPAddrFromAddrPort(c.local)
}

// SetDeadline sets the read deadline; writes never block.
func (c *Conn) SetDeadline(t time.Time) error {
	return c.SetReadDeadline(t)
}

// SetReadDeadline makes pending and later reads time out at t; a zero t means never.
func (c *Conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.deadline = t
	close(c.deadlineChanged)
	c.deadlineChanged = make(chan struct{})
	return nil
}

// SetWriteDeadline does nothing, because writes never block.
func (c *Conn) SetWriteDeadline(time.Time) error {
	return nil
}
