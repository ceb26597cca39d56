package routehistory

import (
	"cmp"
	"math"
	"net/netip"
	"slices"
	"time"

	"github.com/currantturn/currantturn"
)

// Entry is a service that a route used to lead to.
type Entry struct {
	Address netip.AddrPort          `cbor:"1,keyasint"` // of the route
	Service currantturn.ServiceName `cbor:"2,keyasint"`
	AgeMS   uint32                  `cbor:"3,keyasint"` // time since the route stopped leading to it
}

// key identifies an entry.
type key struct {
	address netip.AddrPort
	service currantturn.ServiceName
}

// History is a record of the services that routes used to lead to. It is not safe
// for concurrent use.
type History struct {
	removed map[key]time.Time // when the route stopped leading to the service
}

// New returns an empty history.
func New() *History {
	return &History{removed: make(map[key]time.Time)}
}

// Replace records the services that routes of the old configuration, which may be
// nil, led to and those of the next one do not. It returns false if the history is
// full, so that some are missing from it.
func (h *History) Replace(now time.Time, old, next *currantturn.Routing) (complete bool) {
	if old == nil {
		return true
	}
	leads := make(map[key]bool)
	for i := range next.Routes {
		for _, s := range next.Routes[i].Shares {
			leads[key{next.Routes[i].Address, s.Service}] = true
		}
	}
	complete = true
	for i := range old.Routes {
		for _, s := range old.Routes[i].Shares {
			if k := (key{old.Routes[i].Address, s.Service}); !leads[k] {
				complete = h.add(k, now) && complete
			}
		}
	}
	return complete
}

// Services returns the services that any route used to lead to.
func (h *History) Services() []currantturn.ServiceName {
	var all []currantturn.ServiceName
	for k := range h.removed {
		all = append(all, k.service)
	}
	return all
}

// Merge adds the entries of another process's history. It returns false if the
// history is full, so that some are missing from it.
func (h *History) Merge(now time.Time, entries []Entry) (complete bool) {
	complete = true
	for i := range entries {
		e := &entries[i]
		complete = h.add(key{e.Address, e.Service}, now.Add(-time.Duration(e.AgeMS)*time.Millisecond)) && complete
	}
	return complete
}

// add records that a route stopped leading to a service at the given time, or later
// if a later time is recorded.
func (h *History) add(k key, at time.Time) (added bool) {
	known, found := h.removed[k]
	if !found && len(h.removed) >= MaxEntries {
		return false
	}
	if !found || at.After(known) {
		h.removed[k] = at
	}
	return true
}

// Entries removes the entries older than Retention and returns the others, sorted by
// address and service.
func (h *History) Entries(now time.Time) []Entry {
	var all []Entry
	for k, at := range h.removed {
		age := max(now.Sub(at), 0)
		if age > Retention {
			delete(h.removed, k)
			continue
		}
		all = append(all, Entry{Address: k.address, Service: k.service, AgeMS: uint32(min(age.Milliseconds(), math.MaxUint32))})
	}
	slices.SortFunc(all, func(a, b Entry) int {
		return cmp.Or(a.Address.Compare(b.Address), cmp.Compare(a.Service, b.Service))
	})
	return all
}
