package backlog

import (
	"time"

	"github.com/currantturn/currantturn"
)

// Request is one waiting request.
type Request struct {
	Flow    currantturn.FlowKey
	Arrived time.Time // when its caller began this attempt, as far as known
	Demand  currantturn.Demand
}

// late says whether the request can't be answered within its objective any
// more, if an answer takes as long as expected.
func (r *Request) late(now time.Time, expected time.Duration) bool {
	return r.Demand.Objective > 0 && now.Add(expected).After(r.Arrived.Add(r.Demand.Objective))
}

// expired says whether the caller has given up.
func (r *Request) expired(now time.Time) bool {
	return r.Demand.Timeout > 0 && now.Sub(r.Arrived) >= r.Demand.Timeout
}

// overdue says whether the request has waited for most of its time.
func (r *Request) overdue(now time.Time) bool {
	return r.Demand.Timeout > 0 && now.Sub(r.Arrived) >= r.Demand.Timeout-r.Demand.Timeout/overduePart
}

// Backlog is a bounded set of waiting requests; it is not safe for concurrent
// use.
type Backlog struct {
	waiting []Request // in order of arrival here
	passed  int       // requests released since a late one was
}

// Len returns how many requests wait.
func (b *Backlog) Len() int {
	return len(b.waiting)
}

// Push adds a request, unless the backlog is full.
func (b *Backlog) Push(r Request) bool {
	if len(b.waiting) >= MaxWaiting {
		return false
	}
	b.waiting = append(b.waiting, r)
	return true
}

// Remove takes out the request of a flow, if one waits.
func (b *Backlog) Remove(flow currantturn.FlowKey) {
	for i := range b.waiting {
		if b.waiting[i].Flow == flow {
			b.cut(i)
			return
		}
	}
}

func (b *Backlog) cut(i int) {
	b.waiting = append(b.waiting[:i], b.waiting[i+1:]...)
}

// Due takes out the requests that wait no longer: those whose callers have
// given up, which must not run, and those that are overdue. An open flow can't
// be refused here, but its backend server runs an overdue request or refuses it
// truthfully while its caller still waits.
func (b *Backlog) Due(now time.Time) (gone, overdue []Request) {
	kept := b.waiting[:0]
	for _, r := range b.waiting {
		switch {
		case r.expired(now):
			gone = append(gone, r)
		case r.overdue(now):
			overdue = append(overdue, r)
		default:
			kept = append(kept, r)
		}
	}
	b.waiting = kept
	return gone, overdue
}

// Next takes out the request to run next when a slot is free. It answers the
// load after an outage, when callers come back all at once: in plain order of
// arrival everybody would be late until the backlog is gone. Requests that can
// still be answered in time go first, by priority and then by arrival; late
// ones get the slots that are left, and at least one in lateShare.
func (b *Backlog) Next(now time.Time, expected time.Duration) (Request, bool) {
	timely, late := -1, -1
	for i := range b.waiting {
		best := &timely
		if b.waiting[i].late(now, expected) {
			best = &late
		}
		if *best < 0 || b.waiting[i].Demand.Priority < b.waiting[*best].Demand.Priority {
			*best = i
		}
	}
	at := timely
	if timely < 0 || late >= 0 && b.passed >= lateShare-1 {
		at = late
	}
	if at < 0 {
		return Request{}, false
	}
	b.passed++
	if at == late {
		b.passed = 0
	}
	r := b.waiting[at]
	b.cut(at)
	return r, true
}
