package datagram

import (
	"errors"
	"net"
	"net/netip"
	"syscall"

	"github.com/rotisserie/eris"
)

const (
	// maxDatagramBytes is the size of the read buffer; the rest of a larger datagram is
	// discarded.
	maxDatagramBytes = 2048
	// receiveBufferBytes is the kernel receive buffer requested, to hold bursts of
	// packets.
	receiveBufferBytes = 1 << 20
)

// Socket is a UDP socket.
type Socket struct {
	conn *net.UDPConn
}

// Listen opens a socket at an IPv4 address.
func Listen(at netip.AddrPort) (*Socket, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(at))
	if err != nil {
		return nil, eris.Wrapf(err, "listen at %s", at)
	}
	// The kernel may grant a smaller buffer; then packets are lost in bursts only.
	_ = conn.SetReadBuffer(receiveBufferBytes)
	return &Socket{conn: conn}, nil
}

// Serve passes received datagrams to handle until Close; a datagram is valid only
// during the call.
func (s *Socket) Serve(handle func(from netip.AddrPort, datagram []byte)) error {
	b := make([]byte, maxDatagramBytes)
	for {
		n, from, err := s.conn.ReadFromUDPAddrPort(b)
		switch {
		case errors.Is(err, net.ErrClosed):
			return nil
		case errors.Is(err, syscall.ECONNREFUSED):
			continue // an ICMP error caused by an earlier write
		case err != nil:
			return eris.Wrap(err, "read datagram")
		}
		handle(netip.AddrPortFrom(from.Addr().Unmap(), from.Port()), b[:n])
	}
}

// Write sends a datagram.
func (s *Socket) Write(to netip.AddrPort, datagram []byte) error {
	_, err := s.conn.WriteToUDPAddrPort(datagram, to)
	return err
}

// Close closes the socket, which ends Serve.
func (s *Socket) Close() error {
	return s.conn.Close()
}
