package entry

import (
	"bufio"
	"bytes"
	"context"
	"net"
	"net/netip"

	"github.com/currantturn/currantturn"
	"github.com/pires/go-proxyproto"
	"github.com/rotisserie/eris"
)

const (
	maxDatagramBytes  = 2048
	socketBufferBytes = 4 << 20
)

// Proxy is an entry behind a fabric that prepends PROXY protocol v2 headers.
type Proxy struct {
	conn   *net.UDPConn
	fabric netip.AddrPort
	buf    []byte
}

// OpenProxy listens for the fabric's datagrams and sends answers to it.
func OpenProxy(listen, fabric netip.AddrPort) (*Proxy, error) {
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(listen))
	if err != nil {
		return nil, eris.Wrapf(err, "bind entry address %s", listen)
	}
	_ = conn.SetReadBuffer(socketBufferBytes)
	_ = conn.SetWriteBuffer(socketBufferBytes)
	return &Proxy{conn: conn, fabric: fabric, buf: make([]byte, maxDatagramBytes)}, nil
}

// Addr is the address that the fabric sends to.
func (x *Proxy) Addr() netip.AddrPort {
	return x.conn.LocalAddr().(*net.UDPAddr).AddrPort()
}

// Read waits for the next well-formed datagram of the fabric.
func (x *Proxy) Read(ctx context.Context, p *currantturn.Packet) error {
	n, _, err := x.conn.ReadFromUDPAddrPort(x.buf)
	if err != nil {
		if ctx.Err() != nil {
			return ctx.Err()
		}
		return eris.Wrap(err, "read from the fabric")
	}
	return ParseProxied(x.buf[:n], p)
}

// Write hands an answer to the fabric.
func (x *Proxy) Write(p *currantturn.Packet) error {
	b, err := AppendProxied(make([]byte, 0, maxDatagramBytes), p.Flow.Service, p.Flow.Caller, p.Payload)
	if err != nil {
		return err
	}
	_, err = x.conn.WriteToUDPAddrPort(b, x.fabric)
	return eris.Wrap(err, "write to the fabric")
}

// Close ends pending reads.
func (x *Proxy) Close() error {
	return x.conn.Close()
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
