package flowagent

import (
	"net/netip"
	"time"

	"github.com/currantturn/currantturn"
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
	began    time.Time      // of the caller's attempt, until its first request
	running  time.Time      // since when a request is in progress; zero if none is
	held     [][]byte       // packets of a request that waits for a slot
	next     uint32         // sequence number after the caller's last data
	received bool           // next is known
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

// repeats says whether a caller's data was passed on before.
func (r *record) repeats(p *currantturn.Packet) bool {
	return r.received && int32(p.Sequence+uint32(p.DataSize)-r.next) <= 0
}

// pass takes data that is passed on.
func (r *record) pass(p *currantturn.Packet) {
	end := p.Sequence + uint32(p.DataSize)
	if !r.received || int32(end-r.next) > 0 {
		r.next, r.received = end, true
	}
}

func (r *record) expired(now time.Time) bool {
	if r.progress == closed {
		return now.Sub(r.seen) > closedFor
	}
	return now.Sub(r.seen) > flowLifetime
}
