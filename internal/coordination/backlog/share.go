package backlog

import (
	"math"
	"net/netip"
)

// ledger orders those who share the slots by start-time fair queueing: whoever has got
// least for its weight comes next. Shares that are not used fall to the others, and
// are not saved up. K identifies who shares.
type ledger[K comparable] struct {
	virtual float64       // start of the last one chosen
	until   map[K]float64 // what each has got, as far as it is ahead of virtual
}

// start returns the position of k in the order.
func (l *ledger[K]) start(k K) float64 {
	return max(l.virtual, l.until[k])
}

// charge records that k is given a slot; cost is the inverse of its weight.
func (l *ledger[K]) charge(k K, cost float64) {
	if l.until == nil {
		l.until = make(map[K]float64)
	}
	l.virtual = l.start(k)
	l.until[k] = l.virtual + cost
	if len(l.until) > maxLedger {
		l.prune()
	}
}

// prune deletes the entries without effect, or all if these are few.
func (l *ledger[K]) prune() {
	for k, until := range l.until {
		if until <= l.virtual {
			delete(l.until, k)
		}
	}
	if len(l.until) > maxLedger/2 {
		clear(l.until)
	}
}

// shares orders requests by kind, which is the address of the service, and then by
// caller.
type shares struct {
	kinds   ledger[netip.AddrPort]
	callers map[netip.AddrPort]*ledger[netip.Addr] // by kind
}

// position is the place of a request in the order; arrival decides between equal ones.
type position struct {
	late     bool
	kind     float64
	priority int
	caller   float64
}

func (p *position) before(other position) bool {
	switch {
	case p.late != other.late:
		return other.late
	case p.kind != other.kind:
		return p.kind < other.kind
	case p.priority != other.priority:
		return p.priority < other.priority
	}
	return p.caller < other.caller
}

// position returns the place of a request in the order.
func (s *shares) position(r *Request, late bool) position {
	p := position{late: late, kind: s.kinds.start(r.Flow.Service), priority: r.Demand.Priority}
	if callers := s.callers[r.Flow.Service]; callers != nil {
		p.caller = callers.start(r.Flow.Caller.Addr())
	}
	return p
}

// charge records that a request is given a slot. Each step of priority doubles the
// share of a kind.
func (s *shares) charge(r *Request) {
	s.kinds.charge(r.Flow.Service, math.Exp2(float64(r.Demand.Priority)))
	callers := s.callers[r.Flow.Service]
	if callers == nil {
		if s.callers == nil {
			s.callers = make(map[netip.AddrPort]*ledger[netip.Addr])
		}
		callers = &ledger[netip.Addr]{}
		s.callers[r.Flow.Service] = callers
	}
	callers.charge(r.Flow.Caller.Addr(), 1)
}
