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

// Frame types and sizes. A frame consists of its type, the link addresses of the
// sender and of the receiver, and the body. The receiver drops a frame that is
// addressed to another process.
const (
	frameEnvelope    = 1
	frameMessage     = 2
	addressBytes     = 16 + 2
	frameHeaderBytes = 1 + 2*addressBytes
)

// Receiver handles received envelopes and messages. It is called from several
// goroutines, and an envelope's payload is valid only during the call.
type Receiver interface {
	ReceiveEnvelope(from netip.AddrPort, e *currantturn.Envelope)
	ReceiveMessage(from netip.AddrPort, m currantturn.Message)
}

// Link sends datagrams to other processes and receives theirs.
type Link struct {
	self     netip.AddrPort // link address of this process
	conn     *net.UDPConn   // main socket
	sealer   currantturn.Sealer
	names    func() envelope.Names
	clock    func() time.Time
	maxSend  int
	paths    *pathTable
	receiver Receiver
	drops    dropReporter
	counts   counts
}

// Options configure a link.
type Options struct {
	Listen    netip.AddrPort
	Advertise netip.AddrPort // address by which peers reach the link; zero means the listening address
	Sealer    currantturn.Sealer
	Names     func() envelope.Names // current service and backend server names, for decoding
	Clock     func() time.Time
	MaxSend   int                     // largest datagram sent, in bytes; zero means MaxDatagramBytes
	Report    func(currantturn.Event) // receives events; may be nil
}

// Open binds the link's socket. Start begins to read it.
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
		return nil, eris.Wrapf(currantturn.ErrMalformed, "link address %s is unspecified; advertise an address that peers can reach", self)
	}
	l := &Link{
		self: unmap(self), conn: conn, sealer: o.Sealer, names: o.Names, clock: o.Clock,
		maxSend: o.MaxSend, paths: newPathTable(), drops: newDropReporter(o.Report),
	}
	if l.maxSend <= 0 || l.maxSend > MaxDatagramBytes {
		l.maxSend = MaxDatagramBytes
	}
	return l, nil
}

// unmap turns an IPv4-mapped IPv6 address into its IPv4 form.
func unmap(a netip.AddrPort) netip.AddrPort {
	return netip.AddrPortFrom(a.Addr().Unmap(), a.Port())
}

// listen binds a socket and enlarges its kernel buffers.
func listen(at netip.AddrPort) (*net.UDPConn, error) {
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(at))
	if err != nil {
		return nil, eris.Wrapf(err, "bind link address %s", at)
	}
	// The kernel may grant smaller buffers; then packets are lost in bursts only.
	_ = conn.SetReadBuffer(SocketBufferBytes)
	_ = conn.SetWriteBuffer(SocketBufferBytes)
	return conn, nil
}

// Self returns the link address of this process, by which peers identify it.
func (l *Link) Self() netip.AddrPort {
	return l.self
}

// Start passes received datagrams to r, with the given number of reading
// goroutines, until Close.
func (l *Link) Start(r Receiver, readers int) {
	l.receiver = r
	for range readers {
		go l.readLoop(l.conn)
	}
}

// Close closes all sockets, which ends their reads.
func (l *Link) Close() error {
	l.paths.close()
	return l.conn.Close()
}

// SendEnvelope sends a packet in its envelope to a peer.
func (l *Link) SendEnvelope(to netip.AddrPort, e *currantturn.Envelope) error {
	b := buffers.Get().(*buffer)
	defer buffers.Put(b)
	p, err := envelope.Append(l.appendHeader(b.plain[:0], frameEnvelope, to), e)
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
	b.plain = append(l.appendHeader(b.plain[:0], frameMessage, to), body...)
	l.counts.addControl(m.Kind(), len(body))
	return l.send(to, b.plain, b)
}

// appendHeader appends a frame header from this process to the given peer.
func (l *Link) appendHeader(dst []byte, frameType byte, to netip.AddrPort) []byte {
	dst = append(dst, frameType)
	dst = appendAddress(dst, l.self)
	return appendAddress(dst, to)
}

// appendAddress appends the wire form of an address: 16 bytes IP, 2 bytes port.
func appendAddress(dst []byte, a netip.AddrPort) []byte {
	ip := a.Addr().As16()
	dst = append(dst, ip[:]...)
	return binary.BigEndian.AppendUint16(dst, a.Port())
}

// decodeAddress decodes the address at the start of p.
func decodeAddress(p []byte) netip.AddrPort {
	ip := netip.AddrFrom16([16]byte(p[:16])).Unmap()
	return netip.AddrPortFrom(ip, binary.BigEndian.Uint16(p[16:]))
}

// send authenticates a frame and sends it to a peer; b provides the memory for it.
func (l *Link) send(to netip.AddrPort, plain []byte, b *buffer) error {
	b.sealed = l.sealer.Seal(b.sealed[:0], plain)
	if len(b.sealed) > l.maxSend {
		l.counts.oversized.Add(1)
		l.drops.reportOversized(l.clock(), len(b.sealed), l.maxSend)
		return currantturn.ErrTooLarge
	}
	conn, remote := l.paths.resolve(to, l.clock())
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

// RenewSocket opens a fresh socket, on another local port, which replaces the main
// socket, or an earlier replacement, for sending to a peer.
func (l *Link) RenewSocket(peer netip.AddrPort) error {
	conn, err := listen(netip.AddrPortFrom(l.conn.LocalAddr().(*net.UDPAddr).AddrPort().Addr(), 0))
	if err != nil {
		return err
	}
	l.paths.replaceSocket(peer, conn)
	l.counts.replacedSockets.Add(1)
	go l.readLoop(conn)
	return nil
}

// readLoop handles the datagrams of a socket until the socket is closed.
func (l *Link) readLoop(conn *net.UDPConn) {
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
		l.handleDatagram(p[:n], unmap(source), &e)
	}
}

// handleDatagram passes a datagram's content to the receiver, or counts and reports
// why it was dropped. It decodes envelopes into e, which the caller reuses.
func (l *Link) handleDatagram(p []byte, source netip.AddrPort, e *currantturn.Envelope) {
	now := l.clock()
	from, frame, err := l.openFrame(now, p)
	if err == nil {
		l.counts.received.Add(1)
		l.paths.recordSource(from, source, now)
		err = l.dispatch(frame[0], from, frame[frameHeaderBytes:], e)
	}
	if err != nil {
		l.counts.addDropped(err)
		l.drops.reportDropped(now, source, len(p), err)
	}
}

// openFrame authenticates a datagram and returns its frame and the link address of
// its sender. It refuses a frame that is addressed to another process.
func (l *Link) openFrame(now time.Time, p []byte) (from netip.AddrPort, frame []byte, err error) {
	if len(p) > MaxDatagramBytes {
		return from, nil, currantturn.ErrTooLarge
	}
	frame, err = l.sealer.Open(now, p)
	if err != nil {
		return from, nil, err
	}
	if len(frame) < frameHeaderBytes {
		return from, nil, currantturn.ErrMalformed
	}
	if decodeAddress(frame[1+addressBytes:]) != l.self {
		return from, nil, errMisdirected
	}
	return decodeAddress(frame[1:]), frame, nil
}

// dispatch decodes a frame's body according to its type and passes it to the
// receiver.
func (l *Link) dispatch(frameType byte, from netip.AddrPort, body []byte, e *currantturn.Envelope) error {
	switch frameType {
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
