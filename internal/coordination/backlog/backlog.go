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

// Backlog is a bounded set of waiting requests. It is not safe for concurrent use.
type Backlog struct {
	waiting []Request // in order of arrival at the agent
	shares  shares    // since the backlog was last empty
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

// RemoveExpired removes and returns the requests whose timeout has passed.
func (b *Backlog) RemoveExpired(now time.Time) (expired []Request) {
	kept := b.waiting[:0]
	for i := range b.waiting {
		if b.waiting[i].expired(now) {
			expired = append(expired, b.waiting[i])
			continue
		}
		kept = append(kept, b.waiting[i])
	}
	b.waiting = kept
	return expired
}

// Stalled reports whether a request waits whose objective is shorter than the time
// that the backend server has answered nothing.
func (b *Backlog) Stalled(unanswered time.Duration) bool {
	for i := range b.waiting {
		if objective := b.waiting[i].Demand.LatencyObjective; objective > 0 && unanswered >= objective {
			return true
		}
	}
	return false
}

// Pop removes and returns the request to run next when a slot is free. Requests that
// can still be answered in time come first; late ones get the slots that no timely one
// waits for. If late ones took slots from timely ones, a load above the capacity would
// soon make all of them late. Among each of the two, kinds of requests share the slots by
// their priority, and the callers of a kind equally; then arrival decides.
func (b *Backlog) Pop(now time.Time, expected time.Duration) (Request, bool) {
	index, found := b.next(now, expected)
	if !found {
		return Request{}, false
	}
	r := b.waiting[index]
	b.removeAt(index)
	b.shares.charge(&r)
	if len(b.waiting) == 0 {
		b.shares = shares{}
	}
	return r, true
}

// next returns the index of the request to run next.
func (b *Backlog) next(now time.Time, expected time.Duration) (index int, found bool) {
	var first position
	for i := range b.waiting {
		r := &b.waiting[i]
		p := b.shares.position(r, r.missesObjective(now, expected))
		if !found || p.before(first) {
			index, found, first = i, true, p
		}
	}
	return index, found
}
