package roster

import (
	"slices"
	"strings"
	"time"

	"github.com/currantturn/currantturn"
)

// Entry is a registration and what became of it.
type Entry struct {
	currantturn.Registration
	// Gone is when the registration was removed; zero while it stands.
	Gone time.Time `cbor:"9,keyasint"`
	// Left says that the backend server announced its end before.
	Left bool `cbor:"10,keyasint"`
}

// Placeable says whether the backend server may get new flows.
func (e *Entry) Placeable() bool {
	return e.Gone.IsZero() && e.State == currantturn.BackendActive
}

// Roster is the set of backend servers that were seen; it is not safe for
// concurrent use.
type Roster struct {
	entries map[currantturn.BackendID]*Entry
	// suspect holds registrations that vanished while the store was unstable,
	// with the time until which they may come back.
	suspect map[currantturn.BackendID]time.Time
}

// New returns an empty roster.
func New() *Roster {
	return &Roster{
		entries: make(map[currantturn.BackendID]*Entry),
		suspect: make(map[currantturn.BackendID]time.Time),
	}
}

// Put takes a registration as it is published now.
func (r *Roster) Put(x currantturn.Registration) {
	delete(r.suspect, x.ID)
	r.entries[x.ID] = &Entry{Registration: x}
}

// Adopt takes an entry of another roster.
func (r *Roster) Adopt(e Entry) {
	delete(r.suspect, e.ID)
	r.entries[e.ID] = &e
}

// Remove takes the end of a registration. One that vanishes before trusted,
// while the store cannot tell a lapse from an end, stays until then unless the
// backend server announced its end.
func (r *Roster) Remove(now time.Time, id currantturn.BackendID, trusted time.Time) {
	e := r.entries[id]
	if e == nil || !e.Gone.IsZero() {
		return
	}
	if now.Before(trusted) && e.State != currantturn.BackendDraining {
		if _, waits := r.suspect[id]; !waits {
			r.suspect[id] = trusted
		}
		return
	}
	r.retire(now, e)
}

func (r *Roster) retire(now time.Time, e *Entry) {
	delete(r.suspect, e.ID)
	gone := *e
	gone.Gone, gone.Left = now, e.State == currantturn.BackendDraining
	r.entries[e.ID] = &gone
}

// Replace takes a whole listing: what it lacks is removed.
func (r *Roster) Replace(now time.Time, all []currantturn.Registration, trusted time.Time) {
	listed := make(map[currantturn.BackendID]bool, len(all))
	for _, x := range all {
		listed[x.ID] = true
		r.Put(x)
	}
	for id := range r.entries {
		if !listed[id] {
			r.Remove(now, id, trusted)
		}
	}
}

// Expire retires registrations that did not come back in time and forgets
// those that are gone for longer than RetainGone; it tells of a change.
func (r *Roster) Expire(now time.Time) (changed bool) {
	for id, until := range r.suspect {
		if !now.Before(until) {
			r.retire(now, r.entries[id])
			changed = true
		}
	}
	for id, e := range r.entries {
		if !e.Gone.IsZero() && now.Sub(e.Gone) > RetainGone {
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

// Entries returns all entries in order of their IDs; they are not changed later.
func (r *Roster) Entries() []Entry {
	all := make([]Entry, 0, len(r.entries))
	for _, e := range r.entries {
		all = append(all, *e)
	}
	slices.SortFunc(all, func(a, b Entry) int { return strings.Compare(string(a.ID), string(b.ID)) })
	return all
}

// Restore replaces the content by entries of another roster.
func (r *Roster) Restore(all []Entry) {
	clear(r.entries)
	clear(r.suspect)
	for _, e := range all {
		r.Adopt(e)
	}
}
