package statesync

import (
	"slices"
	"time"

	"github.com/currantturn/currantturn"
	"github.com/currantturn/currantturn/internal/event"
	"github.com/currantturn/currantturn/internal/state/drained"
)

// drainedState is what a feed knows of drained failure domains.
type drainedState struct {
	domains  *drained.Domains
	reported []currantturn.FailureDomain
}

// replaceDrained applies a complete listing of the orders to drain failure domains.
func (f *Feed) replaceDrained(now time.Time, listing currantturn.Listing) {
	var all []drained.Entry
	for _, item := range listing.Items {
		if item.Drain != nil && !item.Drain.Revoked {
			all = append(all, drained.Entry{FailureDomain: item.Drain.FailureDomain})
		}
	}
	f.drained.domains.Replace(now, all, f.ordersReturnUntil())
}

// ordersReturnUntil returns the time until which a missing order may return: after the
// store returned from a copy, the operator writes again what is missing there.
func (f *Feed) ordersReturnUntil() time.Time {
	if f.verifying() {
		return f.trustedFrom
	}
	return time.Time{}
}

// adoptDrained replaces the drained failure domains by those of a peer's state, unless its
// process does not know of them.
func (f *Feed) adoptDrained(now time.Time, s *State) {
	if s.DrainedKnown {
		f.drained.domains.Replace(now, s.Drained, f.ordersReturnUntil())
	}
}

// withoutOrders returns the heartbeat for a receiver that may not know of drained failure
// domains, and would not decode changes of them: it pulls the state instead.
func (h Heartbeat) withoutOrders() Heartbeat {
	if len(h.Orders) > 0 {
		h.Changed, h.Orders = nil, nil
	}
	return h
}

// reportDrained emits an event for each failure domain that was drained or taken back since
// the last call.
func (f *Feed) reportDrained(out *currantturn.Effects) {
	if len(f.state.Drained) == 0 && len(f.drained.reported) == 0 {
		return
	}
	var current []currantturn.FailureDomain
	for _, e := range f.state.Drained {
		current = append(current, e.FailureDomain)
		if !slices.Contains(f.drained.reported, e.FailureDomain) {
			f.reportDomain(event.DomainDrained, e.FailureDomain, out)
		}
	}
	for _, name := range f.drained.reported {
		if !slices.Contains(current, name) {
			f.reportDomain(event.DomainRestored, name, out)
		}
	}
	f.drained.reported = current
}

// reportDomain emits an event about a failure domain, with the number of its registered
// backend servers.
func (f *Feed) reportDomain(number int, name currantturn.FailureDomain, out *currantturn.Effects) {
	servers := 0
	for i := range f.state.Servers {
		if e := &f.state.Servers[i]; e.Gone.IsZero() && e.FailureDomain == name {
			servers++
		}
	}
	out.Event(number, event.F("domain", name), event.F("servers", servers),
		event.F("era", f.state.Era), event.F("revision", f.state.Revision))
}
