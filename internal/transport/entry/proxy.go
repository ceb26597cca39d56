package entry

import (
	"bufio"
	"bytes"
	"errors"
	"net"
	"net/netip"
	"sync"

	"github.com/currantturn/currantturn"
	"github.com/pires/go-proxyproto"
	"github.com/rotisserie/eris"
)

const (
	// maxDatagramBytes is the largest datagram that is read.
	maxDatagramBytes = 2048
	// socketBufferBytes is the kernel buffer requested for each direction of a socket.
	socketBufferBytes = 4 << 20
	// proxyReaders is the number of goroutines that read each listening address.
	proxyReaders = 2
)

// Proxy is an entry behind a fabric that prepends PROXY protocol v2 headers.
type Proxy struct {
	counts
	conns  []*net.UDPConn // one for each listening address, at least one
	fabric netip.AddrPort // the only accepted source, and the destination of answers
}

// OpenProxy returns an entry that listens at the given addresses for datagrams from
// the fabric and sends answers to the fabric.
func OpenProxy(fabric netip.AddrPort, listenAt ...netip.AddrPort) (*Proxy, error) {
	x := &Proxy{fabric: fabric}
	for _, at := range listenAt {
		conn, err := listen(at)
		if err != nil {
			_ = x.Close()
			return nil, eris.Wrapf(err, "bind entry address %s", at)
		}
		x.conns = append(x.conns, conn)
	}
	if len(x.conns) == 0 {
		return nil, eris.New("proxy entry needs at least one listening address")
	}
	return x, nil
}

// listen binds a socket and enlarges its kernel buffers.
func listen(at netip.AddrPort) (*net.UDPConn, error) {
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(at))
	if err != nil {
		return nil, err
	}
	// The kernel may grant smaller buffers; then packets are lost in bursts only.
	_ = conn.SetReadBuffer(socketBufferBytes)
	_ = conn.SetWriteBuffer(socketBufferBytes)
	return conn, nil
}

// Addr returns the first listening address.
func (x *Proxy) Addr() netip.AddrPort {
	return x.conns[0].LocalAddr().(*net.UDPAddr).AddrPort()
}

// Serve passes the packets of well-formed datagrams from the fabric to handle until
// Close.
func (x *Proxy) Serve(handle func(*currantturn.Packet)) error {
	var readers sync.WaitGroup
	for _, conn := range x.conns {
		for range proxyReaders {
			readers.Go(func() { x.readLoop(conn, handle) })
		}
	}
	readers.Wait()
	return nil
}

// readLoop passes a socket's packets to handle until the socket is closed.
func (x *Proxy) readLoop(conn *net.UDPConn, handle func(*currantturn.Packet)) {
	buf := make([]byte, maxDatagramBytes+1)
	var p currantturn.Packet
	for {
		n, source, err := conn.ReadFromUDPAddrPort(buf)
		switch {
		case errors.Is(err, net.ErrClosed):
			return
		case err != nil:
			x.readErrors.Add(1)
		case n > maxDatagramBytes:
			x.tooLarge.Add(1)
		case !x.isFromFabric(source):
			x.foreign.Add(1)
		case ParseProxied(buf[:n], &p) != nil:
			x.malformed.Add(1)
		default:
			x.received.Add(1)
			handle(&p)
		}
	}
}

// isFromFabric reports whether a datagram's source is the fabric. Any other sender
// could forge the caller's address in the PROXY header.
func (x *Proxy) isFromFabric(source netip.AddrPort) bool {
	return source.Addr().Unmap() == x.fabric.Addr().Unmap() && source.Port() == x.fabric.Port()
}

// Write sends an answer to the fabric, with a PROXY header from the service address
// to the caller.
func (x *Proxy) Write(p *currantturn.Packet) error {
	b, err := AppendProxied(make([]byte, 0, maxDatagramBytes), p.Flow.Service, p.Flow.Caller, p.Payload)
	if err != nil {
		return x.countWrite(err)
	}
	_, err = x.conns[0].WriteToUDPAddrPort(b, x.fabric)
	return x.countWrite(eris.Wrap(err, "write to the fabric"))
}

// Close closes all sockets, which ends Serve, and returns the first error.
func (x *Proxy) Close() error {
	var firstErr error
	for _, conn := range x.conns {
		if err := conn.Close(); firstErr == nil {
			firstErr = err
		}
	}
	return firstErr
}

// ParseProxied decodes a datagram with a PROXY header into p, taking the header's
// source as the caller and its destination as the service. The payload aliases b.
func ParseProxied(b []byte, p *currantturn.Packet) error {
	reader := bytes.NewReader(b)
	buffered := bufio.NewReaderSize(reader, len(b)+16)
	header, err := proxyproto.Read(buffered)
	if err != nil {
		return eris.Wrap(currantturn.ErrMalformed, err.Error())
	}
	from, fromOK := header.SourceAddr.(*net.UDPAddr)
	to, toOK := header.DestinationAddr.(*net.UDPAddr)
	if !fromOK || !toOK {
		return eris.Wrap(currantturn.ErrMalformed, "PROXY header has no UDP addresses")
	}
	p.Flow.Caller = unmap(from)
	p.Flow.Service = unmap(to)
	p.Payload = b[len(b)-buffered.Buffered()-reader.Len():]
	p.Mark = MarkOf(p.Payload)
	return nil
}

// AppendProxied appends a PROXY header and a payload to dst.
func AppendProxied(dst []byte, from, to netip.AddrPort, payload []byte) ([]byte, error) {
	header := proxyproto.HeaderProxyFromAddrs(2, net.UDPAddrFromAddrPort(from), net.UDPAddrFromAddrPort(to))
	headerBytes, err := header.Format()
	if err != nil {
		return dst, eris.Wrap(err, "encode PROXY header")
	}
	dst = append(dst, headerBytes...)
	return append(dst, payload...), nil
}

// unmap converts an address, turning an IPv4-mapped IPv6 address into its IPv4 form.
func unmap(a *net.UDPAddr) netip.AddrPort {
	ap := a.AddrPort()
	return netip.AddrPortFrom(ap.Addr().Unmap(), ap.Port())
}
