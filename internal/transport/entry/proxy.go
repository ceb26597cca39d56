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
	maxDatagramBytes  = 2048
	socketBufferBytes = 4 << 20
	// proxyReaders is how many goroutines read each listening address.
	proxyReaders = 2
)

// Proxy is an entry behind a fabric that prepends PROXY protocol v2 headers.
type Proxy struct {
	counts
	conns  []*net.UDPConn // one for each listening address, at least one
	fabric netip.AddrPort
}

// OpenProxy listens for the fabric's datagrams and sends answers to it.
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
		return nil, eris.New("entry without an address")
	}
	return x, nil
}

func listen(at netip.AddrPort) (*net.UDPConn, error) {
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(at))
	if err != nil {
		return nil, err
	}
	// The kernel may grant less; that only costs packets under bursts.
	_ = conn.SetReadBuffer(socketBufferBytes)
	_ = conn.SetWriteBuffer(socketBufferBytes)
	return conn, nil
}

// Addr is the first address that the fabric sends to.
func (x *Proxy) Addr() netip.AddrPort {
	return x.conns[0].LocalAddr().(*net.UDPAddr).AddrPort()
}

// Serve hands over well-formed datagrams of the fabric until Close.
func (x *Proxy) Serve(take func(*currantturn.Packet)) error {
	var readers sync.WaitGroup
	for _, conn := range x.conns {
		for range proxyReaders {
			readers.Go(func() { x.read(conn, take) })
		}
	}
	readers.Wait()
	return nil
}

func (x *Proxy) read(conn *net.UDPConn, take func(*currantturn.Packet)) {
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
		case !x.fromFabric(source):
			x.foreign.Add(1)
		case ParseProxied(buf[:n], &p) != nil:
			x.malformed.Add(1)
		default:
			x.received.Add(1)
			take(&p)
		}
	}
}

// fromFabric refuses datagrams of others, who could name any caller.
func (x *Proxy) fromFabric(source netip.AddrPort) bool {
	return source.Addr().Unmap() == x.fabric.Addr().Unmap() && source.Port() == x.fabric.Port()
}

// Write hands an answer to the fabric.
func (x *Proxy) Write(p *currantturn.Packet) error {
	b, err := AppendProxied(make([]byte, 0, maxDatagramBytes), p.Flow.Service, p.Flow.Caller, p.Payload)
	if err != nil {
		return x.wrote(err)
	}
	_, err = x.conns[0].WriteToUDPAddrPort(b, x.fabric)
	return x.wrote(eris.Wrap(err, "write to the fabric"))
}

// Close ends Serve.
func (x *Proxy) Close() error {
	var first error
	for _, conn := range x.conns {
		if err := conn.Close(); first == nil {
			first = err
		}
	}
	return first
}

// ParseProxied reads a proxied datagram whose source is the caller; the
// payload aliases b.
func ParseProxied(b []byte, p *currantturn.Packet) error {
	src := bytes.NewReader(b)
	r := bufio.NewReaderSize(src, len(b)+16)
	h, err := proxyproto.Read(r)
	if err != nil {
		return eris.Wrap(currantturn.ErrMalformed, err.Error())
	}
	from, ok := h.SourceAddr.(*net.UDPAddr)
	to, ok2 := h.DestinationAddr.(*net.UDPAddr)
	if !ok || !ok2 {
		return eris.Wrap(currantturn.ErrMalformed, "proxy header without datagram addresses")
	}
	p.Flow.Caller = unmap(from)
	p.Flow.Service = unmap(to)
	p.Payload = b[len(b)-r.Buffered()-src.Len():]
	p.Mark = MarkOf(p.Payload)
	return nil
}

// AppendProxied prepends a proxy header to a payload.
func AppendProxied(dst []byte, from, to netip.AddrPort, payload []byte) ([]byte, error) {
	h := proxyproto.HeaderProxyFromAddrs(2, net.UDPAddrFromAddrPort(from), net.UDPAddrFromAddrPort(to))
	head, err := h.Format()
	if err != nil {
		return dst, eris.Wrap(err, "format proxy header")
	}
	dst = append(dst, head...)
	return append(dst, payload...), nil
}

func unmap(a *net.UDPAddr) netip.AddrPort {
	ap := a.AddrPort()
	return netip.AddrPortFrom(ap.Addr().Unmap(), ap.Port())
}
