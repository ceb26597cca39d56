package statesync

import (
	"net/netip"
	"slices"
	"time"

	"github.com/currantturn/currantturn"
	"github.com/currantturn/currantturn/internal/event"
	"github.com/currantturn/currantturn/internal/state/drained"
)

// drainedState is what a feed knows of drained failure domains.
type drainedState struct {
	domains *drained.Domains
	// known is true if the domains are those at the position of the state. It is false if
	// that came from a process that does not know of drained failure domains.
	known    bool
	changed  []currantturn.DrainOrder // by the last update, as Feed.changed
	reported []currantturn.FailureDomain
	listedAt time.Time // last complete read of the store
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
	f.drained.known = true
}

// ordersReturnUntil returns the time until which a missing order may return: after the
// store returned from a copy, the operator writes again what is missing there.
func (f *Feed) ordersReturnUntil() time.Time {
	if f.verifying() {
		return f.trustedFrom
	}
	return time.Time{}
}

// adoptDrained applies the drained failure domains of a peer's state, which is not older
// than the own one.
func (f *Feed) adoptDrained(now time.Time, s *State) {
	switch {
	case s.DrainedKnown && (!f.drained.known || s.After(f.state.Position)):
		f.drained.domains.Replace(now, s.Drained, f.ordersReturnUntil())
		f.drained.known = true
	case !s.DrainedKnown && s.After(f.state.Position):
		f.drained.known = false
	}
	f.drained.changed = nil
}

// lacksDrained reports whether a peer's state has the drained failure domains at the
// position of the own one, which does not have them.
func (f *Feed) lacksDrained(peerKnows bool) bool {
	return peerKnows && !f.drained.known
}

// avoids reports whether the newer state of a peer is left aside, because the peer does not
// know of drained failure domains and the own state is recent.
func (f *Feed) avoids(now time.Time, peerKnows bool) bool {
	return !peerKnows && f.usable() && f.drained.known && now.Sub(f.confirmedAt) < f.opts.ApplyWithin/2
}

// mustListDrained reports whether everything is to be read because drained failure domains
// are unknown, which a watch does not return.
func (f *Feed) mustListDrained(now time.Time) bool {
	return !f.drained.known && now.Sub(f.drained.listedAt) >= f.opts.ApplyWithin/2
}

// knowsDrained reports whether the sender of a heartbeat knows of drained failure domains.
func (h *Heartbeat) knowsDrained(from netip.AddrPort) bool {
	return len(h.Peers) > 0 && h.Peers[0] == from
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
