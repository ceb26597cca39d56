package entry

import (
	"errors"
	"net"
	"net/netip"
	"sync"

	"github.com/currantturn/currantturn"
	"github.com/rotisserie/eris"
)

// Direct is an entry on a VM that has the service addresses itself. The fabric
// preserves the caller's source address.
type Direct struct {
	counts
	mu     sync.RWMutex
	conns  map[netip.AddrPort]*net.UDPConn // by service address
	handle func(*currantturn.Packet)       // nil before Serve
	done   chan struct{}                   // closed by Close
	closed bool
}

// NewDirect returns an entry without sockets; Listen opens them.
func NewDirect() *Direct {
	return &Direct{
		conns: make(map[netip.AddrPort]*net.UDPConn),
		done:  make(chan struct{}),
	}
}

// Listen makes the given service addresses the ones with an open socket: it opens
// missing sockets and closes those of all other addresses. A failure does not stop
// it; it returns the first error.
func (d *Direct) Listen(addresses []netip.AddrPort) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.closed {
		return net.ErrClosed
	}
	wanted := make(map[netip.AddrPort]bool, len(addresses))
	var firstErr error
	for _, a := range addresses {
		wanted[a] = true
		if err := d.openSocket(a); err != nil && firstErr == nil {
			firstErr = err
		}
	}
	for a, conn := range d.conns {
		if !wanted[a] {
			_ = conn.Close()
			delete(d.conns, a)
		}
	}
	return firstErr
}

// openSocket opens the socket of a service address unless it is open, and starts to
// read it if Serve has been called.
func (d *Direct) openSocket(a netip.AddrPort) error {
	if d.conns[a] != nil {
		return nil
	}
	conn, err := listen(a)
	if err != nil {
		return eris.Wrapf(err, "bind service address %s", a)
	}
	d.conns[a] = conn
	if d.handle != nil {
		go d.readLoop(a, conn)
	}
	return nil
}

// readLoop passes a socket's packets to the handler until the socket is closed.
func (d *Direct) readLoop(service netip.AddrPort, conn *net.UDPConn) {
	buf := make([]byte, maxDatagramBytes+1)
	var p currantturn.Packet
	for {
		n, from, err := conn.ReadFromUDPAddrPort(buf)
		switch {
		case errors.Is(err, net.ErrClosed):
			return
		case err != nil:
			d.readErrors.Add(1)
			continue
		case n > maxDatagramBytes:
			d.tooLarge.Add(1)
			continue
		}
		p.Flow.Caller = netip.AddrPortFrom(from.Addr().Unmap(), from.Port())
		p.Flow.Service = service
		p.Payload = buf[:n]
		p.Mark = MarkOf(p.Payload)
		d.received.Add(1)
		d.handle(&p)
	}
}

// Serve passes the packets of all sockets, including those that Listen opens later,
// to handle until Close.
func (d *Direct) Serve(handle func(*currantturn.Packet)) error {
	d.mu.Lock()
	d.handle = handle
	for a, conn := range d.conns {
		go d.readLoop(a, conn)
	}
	d.mu.Unlock()
	<-d.done
	return nil
}

// Write sends an answer from the service address to the caller.
func (d *Direct) Write(p *currantturn.Packet) error {
	d.mu.RLock()
	conn := d.conns[p.Flow.Service]
	d.mu.RUnlock()
	if conn == nil {
		return d.countWrite(eris.Wrapf(currantturn.ErrUnavailable, "no socket for service address %s", p.Flow.Service))
	}
	_, err := conn.WriteToUDPAddrPort(p.Payload, p.Flow.Caller)
	return d.countWrite(eris.Wrap(err, "write to the caller"))
}

// Close ends Serve and closes all sockets.
func (d *Direct) Close() error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.closed {
		return nil
	}
	d.closed = true
	close(d.done)
	for _, conn := range d.conns {
		_ = conn.Close()
	}
	return nil
}
