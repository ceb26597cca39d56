package statesync

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"github.com/currantturn/currantturn"
	"github.com/currantturn/currantturn/internal/protocol/message"
	"github.com/currantturn/currantturn/internal/state/roster"
)

// change is all that was published between two positions, apart from configurations. A
// state at the first one and the change make up the state at the second one, so a change is
// kept, sent and applied as a whole or not at all. It is never modified.
type change struct {
	since   uint64               // revision of the first position
	until   currantturn.Position // the second position
	servers []roster.Entry
	orders  []currantturn.DrainOrder
	fits    bool // into any heartbeat
}

// changeTo returns the change from the present state to the next one by the changes of a
// watch. It returns nil if that includes a configuration or is too large for a heartbeat.
func (f *Feed) changeTo(now time.Time, next *State, changes currantturn.Listing) *change {
	if next.Routing != f.state.Routing {
		return nil
	}
	c := &change{since: f.state.Revision, until: next.Position}
	for _, item := range changes.Items {
		switch {
		case item.Drain != nil:
			c.orders = append(c.orders, *item.Drain)
		case item.Registration != nil:
			c.addServer(now, f, item.Registration.ID)
		default:
			c.addServer(now, f, cmp.Or(item.Removed, item.Unusable))
		}
		if len(c.servers)+len(c.orders) > maxHeartbeatChanges || slices.ContainsFunc(c.servers, isConflicting) {
			return nil
		}
	}
	if len(c.servers) == 0 {
		// Any unchanged registration shows peers that there is nothing to pull.
		c.servers = unconflicted(next.Servers)
	}
	return c.measured()
}

// measured returns the change after recording whether it fits into any heartbeat. Names are as
// long as whoever writes them likes.
func (c *change) measured() *change {
	encoded, err := message.Encode(Heartbeat{Since: c.since, Changed: c.servers, Orders: c.orders})
	c.fits = err == nil && len(encoded) <= maxChangeBytes
	return c
}

// leaveOut removes the change from a heartbeat that it does not fit into; the receiver pulls
// the state.
func (c *change) leaveOut(h *Heartbeat) {
	if c == nil || c.fits {
		return
	}
	if _, err := message.Encode(*h); err != nil {
		h.Since, h.Changed, h.Orders = 0, nil, nil
	}
}

// addServer adds the present entry of a backend server, unless it was removed before it was
// known, or is conflicting as it was in the present state.
func (c *change) addServer(now time.Time, f *Feed, id currantturn.BackendID) {
	if e, ok := f.servers.Get(now, id); ok && !sameConflict(f.state.Servers, e) {
		c.servers = append(c.servers, e)
	}
}

// addTo adds the change that led to the heartbeat's position, if there is one.
func (c *change) addTo(h *Heartbeat) {
	if c != nil && c.until == h.Position {
		h.Since, h.Changed, h.Orders = c.since, c.servers, c.orders
	}
}

// changeFrom returns the change in a peer's heartbeat that leads from the present state to
// the heartbeat's. It returns nil if that needs more, or may: earlier builds leave out
// registrations or orders that don't fit into a heartbeat, and send the rest.
func (f *Feed) changeFrom(from netip.AddrPort, h *Heartbeat) *change {
	if f.incomplete || !h.whole(from) || h.Era != f.state.Era || h.Since != f.state.Revision ||
		h.Version != f.state.RoutingVersion() || len(h.Changed)+len(h.Orders) == 0 {
		return nil
	}
	c := &change{since: h.Since, until: h.Position, servers: h.Changed, orders: h.Orders}
	return c.measured()
}

// apply puts the state in force that a change leads to.
func (f *Feed) apply(now time.Time, c *change) {
	for _, e := range c.servers {
		f.servers.Adopt(now, e)
	}
	for _, o := range c.orders {
		f.drained.domains.Apply(o)
	}
	f.state = State{
		Position: c.until, Routing: f.state.Routing,
		Servers: f.servers.Entries(now), Drained: f.drained.domains.Entries(now),
	}
	f.change = c
}
