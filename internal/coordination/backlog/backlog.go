package backlog

import (
	"time"

	"github.com/currantturn/currantturn"
)

// Request is a waiting request.
type Request struct {
	Flow           currantturn.FlowKey
	AttemptStarted time.Time // when its caller started the attempt, as far as known
	Demand         currantturn.Demand
}

// missesObjective reports whether the request can no longer be answered within
// its objective, given the expected time to an answer.
func (r *Request) missesObjective(now time.Time, expected time.Duration) bool {
	return r.Demand.LatencyObjective > 0 && now.Add(expected).After(r.AttemptStarted.Add(r.Demand.LatencyObjective))
}

// expired reports whether the request's timeout has passed, after which its caller
// no longer waits.
func (r *Request) expired(now time.Time) bool {
	return r.Demand.Timeout > 0 && now.Sub(r.AttemptStarted) >= r.Demand.Timeout
}

// overdue reports whether only the last part of the request's timeout is left.
func (r *Request) overdue(now time.Time) bool {
	return r.Demand.Timeout > 0 && now.Sub(r.AttemptStarted) >= r.Demand.Timeout-r.Demand.Timeout/overdueDivisor
}

// Backlog is a bounded set of waiting requests. It is not safe for concurrent use.
type Backlog struct {
	waiting         []Request // in order of arrival at the agent
	timelySinceLate int       // timely requests released since the last late one
}

// Len returns the number of waiting requests.
func (b *Backlog) Len() int {
	return len(b.waiting)
}

// Push adds a request and returns true, or returns false if the backlog is full.
func (b *Backlog) Push(r Request) bool {
	if len(b.waiting) >= MaxWaiting {
		return false
	}
	b.waiting = append(b.waiting, r)
	return true
}

// RemoveAll removes and returns all requests in order of arrival.
func (b *Backlog) RemoveAll() []Request {
	all := b.waiting
	b.waiting = nil
	return all
}

// Remove removes the waiting request of a flow, if there is one.
func (b *Backlog) Remove(flow currantturn.FlowKey) {
	for i := range b.waiting {
		if b.waiting[i].Flow == flow {
			b.removeAt(i)
			return
		}
	}
}

func (b *Backlog) removeAt(i int) {
	b.waiting = append(b.waiting[:i], b.waiting[i+1:]...)
}

// RemoveDue removes and returns the requests that must not wait any longer:
// expired ones, which must not run, and overdue ones, which are to be delivered
// at once. The agent can't refuse a request on an open flow, but the backend
// server can run an overdue one or truthfully refuse it while its caller still
// waits.
func (b *Backlog) RemoveDue(now time.Time) (expired, overdue []Request) {
	kept := b.waiting[:0]
	for _, r := range b.waiting {
		switch {
		case r.expired(now):
			expired = append(expired, r)
		case r.overdue(now):
			overdue = append(overdue, r)
		default:
			kept = append(kept, r)
		}
	}
	b.waiting = kept
	return expired, overdue
}

// Pop removes and returns the request to run next when a slot is free. Requests
// that can still be answered in time come first, by priority and then by
// arrival; late ones get the remaining slots, and at least one in lateInterval.
// After an outage, when all callers return at once, plain order of arrival would
// make every request late until the backlog is empty.
func (b *Backlog) Pop(now time.Time, expected time.Duration) (Request, bool) {
	timely, late := -1, -1
	for i := range b.waiting {
		best := &timely
		if b.waiting[i].missesObjective(now, expected) {
			best = &late
		}
		if *best < 0 || b.waiting[i].Demand.Priority < b.waiting[*best].Demand.Priority {
			*best = i
		}
	}
	index := timely
	if timely < 0 || late >= 0 && b.timelySinceLate >= lateInterval-1 {
		index = late
	}
	if index < 0 {
		return Request{}, false
	}
	b.timelySinceLate++
	if index == late {
		b.timelySinceLate = 0
	}
	r := b.waiting[index]
	b.removeAt(index)
	return r, true
}
