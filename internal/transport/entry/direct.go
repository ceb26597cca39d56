package entry

import (
	"context"
	"net"
	"net/netip"
	"sync"

	"github.com/currantturn/currantturn"
	"github.com/rotisserie/eris"
)

const directQueue = 1024 // packets read and not yet taken

// Direct is an entry on a VM that holds the service addresses itself, where
// the fabric leaves the caller's source address in place.
type Direct struct {
	mu    sync.Mutex
	conns map[netip.AddrPort]*net.UDPConn
	queue chan currantturn.Packet
	done  chan struct{}
	once  sync.Once
}

// OpenDirect returns an entry that listens nowhere yet; see Listen.
func OpenDirect() *Direct {
	return &Direct{
		conns: make(map[netip.AddrPort]*net.UDPConn),
		queue: make(chan currantturn.Packet, directQueue),
		done:  make(chan struct{}),
	}
}

// Listen opens the sockets of the given service addresses that are not open
// yet, and closes those of addresses that are no longer given.
func (d *Direct) Listen(addresses []netip.AddrPort) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	wanted := make(map[netip.AddrPort]bool, len(addresses))
	for _, a := range addresses {
		wanted[a] = true
		if err := d.open(a); err != nil {
			return err
		}
	}
	for a, conn := range d.conns {
		if !wanted[a] {
			_ = conn.Close()
			delete(d.conns, a)
		}
	}
	return nil
}

func (d *Direct) open(a netip.AddrPort) error {
	if d.conns[a] != nil {
		return nil
	}
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(a))
	if err != nil {
		return eris.Wrapf(err, "bind service address %s", a)
	}
	_ = conn.SetReadBuffer(socketBufferBytes)
	_ = conn.SetWriteBuffer(socketBufferBytes)
	d.conns[a] = conn
	go d.read(a, conn)
	return nil
}

func (d *Direct) read(service netip.AddrPort, conn *net.UDPConn) {
	buf := make([]byte, maxDatagramBytes)
	for {
		n, from, err := conn.ReadFromUDPAddrPort(buf)
		if err != nil {
			return
		}
		payload := append([]byte(nil), buf[:n]...)
		caller := netip.AddrPortFrom(from.Addr().Unmap(), from.Port())
		p := currantturn.Packet{
			Flow:    currantturn.FlowKey{Caller: caller, Service: service},
			Mark:    MarkOf(payload),
			Payload: payload,
		}
		select {
		case d.queue <- p:
		case <-d.done:
			return
		}
	}
}

// Read waits for the next caller's packet at any of the addresses.
func (d *Direct) Read(ctx context.Context, p *currantturn.Packet) error {
	select {
	case *p = <-d.queue:
		return nil
	case <-d.done:
		return net.ErrClosed
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Write sends an answer from the service's address.
func (d *Direct) Write(p *currantturn.Packet) error {
	d.mu.Lock()
	conn := d.conns[p.Flow.Service]
	d.mu.Unlock()
	if conn == nil {
		return eris.Wrapf(currantturn.ErrUnavailable, "no socket for service address %s", p.Flow.Service)
	}
	_, err := conn.WriteToUDPAddrPort(p.Payload, p.Flow.Caller)
	return eris.Wrap(err, "write to the caller")
}

// Close ends pending reads and closes all sockets.
func (d *Direct) Close() error {
	d.once.Do(func() { close(d.done) })
	return d.Listen(nil)
}
