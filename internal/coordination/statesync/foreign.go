package statesync

import (
	"cmp"
	"slices"
	"time"

	"github.com/currantturn/currantturn"
	"github.com/currantturn/currantturn/internal/state/roster"
)

// plausible reports whether a registration may be by a backend server, whose clock may be set
// wrong by a while.
func plausible(now time.Time, r *currantturn.Registration) bool {
	return !r.StartedAt.After(now.Add(maxClockError))
}

// unusableID returns the ID under which an item that can't be used stands.
func unusableID(item currantturn.Item) currantturn.BackendID {
	if item.Registration != nil {
		return item.Registration.ID
	}
	return item.Unusable
}

// splitListing returns the registrations of a listing, and the IDs under which something stands
// that can't be used.
func splitListing(now time.Time, items []currantturn.Item) (usable []currantturn.Registration, unusable []currantturn.BackendID) {
	for _, item := range items {
		switch id := unusableID(item); {
		case item.Registration != nil && plausible(now, item.Registration):
			usable = append(usable, *item.Registration)
		case id != "":
			unusable = append(unusable, id)
		}
	}
	return usable, unusable
}

// offer stores a published registration. One of a service that a route leads to takes the place
// of one of another service at once: that one names no backend server here.
func (f *Feed) offer(now time.Time, r currantturn.Registration, next *State) {
	own, known := f.servers.Get(now, r.ID)
	if known && own.Service != r.Service {
		if routed := f.routedServices(next); routed[r.Service] && !routed[own.Service] {
			f.servers.Supersede(now, r)
			return
		}
	}
	f.servers.Offer(now, r, f.trustedFrom)
}

// routedServices returns the services that a route leads, or is known to have led, to.
func (f *Feed) routedServices(s *State) map[currantturn.ServiceName]bool {
	routed := make(map[currantturn.ServiceName]bool)
	if s.Routing != nil {
		for i := range s.Routing.Routes {
			for _, share := range s.Routing.Routes[i].Shares {
				routed[share.Service] = true
			}
		}
	}
	for _, service := range f.earlier.Services() {
		routed[service] = true
	}
	return routed
}

// mayHide reports whether a listing may hide a backend server that is not known here, and that
// may hold flows: something stands under its ID that it did not write.
func (f *Feed) mayHide(s *State, usable []currantturn.Registration, unusable []currantturn.BackendID) bool {
	for _, id := range unusable {
		if !f.servers.Contains(id) {
			return true
		}
	}
	routed := f.routedServices(s)
	for i := range usable {
		if !f.servers.Contains(usable[i].ID) && !routed[usable[i].Service] {
			return true
		}
	}
	return false
}

// unconflicted returns an entry that every build reads, nil if there is none.
func unconflicted(servers []roster.Entry) []roster.Entry {
	for i := range servers {
		if !isConflicting(servers[i]) {
			return servers[i : i+1]
		}
	}
	return nil
}

// sameConflict reports whether an entry is conflicting and the one in a state is as well, by the
// same. Another writer may write often.
func sameConflict(servers []roster.Entry, e roster.Entry) bool {
	i, found := slices.BinarySearchFunc(servers, e.ID, func(s roster.Entry, id currantturn.BackendID) int { return cmp.Compare(s.ID, id) })
	if !found || !e.Conflicting() || e.Unusable != servers[i].Unusable {
		return false
	}
	before, now := servers[i].Replacement, e.Replacement
	return before == now || before != nil && now != nil && before.Service == now.Service && before.Address == now.Address
}

// isConflicting reports whether an entry has fields that earlier builds refuse in a heartbeat.
func isConflicting(e roster.Entry) bool { return e.Conflicting() }
