package roster

import (
	"time"

	"github.com/currantturn/currantturn"
)

// conflictGrace is how long a registration stays in force after something else was written under
// its ID. A backend server that runs writes its registration again before, and some time is left
// until requests may no longer reach one that has begun to drain.
const conflictGrace = 2500 * time.Millisecond

// Conflicting reports whether something was written under the ID that may not come from the backend
// server itself, and that it has not overwritten since.
func (e *Entry) Conflicting() bool {
	return e.Unusable || e.Replacement != nil
}

// sameHost reports whether a registration may be by the backend server of the entry, also after
// a restart.
func (e *Entry) sameHost(reg *currantturn.Registration) bool {
	return e.Service == reg.Service && e.Address == reg.Address
}

// Offer stores a registration that is published at present. While another one is in force under
// its ID, of another service or address, that one stays in force for conflictGrace, unless the
// backend server had this one before.
func (r *Roster) Offer(now time.Time, reg currantturn.Registration, trustedFrom time.Time) {
	e := r.entries[reg.ID]
	switch {
	case e == nil || e.sameHost(&reg):
		r.Put(reg)
	case !e.Gone.IsZero() || r.entries[earlierID(&reg)] != nil:
		r.replaceBy(now, e, &Entry{Registration: reg})
	default:
		conflicting := *e
		conflicting.Unusable, conflicting.Replacement = false, &reg
		r.keepInForce(now, &conflicting, trustedFrom)
	}
}

// Suspect handles something under a backend server's ID that can't be used. It proves nothing of
// the backend server, whose entry stays in force for conflictGrace.
func (r *Roster) Suspect(now time.Time, id currantturn.BackendID, trustedFrom time.Time) {
	e := r.entries[id]
	if e == nil || !e.Gone.IsZero() {
		return
	}
	conflicting := *e
	conflicting.Unusable, conflicting.Replacement = true, nil
	r.keepInForce(now, &conflicting, trustedFrom)
}

// keepInForce stores an entry that is in force until it has not been written again in time. That
// time does not start anew while the entry stays conflicting.
func (r *Roster) keepInForce(now time.Time, e *Entry, trustedFrom time.Time) {
	until := now.Add(conflictGrace)
	if trustedFrom.After(until) {
		until = trustedFrom
	}
	if _, pending := r.pendingUntil[e.ID]; !pending || !r.entries[e.ID].Conflicting() {
		r.pendingUntil[e.ID] = until
	}
	r.entries[e.ID] = e
	r.account(e.ID)
}

// resolve handles an entry that is listed while the own one is conflicting, and reports whether it
// is. The conflict ends if the listed one shows that the backend server has written again.
func (r *Roster) resolve(listed *Entry) (conflicting bool) {
	own := r.entries[listed.ID]
	if !own.Conflicting() || !own.Gone.IsZero() {
		return false
	}
	if listed.Gone.IsZero() && !listed.Conflicting() && own.sameHost(&listed.Registration) {
		r.Put(own.Registration)
	}
	return true
}

// expireConflict ends a conflict in which the backend server has not written its registration again.
func (r *Roster) expireConflict(now time.Time, e *Entry) {
	if e.Replacement == nil {
		r.markGone(now, e)
		return
	}
	r.replaceBy(now, e, &Entry{Registration: *e.Replacement})
}

// Supersede stores a registration at once, whatever is in force under its ID.
func (r *Roster) Supersede(now time.Time, reg currantturn.Registration) {
	if e := r.entries[reg.ID]; e != nil {
		r.replaceBy(now, e, &Entry{Registration: reg})
		return
	}
	r.Put(reg)
}

// replaceBy stores an entry in place of one that may have another address. The earlier one is
// then kept as gone under an ID of its own, since its backend server may hold flows. That it
// has ended is known only if it was gone, or if the new one is of a later start.
func (r *Roster) replaceBy(now time.Time, e, by *Entry) {
	earlier := *e
	earlier.ID, earlier.Replacement = earlierID(&e.Registration), nil
	if earlier.Gone.IsZero() {
		earlier.Gone, earlier.WasDraining = now, e.State == currantturn.BackendDraining
		earlier.Unusable = e.Service != by.Service || !by.StartedAt.After(e.StartedAt)
	}
	r.Put(by.Registration)
	delete(r.entries, earlierID(&by.Registration))
	if !e.sameHost(&by.Registration) {
		r.entries[earlier.ID] = &earlier
		r.account(earlier.ID)
	}
}

// earlierID returns the ID under which the entry of a registration is kept that another one has
// replaced.
func earlierID(reg *currantturn.Registration) currantturn.BackendID {
	return currantturn.BackendID(string(reg.ID) + " at " + reg.Address.String())
}

// ReplacementEntry returns the replacement of an entry as one of its own: its agent may hold flows, but is
// not proven to belong to a backend server. It returns false if there is none.
func (e *Entry) ReplacementEntry(now time.Time) (c Entry, ok bool) {
	if e.Replacement == nil || e.Replacement.Address == e.Address {
		return c, false
	}
	c = Entry{Registration: *e.Replacement, Gone: now, Unusable: true}
	c.ID = earlierID(e.Replacement)
	return c, true
}
