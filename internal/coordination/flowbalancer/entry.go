package flowbalancer

import (
	"slices"
	"time"

	"github.com/currantturn/currantturn"
)

// progress is how far a flow has come, as a balancer knows it.
type progress string

const (
	placing   progress = "placing"   // its opening packet waits for the backend server's answer
	known     progress = "known"     // its holder answered
	searching progress = "searching" // its holder is asked for
)

// reach is how far a search has gone.
type reach string

const (
	askedNone   reach = ""
	askedLikely reach = "likely" // the agents that probably hold the flow
	askedAll    reach = "all"    // every agent that may hold it
)

// entry is what a balancer remembers of a flow.
type entry struct {
	progress progress
	holder   *target // nil while searching
	opening  []byte  // the opening packet while placing
	tried    []currantturn.BackendID
	due      time.Time // of the answer to the opening packet
	asked    time.Time // start of the search
	absent   []currantturn.BackendID
	pending  []byte // packet that waits for the search
	reach    reach  // of the search
	needs    uint64 // revision without which a search proves nothing
	seen     time.Time
	closed   time.Time
	acked    uint32 // of the caller's last packet, for a reset
}

func (e *entry) expired(now time.Time) bool {
	if !e.closed.IsZero() && now.Sub(e.seen) > closedFor {
		return true
	}
	return now.Sub(e.seen) > flowLifetime
}

// search starts or continues a search for the holder.
func (e *entry) search(now time.Time) (fresh bool) {
	if e.progress == searching && now.Sub(e.asked) < searchTimeout {
		return len(e.pending) == 0
	}
	*e = entry{progress: searching, asked: now, seen: now, acked: e.acked, closed: e.closed}
	return true
}

// settle makes a backend server the flow's holder.
func (e *entry) settle(now time.Time, t *target) {
	e.progress, e.holder, e.opening, e.absent, e.seen = known, t, nil, nil, now
	e.pending, e.reach, e.tried = nil, askedNone, nil
}

// deny takes one backend server's no, which rests on a published revision.
func (e *entry) deny(id currantturn.BackendID, revision uint64) {
	e.needs = max(e.needs, revision)
	if !slices.Contains(e.absent, id) {
		e.absent = append(e.absent, id)
	}
}

// denied says whether a backend server does not hold the flow.
func (e *entry) denied(t *target, now, heardAny time.Time) bool {
	return slices.Contains(e.absent, t.entry.ID) || t.absent(now, heardAny)
}

// nowhere says whether every backend server that may hold the flow denied it.
func (e *entry) nowhere(now, heardAny time.Time, all []*target) bool {
	for _, t := range all {
		if !e.denied(t, now, heardAny) {
			return false
		}
	}
	return true
}
