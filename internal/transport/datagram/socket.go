package datagram

import (
	"errors"
	"net"
	"net/netip"
	"syscall"

	"github.com/rotisserie/eris"
)

const (
	// maxBytes is the largest datagram that is read.
	maxBytes = 2048
	// bufferBytes is the kernel's buffer for a burst of packets.
	bufferBytes = 1 << 20
)

// Socket is a UDP socket.
type Socket struct {
	conn *net.UDPConn
}

// Listen opens a socket at an address.
func Listen(at netip.AddrPort) (*Socket, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(at))
	if err != nil {
		return nil, eris.Wrapf(err, "listen at %s", at)
	}
	// A smaller buffer only loses packets sooner.
	_ = conn.SetReadBuffer(bufferBytes)
	return &Socket{conn: conn}, nil
}

// Serve hands over datagrams until Close; a datagram is valid only during the call.
func (s *Socket) Serve(take func(from netip.AddrPort, datagram []byte)) error {
	b := make([]byte, maxBytes)
	for {
		n, from, err := s.conn.ReadFromUDPAddrPort(b)
		switch {
		case errors.Is(err, net.ErrClosed):
			return nil
		case errors.Is(err, syscall.ECONNREFUSED):
			continue // an answer to an earlier write
		case err != nil:
			return eris.Wrap(err, "read datagram")
		}
		take(netip.AddrPortFrom(from.Addr().Unmap(), from.Port()), b[:n])
	}
}

// Write sends a datagram.
func (s *Socket) Write(to netip.AddrPort, datagram []byte) error {
	_, err := s.conn.WriteToUDPAddrPort(datagram, to)
	return err
}

// Close ends Serve.
func (s *Socket) Close() error {
	return s.conn.Close()
}
