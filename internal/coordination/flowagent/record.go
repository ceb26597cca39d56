package flowagent

import (
	"net/netip"
	"time"

	"github.com/currantturn/currantturn"
)

// progress is the state of a flow at this backend server.
type progress string

const (
	unconfirmed progress = "unconfirmed" // the flow may be older than the agent; the backend server has not answered or bounced its packets
	opening     progress = "opening"     // the backend server has not answered the opening packet
	answered    progress = "answered"    // it answered; the caller may still accept another backend server's answer
	open        progress = "open"        // the caller acknowledged the answer, or the flow is older than the agent
	closed      progress = "closed"      // the record is kept for late packets
)

// flowRecord is the state of one flow at the agent.
type flowRecord struct {
	progress          progress
	balancer          netip.AddrPort // that sent the opening packet, the packet of a waiting request, or an unconfirmed one
	searched          bool           // true while unconfirmed if the packet was sent to search the holder
	openingPacket     []byte         // copy of the opening packet until it is answered or returned
	openingSent       time.Time      // when the opening packet was delivered
	firstSequence     uint32         // sequence number of the backend server's answer to the opening packet
	lastSequence      uint32         // highest sequence number sent by the backend server
	sequencesKnown    bool           // true if firstSequence and lastSequence are known
	mayBeOlder        bool           // the flow may be older than the agent: its opening packet may be a late copy
	attemptStarted    time.Time      // when the caller's attempt started; zero after its first request
	requestStarted    time.Time      // when the request in progress was delivered; zero if there is none
	storedPackets     [][]byte       // packets of a request that waits for a slot
	nextSequence      uint32         // sequence number after the last data delivered from the caller
	nextSequenceKnown bool           // true if nextSequence is known
	lastSeen          time.Time      // when the last packet arrived
	closingsSeen      uint8          // bit set of the closing packets seen: closedByCaller, closedByBackend
}

// Bits of flowRecord.closingsSeen.
const (
	closedByCaller  = 1
	closedByBackend = 2
)

// acknowledges reports whether a caller's packet acknowledges data sent by this
// backend server, and not another one's answer to the same opening packet.
func (r *flowRecord) acknowledges(acked uint32) bool {
	return !r.sequencesKnown || acked-r.firstSequence <= r.lastSequence-r.firstSequence+1
}

// mayHold reports whether the backend server may hold the flow of a caller's packet.
// Without a record from the start of the flow, only the backend server knows.
func (r *flowRecord) mayHold(acked uint32) bool {
	return r.mayBeOlder && r.progress != closed || r.progress != opening && r.acknowledges(acked)
}

// shows reports whether a packet of the backend server shows that it holds the flow, of
// which the agent has not seen the start. An answer to an opening packet does not.
func (r *flowRecord) shows(p *currantturn.Packet) bool {
	switch r.progress {
	case unconfirmed:
		return p.Mark != currantturn.MarkOpening
	case opening, answered:
		return r.mayBeOlder && p.Mark != currantturn.MarkOpening && p.Mark != currantturn.MarkReset
	}
	return false
}

// isRepeat reports whether a caller's data was delivered before.
func (r *flowRecord) isRepeat(p *currantturn.Packet) bool {
	return r.nextSequenceKnown && int32(p.Sequence+uint32(p.DataSize)-r.nextSequence) <= 0
}

// advance moves nextSequence past data that is delivered.
func (r *flowRecord) advance(p *currantturn.Packet) {
	end := p.Sequence + uint32(p.DataSize)
	if !r.nextSequenceKnown || int32(end-r.nextSequence) > 0 {
		r.nextSequence, r.nextSequenceKnown = end, true
	}
}

// expired reports whether the record can be deleted.
func (r *flowRecord) expired(now time.Time) bool {
	switch r.progress {
	case closed:
		return now.Sub(r.lastSeen) > closedFlowLifetime
	case unconfirmed:
		return now.Sub(r.lastSeen) > unconfirmedLifetime
	}
	return now.Sub(r.lastSeen) > flowLifetime
}
