package roster

import (
	"slices"
	"strings"
	"time"

	"github.com/currantturn/currantturn"
)

// Entry is a registration and, once it was removed, when and how.
type Entry struct {
	currantturn.Registration
	// Gone is when the registration was removed; zero while it is in force.
	Gone time.Time `cbor:"9,keyasint"`
	// WasDraining reports whether the backend server was draining when its
	// registration was removed, that is, whether it had announced its end.
	WasDraining bool `cbor:"10,keyasint"`
}

// Placeable reports whether new flows may be placed on the backend server.
func (e *Entry) Placeable() bool {
	return e.Gone.IsZero() && e.State == currantturn.BackendActive
}

// Roster is the set of backend servers that are or recently were registered. It
// is not safe for concurrent use.
type Roster struct {
	entries map[currantturn.BackendID]*Entry
	// pendingUntil contains registrations that disappeared while the store was
	// unstable, with the time until which they may reappear.
	pendingUntil map[currantturn.BackendID]time.Time
}

// New returns an empty roster.
func New() *Roster {
	return &Roster{
		entries:      make(map[currantturn.BackendID]*Entry),
		pendingUntil: make(map[currantturn.BackendID]time.Time),
	}
}

// Put stores a registration that is published at present.
func (r *Roster) Put(reg currantturn.Registration) {
	delete(r.pendingUntil, reg.ID)
	r.entries[reg.ID] = &Entry{Registration: reg}
}

// Adopt stores an entry from another roster.
func (r *Roster) Adopt(e Entry) {
	delete(r.pendingUntil, e.ID)
	r.entries[e.ID] = &e
}

// Remove handles the removal of a registration from the store. Before
// trustedFrom, the registration may only have lapsed because the store was
// unstable; its entry then stays in force until trustedFrom, when Expire marks it
// as gone if it has not reappeared. A draining backend server has announced its
// end and is marked as gone at once.
func (r *Roster) Remove(now time.Time, id currantturn.BackendID, trustedFrom time.Time) {
	e := r.entries[id]
	if e == nil || !e.Gone.IsZero() {
		return
	}
	if now.Before(trustedFrom) && e.State != currantturn.BackendDraining {
		if _, pending := r.pendingUntil[id]; !pending {
			r.pendingUntil[id] = trustedFrom
		}
		return
	}
	r.markGone(now, e)
}

// markGone replaces e by a copy that is marked as gone as of now.
func (r *Roster) markGone(now time.Time, e *Entry) {
	delete(r.pendingUntil, e.ID)
	gone := *e
	gone.Gone, gone.WasDraining = now, e.State == currantturn.BackendDraining
	r.entries[e.ID] = &gone
}

// Replace stores a complete listing and removes the registrations that are not
// in it.
func (r *Roster) Replace(now time.Time, all []currantturn.Registration, trustedFrom time.Time) {
	listed := make(map[currantturn.BackendID]bool, len(all))
	for _, reg := range all {
		listed[reg.ID] = true
		r.Put(reg)
	}
	for id := range r.entries {
		if !listed[id] {
			r.Remove(now, id, trustedFrom)
		}
	}
}

// Expire marks registrations as gone that have not reappeared in time, and
// deletes entries that have been gone for longer than GoneRetention. It reports
// whether any entry changed.
func (r *Roster) Expire(now time.Time) (changed bool) {
	for id, deadline := range r.pendingUntil {
		if !now.Before(deadline) {
			r.markGone(now, r.entries[id])
			changed = true
		}
	}
	for id, e := range r.entries {
		if !e.Gone.IsZero() && now.Sub(e.Gone) > GoneRetention {
			delete(r.entries, id)
			changed = true
		}
	}
	return changed
}

// Get returns the entry of a backend server.
func (r *Roster) Get(id currantturn.BackendID) (e Entry, ok bool) {
	if p := r.entries[id]; p != nil {
		return *p, true
	}
	return e, false
}

// Entries returns copies of all entries, sorted by ID.
func (r *Roster) Entries() []Entry {
	all := make([]Entry, 0, len(r.entries))
	for _, e := range r.entries {
		all = append(all, *e)
	}
	slices.SortFunc(all, func(a, b Entry) int { return strings.Compare(string(a.ID), string(b.ID)) })
	return all
}

// Update applies the entries of another roster with a newer state. An own entry that
// the other roster does not have was removed.
func (r *Roster) Update(now time.Time, all []Entry) {
	listed := make(map[currantturn.BackendID]bool, len(all))
	for _, e := range all {
		listed[e.ID] = true
		r.Adopt(e)
	}
	for id, e := range r.entries {
		if !listed[id] && e.Gone.IsZero() {
			r.markGone(now, e)
		}
	}
}

// AdoptGone adds the removed entries of another roster that are missing in this one.
func (r *Roster) AdoptGone(all []Entry) {
	for _, e := range all {
		if !e.Gone.IsZero() && r.entries[e.ID] == nil {
			r.Adopt(e)
		}
	}
}
