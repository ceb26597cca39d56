package claim

import (
	"net/netip"
	"slices"
	"time"

	"github.com/currantturn/currantturn"
	"github.com/currantturn/currantturn/internal/coordination/rank"
)

// history is one configuration as owners see it: who owns a key now, and who
// may have owned it under earlier configurations. It is never changed.
type history struct {
	version currantturn.Version
	current *rank.Table   // nil without the service
	earlier []*rank.Table // newest first
	gone    []netip.AddrPort
	since   time.Time // an owner under a configuration before this may be unknown
}

// next returns the history with a newer configuration in force. The history is
// whole only from now on if it starts here, skips a version or is cut.
func (h *history) next(now time.Time, v *currantturn.View, service currantturn.ServiceName) *history {
	n := &history{version: v.Version, current: h.current, earlier: h.earlier, since: h.since}
	if v.Version != h.version+1 || h.current == nil {
		n.since = now
	}
	s := v.Service(service)
	if s == nil {
		n.gone = h.gone
		return n
	}
	n.current = rank.NewTable(s)
	if h.current != nil && !sameMembers(h.current.Service, s) {
		n.earlier = append([]*rank.Table{h.current}, h.earlier...)
	}
	if len(n.earlier) > maxHistory {
		n.earlier = n.earlier[:maxHistory]
		n.since = now
	}
	for _, a := range h.gone {
		if !slices.ContainsFunc(s.Backends, func(b currantturn.BackendServer) bool { return b.Agent == a }) {
			n.gone = append(n.gone, a)
		}
	}
	return n
}

// without returns the history with a process marked as gone for good.
func (h *history) without(a netip.AddrPort) *history {
	if slices.Contains(h.gone, a) {
		return h
	}
	n := *h
	n.gone = append(slices.Clone(h.gone), a)
	n.gone = n.gone[max(0, len(n.gone)-maxHistory):]
	return &n
}

// sameMembers says whether two configurations give every key the same owner.
func sameMembers(a, b *currantturn.Service) bool {
	return slices.EqualFunc(a.Backends, b.Backends, func(x, y currantturn.BackendServer) bool {
		return x.ID == y.ID && x.Agent == y.Agent && max(x.Weight, 1) == max(y.Weight, 1)
	})
}

// owner returns the link address of a key's owner, or an invalid address.
func (h *history) owner(hash uint64) netip.AddrPort {
	if h.current == nil {
		return netip.AddrPort{}
	}
	return ownerIn(h.current, hash)
}

func ownerIn(t *rank.Table, hash uint64) netip.AddrPort {
	if b := t.Owner(hash); b != nil {
		return b.Agent
	}
	return netip.AddrPort{}
}

// prior returns the processes other than self that may have granted the key
// under an earlier configuration.
func (h *history) prior(hash uint64, self netip.AddrPort) []netip.AddrPort {
	var out []netip.AddrPort
	for _, t := range h.earlier {
		a := ownerIn(t, hash)
		if a.IsValid() && a != self && !slices.Contains(out, a) && !slices.Contains(h.gone, a) {
			out = append(out, a)
		}
	}
	return out
}
