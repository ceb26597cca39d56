package entry

import (
	"errors"
	"net"
	"net/netip"
	"sync"

	"github.com/currantturn/currantturn"
	"github.com/rotisserie/eris"
)

// Direct is an entry on a VM that holds the service addresses itself, where
// the fabric leaves the caller's source address in place.
type Direct struct {
	counts
	mu     sync.RWMutex
	conns  map[netip.AddrPort]*net.UDPConn
	take   func(*currantturn.Packet) // nil before Serve
	done   chan struct{}
	closed bool
}

// OpenDirect returns an entry that listens nowhere yet; see Listen.
func OpenDirect() *Direct {
	return &Direct{
		conns: make(map[netip.AddrPort]*net.UDPConn),
		done:  make(chan struct{}),
	}
}

// Listen opens the sockets of the given service addresses that are not open
// yet, and closes those of addresses that are no longer given; it tries them
// all and returns the first error.
func (d *Direct) Listen(addresses []netip.AddrPort) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.closed {
		return net.ErrClosed
	}
	wanted := make(map[netip.AddrPort]bool, len(addresses))
	var first error
	for _, a := range addresses {
		wanted[a] = true
		if err := d.open(a); err != nil && first == nil {
			first = err
		}
	}
	for a, conn := range d.conns {
		if !wanted[a] {
			_ = conn.Close()
			delete(d.conns, a)
		}
	}
	return first
}

func (d *Direct) open(a netip.AddrPort) error {
	if d.conns[a] != nil {
		return nil
	}
	conn, err := listen(a)
	if err != nil {
		return eris.Wrapf(err, "bind service address %s", a)
	}
	d.conns[a] = conn
	if d.take != nil {
		go d.read(a, conn)
	}
	return nil
}

func (d *Direct) read(service netip.AddrPort, conn *net.UDPConn) {
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
		d.take(&p)
	}
}

// Serve reads every socket, also those that a later Listen opens, until Close.
func (d *Direct) Serve(take func(*currantturn.Packet)) error {
	d.mu.Lock()
	d.take = take
	for a, conn := range d.conns {
		go d.read(a, conn)
	}
	d.mu.Unlock()
	<-d.done
	return nil
}

// Write sends an answer from the service's address.
func (d *Direct) Write(p *currantturn.Packet) error {
	d.mu.RLock()
	conn := d.conns[p.Flow.Service]
	d.mu.RUnlock()
	if conn == nil {
		return d.wrote(eris.Wrapf(currantturn.ErrUnavailable, "no socket for service address %s", p.Flow.Service))
	}
	_, err := conn.WriteToUDPAddrPort(p.Payload, p.Flow.Caller)
	return d.wrote(eris.Wrap(err, "write to the caller"))
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
