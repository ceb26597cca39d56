package flowbalancer

import (
	"slices"
	"time"

	"github.com/currantturn/currantturn"
)

// progress is the state of a flow at a balancer.
type progress string

const (
	placing   progress = "placing"   // the opening packet awaits the backend server's answer
	known     progress = "known"     // the holder is recorded
	searching progress = "searching" // agents are searched for the holder
	delegated progress = "delegated" // another balancer searches for the holder
)

// searchScope says which agents a search has reached so far.
type searchScope string

const (
	scopeNone   searchScope = ""
	scopeLikely searchScope = "likely" // the agents that probably hold the flow
	scopeRoute  searchScope = "route"  // the agents of the services that the route is known to have led to
	scopeAll    searchScope = "all"    // every agent
)

// entry is what a balancer remembers of a flow.
type entry struct {
	progress      progress
	holder        *target                 // nil while searching
	openingPacket []byte                  // set while placing
	tried         []currantturn.BackendID // backend servers that the opening packet was sent to
	acceptDue     time.Time               // when the opening packet is sent to another backend server
	searchStarted time.Time
	deniedBy      []currantturn.BackendID // backend servers whose agents denied holding the flow
	unsure        []*target               // targets that are to be sent the pending packet, since only that shows whether they hold the flow
	pendingPacket []byte                  // packet to deliver when the search ends
	scope         searchScope             // how far the search has gone
	minPosition   currantturn.Position    // newest state that a denying agent reported; denials are no proof until it is in force
	lastActive    time.Time               // last packet or change of the state
	closedAt      time.Time               // the caller's first closing or reset packet
	acked         uint32                  // what the caller's last packet acknowledged, for a reset
	// delegatedSequence is the sequence number of the last data that another balancer
	// was left to deliver.
	delegatedSequence uint32
}

// expired reports whether the flow has been idle for so long that it is forgotten.
func (e *entry) expired(now time.Time) bool {
	if !e.closedAt.IsZero() && now.Sub(e.lastActive) > closedFlowLifetime {
		return true
	}
	return now.Sub(e.lastActive) > flowLifetime
}

// ensureSearch starts a search for the holder, or continues one that has not timed
// out. It returns true if no packet awaits the result of the search yet.
func (e *entry) ensureSearch(now time.Time) (first bool) {
	if e.progress == searching && now.Sub(e.searchStarted) < searchTimeout {
		return len(e.pendingPacket) == 0
	}
	*e = entry{progress: searching, searchStarted: now, lastActive: now, acked: e.acked, closedAt: e.closedAt}
	return true
}

// setHolder records the flow's holder, which ends a placement or search.
func (e *entry) setHolder(now time.Time, t *target) {
	e.progress, e.holder, e.openingPacket, e.deniedBy, e.lastActive = known, t, nil, nil, now
	e.pendingPacket, e.unsure, e.scope, e.tried = nil, nil, scopeNone, nil
}

// recordDenial records that a backend server does not hold the flow. The position is
// that of the newest published state that its agent reported.
func (e *entry) recordDenial(id currantturn.BackendID, position currantturn.Position) {
	if position.After(e.minPosition) {
		e.minPosition = position
	}
	if !slices.Contains(e.deniedBy, id) {
		e.deniedBy = append(e.deniedBy, id)
	}
}

// ruledOut reports whether a backend server can't be the flow's holder: its agent
// denied that, or it has ended.
func (e *entry) ruledOut(t *target, now, lastReceived time.Time) bool {
	return slices.Contains(e.deniedBy, t.entry.ID) || t.ended(now, lastReceived)
}

// allRuledOut reports whether every one of the backend servers is ruled out.
func (e *entry) allRuledOut(now, lastReceived time.Time, all []*target) bool {
	for _, t := range all {
		if !e.ruledOut(t, now, lastReceived) {
			return false
		}
	}
	return true
}

// notRuledOut returns those of the backend servers that may be the flow's holder.
func (e *entry) notRuledOut(all []*target, now, lastReceived time.Time) (possible []*target) {
	for _, t := range all {
		if !e.ruledOut(t, now, lastReceived) {
			possible = append(possible, t)
		}
	}
	return possible
}
