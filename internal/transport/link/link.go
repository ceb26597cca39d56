package link

import (
	"encoding/binary"
	"net"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/currantturn/currantturn"
	"github.com/currantturn/currantturn/internal/protocol/envelope"
	"github.com/currantturn/currantturn/internal/protocol/message"
	"github.com/rotisserie/eris"
)

// Frame types; a frame is its type, the sender's link address and the body.
const (
	frameEnvelope  = 1
	frameMessage   = 2
	frameHeadBytes = 1 + 16 + 2
)

// Receiver takes what arrives; it is called from several goroutines, and the
// envelope's payload is valid only during the call.
type Receiver interface {
	ReceiveEnvelope(from netip.AddrPort, e *currantturn.Envelope)
	ReceiveMessage(from netip.AddrPort, m currantturn.Message)
}

// Link is the datagram socket of one process.
type Link struct {
	self     netip.AddrPort
	conn     *net.UDPConn
	sealer   currantturn.Sealer
	names    func() envelope.Names
	clock    func() time.Time
	paths    *paths
	receiver Receiver
	closed   atomic.Bool
	counts   counts
}

// Options are the parts and addresses of a link.
type Options struct {
	Listen    netip.AddrPort
	Advertise netip.AddrPort // zero means the listening address
	Sealer    currantturn.Sealer
	Names     func() envelope.Names
	Clock     func() time.Time
}

// Open binds the link's socket.
func Open(o Options) (*Link, error) {
	conn, err := listen(o.Listen)
	if err != nil {
		return nil, err
	}
	self := o.Advertise
	if !self.IsValid() {
		self = conn.LocalAddr().(*net.UDPAddr).AddrPort()
	}
	l := &Link{self: self, conn: conn, sealer: o.Sealer, names: o.Names, clock: o.Clock}
	l.paths = newPaths()
	return l, nil
}

func listen(at netip.AddrPort) (*net.UDPConn, error) {
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(at))
	if err != nil {
		return nil, eris.Wrapf(err, "bind link address %s", at)
	}
	// The kernel may grant less; that only costs packets under bursts.
	_ = conn.SetReadBuffer(SocketBufferBytes)
	_ = conn.SetWriteBuffer(SocketBufferBytes)
	return conn, nil
}

// Self is the address by which peers know this process.
func (l *Link) Self() netip.AddrPort {
	return l.self
}

// Start reads with the given number of goroutines until Close.
func (l *Link) Start(r Receiver, readers int) {
	l.receiver = r
	for range readers {
		go l.read(l.conn)
	}
}

// Close ends all reads.
func (l *Link) Close() error {
	l.closed.Store(true)
	l.paths.close()
	return l.conn.Close()
}

// SendEnvelope sends an enveloped packet to a peer.
func (l *Link) SendEnvelope(to netip.AddrPort, e *currantturn.Envelope) error {
	b := buffers.Get().(*buffer)
	defer buffers.Put(b)
	p, err := envelope.Append(l.head(b.plain[:0], frameEnvelope), e)
	if err != nil {
		l.counts.sendErrors.Add(1)
		return err
	}
	b.plain = p
	return l.send(to, p, b)
}

// SendMessage sends a control message to a peer.
func (l *Link) SendMessage(to netip.AddrPort, m currantturn.Message) error {
	body, err := message.Encode(m)
	if err != nil {
		l.counts.sendErrors.Add(1)
		return err
	}
	b := buffers.Get().(*buffer)
	defer buffers.Put(b)
	b.plain = append(l.head(b.plain[:0], frameMessage), body...)
	l.counts.control(m.Kind(), len(body))
	return l.send(to, b.plain, b)
}

func (l *Link) head(dst []byte, frame byte) []byte {
	ip := l.self.Addr().As16()
	dst = append(dst, frame)
	dst = append(dst, ip[:]...)
	return binary.BigEndian.AppendUint16(dst, l.self.Port())
}

func (l *Link) send(to netip.AddrPort, plain []byte, b *buffer) error {
	b.sealed = l.sealer.Seal(b.sealed[:0], plain)
	conn, remote := l.paths.pick(to, l.clock())
	if conn == nil {
		conn = l.conn
	}
	_, err := conn.WriteToUDPAddrPort(b.sealed, remote)
	if err != nil {
		l.counts.sendErrors.Add(1)
		return eris.Wrapf(err, "send to %s", to)
	}
	l.counts.sent.Add(1)
	return nil
}

// Renew gives the channel to a peer a fresh socket.
func (l *Link) Renew(peer netip.AddrPort) error {
	conn, err := listen(netip.AddrPortFrom(l.conn.LocalAddr().(*net.UDPAddr).AddrPort().Addr(), 0))
	if err != nil {
		return err
	}
	l.paths.renew(peer, conn)
	l.counts.renewed.Add(1)
	go l.read(conn)
	return nil
}

func (l *Link) read(conn *net.UDPConn) {
	p := make([]byte, MaxDatagramBytes)
	var e currantturn.Envelope
	for {
		n, source, err := conn.ReadFromUDPAddrPort(p)
		if err != nil {
			if l.closed.Load() || l.paths.retired(conn) {
				return
			}
			l.counts.readErrors.Add(1)
			continue
		}
		l.take(p[:n], netip.AddrPortFrom(source.Addr().Unmap(), source.Port()), &e)
	}
}

func (l *Link) take(p []byte, source netip.AddrPort, e *currantturn.Envelope) {
	now := l.clock()
	plain, err := l.sealer.Open(now, p)
	if err != nil {
		l.counts.refuse(err)
		return
	}
	if len(plain) < frameHeadBytes {
		l.counts.malformed.Add(1)
		return
	}
	ip := netip.AddrFrom16([16]byte(plain[1:17])).Unmap()
	from := netip.AddrPortFrom(ip, binary.BigEndian.Uint16(plain[17:]))
	l.paths.observe(from, source, now)
	l.counts.received.Add(1)
	l.dispatch(plain[0], from, plain[frameHeadBytes:], e)
}

func (l *Link) dispatch(frame byte, from netip.AddrPort, body []byte, e *currantturn.Envelope) {
	switch frame {
	case frameEnvelope:
		if err := envelope.Decode(body, l.names(), e); err != nil {
			l.counts.malformed.Add(1)
			return
		}
		l.receiver.ReceiveEnvelope(from, e)
	case frameMessage:
		m, err := message.Decode(body)
		if err != nil {
			l.counts.malformed.Add(1)
			return
		}
		l.receiver.ReceiveMessage(from, m)
	default:
		l.counts.malformed.Add(1)
	}
}
