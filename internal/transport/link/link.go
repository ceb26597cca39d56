package link

import (
	"encoding/binary"
	"errors"
	"net"
	"net/netip"
	"time"

	"github.com/currantturn/currantturn"
	"github.com/currantturn/currantturn/internal/protocol/envelope"
	"github.com/currantturn/currantturn/internal/protocol/message"
	"github.com/rotisserie/eris"
)

// Frame types; a frame is its type, the link addresses of the sender and of
// the receiver, and the body. The receiver refuses what was meant for another.
const (
	frameEnvelope  = 1
	frameMessage   = 2
	addressBytes   = 16 + 2
	frameHeadBytes = 1 + 2*addressBytes
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
	maxSend  int
	paths    *paths
	receiver Receiver
	notices  notices
	counts   counts
}

// Options are the parts and addresses of a link.
type Options struct {
	Listen    netip.AddrPort
	Advertise netip.AddrPort // zero means the listening address
	Sealer    currantturn.Sealer
	Names     func() envelope.Names
	Clock     func() time.Time
	MaxSend   int                     // bytes of a datagram; zero means MaxDatagramBytes
	Report    func(currantturn.Event) // nil reports nothing
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
	if self.Addr().IsUnspecified() {
		_ = conn.Close()
		return nil, eris.Wrapf(currantturn.ErrMalformed, "link address %s names no process; advertise one that does", self)
	}
	l := &Link{
		self: unmap(self), conn: conn, sealer: o.Sealer, names: o.Names, clock: o.Clock,
		maxSend: o.MaxSend, paths: newPaths(), notices: newNotices(o.Report),
	}
	if l.maxSend <= 0 || l.maxSend > MaxDatagramBytes {
		l.maxSend = MaxDatagramBytes
	}
	return l, nil
}

func unmap(a netip.AddrPort) netip.AddrPort {
	return netip.AddrPortFrom(a.Addr().Unmap(), a.Port())
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
	l.paths.close()
	return l.conn.Close()
}

// SendEnvelope sends an enveloped packet to a peer.
func (l *Link) SendEnvelope(to netip.AddrPort, e *currantturn.Envelope) error {
	b := buffers.Get().(*buffer)
	defer buffers.Put(b)
	p, err := envelope.Append(l.head(b.plain[:0], frameEnvelope, to), e)
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
	b.plain = append(l.head(b.plain[:0], frameMessage, to), body...)
	l.counts.control(m.Kind(), len(body))
	return l.send(to, b.plain, b)
}

func (l *Link) head(dst []byte, frame byte, to netip.AddrPort) []byte {
	dst = append(dst, frame)
	dst = appendAddress(dst, l.self)
	return appendAddress(dst, to)
}

func appendAddress(dst []byte, a netip.AddrPort) []byte {
	ip := a.Addr().As16()
	dst = append(dst, ip[:]...)
	return binary.BigEndian.AppendUint16(dst, a.Port())
}

func address(p []byte) netip.AddrPort {
	ip := netip.AddrFrom16([16]byte(p[:16])).Unmap()
	return netip.AddrPortFrom(ip, binary.BigEndian.Uint16(p[16:]))
}

func (l *Link) send(to netip.AddrPort, plain []byte, b *buffer) error {
	b.sealed = l.sealer.Seal(b.sealed[:0], plain)
	if len(b.sealed) > l.maxSend {
		l.counts.oversized.Add(1)
		l.notices.oversized(l.clock(), len(b.sealed), l.maxSend)
		return currantturn.ErrTooLarge
	}
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
	p := make([]byte, MaxDatagramBytes+1)
	var e currantturn.Envelope
	for {
		n, source, err := conn.ReadFromUDPAddrPort(p)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			l.counts.readErrors.Add(1)
			continue
		}
		l.take(p[:n], unmap(source), &e)
	}
}

func (l *Link) take(p []byte, source netip.AddrPort, e *currantturn.Envelope) {
	now := l.clock()
	from, frame, err := l.open(now, p)
	if err == nil {
		l.counts.received.Add(1)
		l.paths.observe(from, source, now)
		err = l.dispatch(frame[0], from, frame[frameHeadBytes:], e)
	}
	if err != nil {
		l.counts.refuse(err)
		l.notices.refused(now, source, len(p), err)
	}
}

// open returns the authentic frame of a datagram for this process, and who
// sent it.
func (l *Link) open(now time.Time, p []byte) (from netip.AddrPort, frame []byte, err error) {
	if len(p) > MaxDatagramBytes {
		return from, nil, currantturn.ErrTooLarge
	}
	frame, err = l.sealer.Open(now, p)
	if err != nil {
		return from, nil, err
	}
	if len(frame) < frameHeadBytes {
		return from, nil, currantturn.ErrMalformed
	}
	if address(frame[1+addressBytes:]) != l.self {
		return from, nil, errMisdirected
	}
	return address(frame[1:]), frame, nil
}

func (l *Link) dispatch(frame byte, from netip.AddrPort, body []byte, e *currantturn.Envelope) error {
	switch frame {
	case frameEnvelope:
		if err := envelope.Decode(body, l.names(), e); err != nil {
			return err
		}
		l.receiver.ReceiveEnvelope(from, e)
	case frameMessage:
		m, err := message.Decode(body)
		if err != nil {
			return err
		}
		l.receiver.ReceiveMessage(from, m)
	default:
		return currantturn.ErrMalformed
	}
	return nil
}
