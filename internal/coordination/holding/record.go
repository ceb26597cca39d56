package holding

import (
	"net/netip"
	"time"
)

// progress is how far a flow has come at this backend server.
type progress string

const (
	opening  progress = "opening"  // the backend server has not answered yet
	answered progress = "answered" // it answered; the caller may choose another answer
	open     progress = "open"     // the caller acknowledged this answer
	closed   progress = "closed"
)

// record is what an agent knows of a flow.
type record struct {
	progress progress
	balancer netip.AddrPort // that placed the flow
	opening  []byte         // the opening packet until it is answered
	sentAt   time.Time      // of the opening packet
	first    uint32         // sequence number of the backend server's answer
	last     uint32         // highest sequence number that it sent
	traced   bool           // first and last are known
	running  time.Time      // since when a request is in progress; zero if none is
	seen     time.Time
	ends     uint8 // closing packets of caller (1) and backend server (2)
}

const (
	endCaller  = 1
	endBackend = 2
)

// acknowledges says whether a caller's packet acknowledges what this backend
// server sent, not what another one answered to the same opening packet.
func (r *record) acknowledges(acked uint32) bool {
	return !r.traced || acked-r.first <= r.last-r.first+1
}

func (r *record) expired(now time.Time) bool {
	if r.progress == closed {
		return now.Sub(r.seen) > closedFor
	}
	return now.Sub(r.seen) > flowLifetime
}
