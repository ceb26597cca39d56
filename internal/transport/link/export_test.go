package link

import (
	"net/netip"
	"time"

	"github.com/currantturn/currantturn"
)

// HandleDatagram processes a datagram as if the link's socket had received it.
func (l *Link) HandleDatagram(p []byte, source netip.AddrPort) {
	var e currantturn.Envelope
	l.handleDatagram(p, source, &e)
}

// SetReadDeadline makes reads of the link's main socket fail after t.
func (l *Link) SetReadDeadline(t time.Time) error { return l.conn.SetReadDeadline(t) }

// PathCount returns the number of peers with an entry in the path table.
func (l *Link) PathCount() int {
	l.paths.mu.Lock()
	defer l.paths.mu.Unlock()
	return len(l.paths.byPeer)
}

// SetReceiver sets the receiver without starting to read the socket.
func (l *Link) SetReceiver(r Receiver) { l.receiver = r }
