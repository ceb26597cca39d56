package claim

import (
	"net/netip"
	"slices"
	"time"

	"github.com/currantturn/currantturn"
	"github.com/currantturn/currantturn/internal/coordination/rank"
)

// history holds the ranking tables that give the owner of a key in the
// configuration in force and its possible owners in earlier ones. It is
// immutable.
type history struct {
	version       currantturn.Version
	current       *rank.Table      // nil until the service was configured
	earlier       []*rank.Table    // newest first
	ended         []netip.AddrPort // ended permanently
	completeSince time.Time        // owners before this time may be missing from earlier
}

// withConfiguration returns the history with a newer configuration in force.
// The history is complete only from now on if this is its first table, a
// version was skipped or old tables were dropped. Processes that are members
// again are no longer marked as ended.
func (h *history) withConfiguration(now time.Time, v *currantturn.View, service currantturn.ServiceName) *history {
	n := &history{version: v.Version, current: h.current, earlier: h.earlier, completeSince: h.completeSince}
	if v.Version != h.version+1 || h.current == nil {
		n.completeSince = now
	}
	s := v.Service(service)
	if s == nil {
		n.ended = h.ended
		return n
	}
	n.current = rank.NewTable(s)
	if h.current != nil && !sameOwners(h.current.Service, s) {
		n.earlier = append([]*rank.Table{h.current}, h.earlier...)
	}
	if len(n.earlier) > maxHistory {
		n.earlier = n.earlier[:maxHistory]
		n.completeSince = now
	}
	for _, addr := range h.ended {
		if !slices.ContainsFunc(s.Backends, func(b currantturn.BackendServer) bool { return b.Agent == addr }) {
			n.ended = append(n.ended, addr)
		}
	}
	return n
}

// withEnded returns the history with a process marked as permanently ended.
func (h *history) withEnded(addr netip.AddrPort) *history {
	if slices.Contains(h.ended, addr) {
		return h
	}
	n := *h
	n.ended = append(slices.Clone(h.ended), addr)
	n.ended = n.ended[max(0, len(n.ended)-maxHistory):]
	return &n
}

// sameOwners reports whether two configurations give every key the same owner.
func sameOwners(a, b *currantturn.Service) bool {
	return slices.EqualFunc(a.Backends, b.Backends, func(x, y currantturn.BackendServer) bool {
		return x.ID == y.ID && x.Agent == y.Agent && max(x.Weight, 1) == max(y.Weight, 1)
	})
}

// owner returns the link address of the key's owner under the configuration in
// force, or an invalid address if there is none.
func (h *history) owner(hash uint64) netip.AddrPort {
	if h.current == nil {
		return netip.AddrPort{}
	}
	return ownerIn(h.current, hash)
}

// ownerIn returns the link address of the key's owner by a table, or an invalid
// address if there is none.
func ownerIn(t *rank.Table, hash uint64) netip.AddrPort {
	if b := t.Owner(hash); b != nil {
		return b.Agent
	}
	return netip.AddrPort{}
}

// earlierOwners returns the processes other than self that owned the key under
// an earlier configuration, and so may have granted it.
func (h *history) earlierOwners(hash uint64, self netip.AddrPort) []netip.AddrPort {
	var owners []netip.AddrPort
	for _, t := range h.earlier {
		addr := ownerIn(t, hash)
		if addr.IsValid() && addr != self && !slices.Contains(owners, addr) && !slices.Contains(h.ended, addr) {
			owners = append(owners, addr)
		}
	}
	return owners
}
