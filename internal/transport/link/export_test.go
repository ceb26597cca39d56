package link

import (
	"net/netip"
	"time"

	"github.com/currantturn/currantturn"
)

// Take hands a datagram to the link as if its socket had read it.
func (l *Link) Take(p []byte, source netip.AddrPort) {
	var e currantturn.Envelope
	l.take(p, source, &e)
}

// SetReadDeadline makes the reads of the link's own socket fail from t on.
func (l *Link) SetReadDeadline(t time.Time) error { return l.conn.SetReadDeadline(t) }

// Paths is how many peers have a path of their own.
func (l *Link) Paths() int {
	l.paths.mu.Lock()
	defer l.paths.mu.Unlock()
	return len(l.paths.peers)
}

// Receive sets the receiver without reading the socket.
func (l *Link) Receive(r Receiver) { l.receiver = r }
