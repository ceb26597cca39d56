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
	// LapsesIn is how long after the entry was read from a roster it counts as gone, unless
	// its registration returns; 0 if the store has it.
	LapsesIn time.Duration `cbor:"13,keyasint,omitempty"`
	// Unusable is true if something that can't be used is or was last published under the
	// ID. That a registration is gone then proves nothing of the backend server.
	Unusable bool `cbor:"14,keyasint,omitempty"`
	// Replacement is a registration under the ID that may be by another writer, and that takes the
	// place of this one when it lapses; nil if there is none.
	Replacement *currantturn.Registration `cbor:"15,keyasint,omitempty"`
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
	digest       uint64
	counted      map[currantturn.BackendID]uint64 // what each entry adds to the digest
}

// New returns an empty roster.
func New() *Roster {
	return &Roster{
		entries:      make(map[currantturn.BackendID]*Entry),
		pendingUntil: make(map[currantturn.BackendID]time.Time),
		counted:      make(map[currantturn.BackendID]uint64),
	}
}

// Put stores a registration that is published at present.
func (r *Roster) Put(reg currantturn.Registration) {
	delete(r.pendingUntil, reg.ID)
	r.entries[reg.ID] = &Entry{Registration: reg}
	r.account(reg.ID)
}

// Adopt stores an entry from another roster, unless it contradicts an own one, of which the
// other roster may not know.
func (r *Roster) Adopt(now time.Time, e Entry) {
	if own := r.entries[e.ID]; own != nil && own.Gone.IsZero() && e.Gone.IsZero() && !e.Conflicting() && !own.sameHost(&e.Registration) {
		r.Offer(now, e.Registration, time.Time{})
		return
	}
	delete(r.pendingUntil, e.ID)
	if e.LapsesIn > 0 {
		r.pendingUntil[e.ID] = now.Add(e.LapsesIn)
	}
	e.LapsesIn = 0
	r.entries[e.ID] = &e
	r.account(e.ID)
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
	if e.Conflicting() {
		// What was removed may not have been written by the backend server.
		unconflicted := *e
		unconflicted.Unusable, unconflicted.Replacement = false, nil
		r.keepInForce(now, &unconflicted, trustedFrom)
		return
	}
	if now.Before(trustedFrom) && e.State != currantturn.BackendDraining {
		r.pendingUntil[id] = trustedFrom
		r.account(id)
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
	r.account(e.ID)
}

// Replace stores a complete listing and removes the registrations that are not
// in it; unusable are the IDs under which something that can't be used is listed.
func (r *Roster) Replace(now time.Time, all []currantturn.Registration, unusable []currantturn.BackendID, trustedFrom time.Time) {
	listed := make(map[currantturn.BackendID]bool, len(all))
	for _, reg := range all {
		listed[reg.ID] = true
		r.Offer(now, reg, trustedFrom)
	}
	for _, id := range unusable {
		listed[id] = true
		r.Suspect(now, id, trustedFrom)
	}
	for id := range r.entries {
		if !listed[id] {
			r.Remove(now, id, trustedFrom)
		}
	}
}

// Reconcile applies entries that may be older than the own ones, such as a listing of a
// store that returned from a copy. An own entry stays unless the other one is later or
// was created after a revision that the store has given out since. An own entry without
// another one is handled as by Remove; unusable are the IDs under which something that can't
// be used is listed.
func (r *Roster) Reconcile(
	now time.Time, all []Entry, unusable []currantturn.BackendID, since uint64, trustedFrom time.Time,
) {
	r.learn(now, all, time.Time{})
	for i := range all {
		if own := r.entries[all[i].ID]; all[i].Gone.IsZero() && all[i].CreatedRevision > since && !own.Gone.IsZero() {
			r.replaceBy(now, own, &all[i])
		}
	}
	listed := make(map[currantturn.BackendID]bool, len(all))
	for i := range all {
		id := all[i].ID
		listed[id] = true
		if r.resolve(&all[i]) {
			continue
		}
		if all[i].LapsesIn == 0 {
			delete(r.pendingUntil, id)
		} else if r.entries[id].Gone.IsZero() {
			r.pendingUntil[id] = now.Add(all[i].LapsesIn)
		}
		r.account(id)
	}
	for _, id := range unusable {
		listed[id] = true
		r.Suspect(now, id, trustedFrom)
	}
	for id := range r.entries {
		if !listed[id] {
			r.Remove(now, id, trustedFrom)
		}
	}
}

// Learn adds the entries of an earlier roster that are missing in this one or later than
// the own ones. Since the store does not have those that are missing here, they count as
// gone from trustedFrom on, unless their registration returns.
func (r *Roster) Learn(now time.Time, all []Entry, trustedFrom time.Time) {
	r.learn(now, all, trustedFrom)
}

// learn is Learn, with a zero time if the store has the missing entries.
func (r *Roster) learn(now time.Time, all []Entry, trustedFrom time.Time) {
	for i := range all {
		own := r.entries[all[i].ID]
		if own != nil && !all[i].laterThan(own) {
			continue
		}
		deadline, pending := r.pendingUntil[all[i].ID]
		r.Adopt(now, all[i])
		if r.entries[all[i].ID].Conflicting() || trustedFrom.IsZero() || !all[i].Gone.IsZero() || all[i].LapsesIn > 0 {
			continue
		}
		switch {
		case pending:
			r.pendingUntil[all[i].ID] = deadline
		case own == nil:
			r.pendingUntil[all[i].ID] = trustedFrom
		}
		r.account(all[i].ID)
	}
}

// laterThan reports whether e is certainly later than another entry of the same backend
// server. Revisions don't show that: the store may have given them out twice. Nor does
// the sequence show that a removed registration was written again, since the store
// doesn't report all writes.
func (e *Entry) laterThan(other *Entry) bool {
	if !e.StartedAt.IsZero() && !other.StartedAt.IsZero() && !e.StartedAt.Equal(other.StartedAt) {
		return e.StartedAt.After(other.StartedAt)
	}
	switch {
	case !other.Gone.IsZero():
		return false
	case !e.Gone.IsZero():
		return true
	case e.Sequence != other.Sequence:
		return e.Sequence > other.Sequence
	default:
		return e.State == currantturn.BackendDraining
	}
}

// Expire marks registrations as gone that have not reappeared in time, and deletes
// entries that have been gone for longer than GoneRetention. A registration can reappear
// only while the store is available, so the store must have confirmed the roster shortly
// before; confirmedAt is the last time. Expire reports whether any entry changed.
func (r *Roster) Expire(now, confirmedAt time.Time) (changed bool) {
	for id, deadline := range r.pendingUntil {
		if !now.Before(deadline) && !confirmedAt.Before(deadline.Add(-maxConfirmationAge)) {
			r.expireConflict(now, r.entries[id])
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

// Contains reports whether there is an entry of a backend server.
func (r *Roster) Contains(id currantturn.BackendID) bool {
	return r.entries[id] != nil
}

// Get returns the entry of a backend server.
func (r *Roster) Get(now time.Time, id currantturn.BackendID) (e Entry, ok bool) {
	p := r.entries[id]
	if p == nil {
		return e, false
	}
	e = *p
	if until, pending := r.pendingUntil[id]; pending {
		e.LapsesIn = max(until.Sub(now), time.Nanosecond)
	}
	return e, true
}

// Postpone gives registrations that have disappeared time until trustedFrom to reappear.
func (r *Roster) Postpone(trustedFrom time.Time) {
	for id := range r.pendingUntil {
		r.pendingUntil[id] = trustedFrom
	}
}

// Lapsing reports whether any entry counts as gone unless its registration returns.
func (r *Roster) Lapsing() bool {
	return len(r.pendingUntil) > 0
}

// Entries returns copies of all entries, sorted by ID.
func (r *Roster) Entries(now time.Time) []Entry {
	all := make([]Entry, 0, len(r.entries))
	for id := range r.entries {
		e, _ := r.Get(now, id)
		all = append(all, e)
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
		r.Adopt(now, e)
	}
	for id, e := range r.entries {
		if !listed[id] && e.Gone.IsZero() {
			r.markGone(now, e)
		}
	}
}

// AdoptGone adds the removed entries of another roster that are missing in this one.
func (r *Roster) AdoptGone(now time.Time, all []Entry) {
	for _, e := range all {
		if !e.Gone.IsZero() && r.entries[e.ID] == nil {
			r.Adopt(now, e)
		}
	}
}
