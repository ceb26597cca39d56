package roster

import (
	"time"

	"github.com/currantturn/currantturn"
)

// disputeGrace is how long a registration stays in force after something else was written under
// its ID. A backend server that runs writes its registration again before, and some time is left
// until requests may no longer reach one that has begun to drain.
const disputeGrace = 2500 * time.Millisecond

// Disputed reports whether something was written under the ID that may not come from the backend
// server itself, and that it has not overwritten since.
func (e *Entry) Disputed() bool {
	return e.Unusable || e.Rival != nil
}

// sameHost reports whether a registration may be by the backend server of the entry, also after
// a restart.
func (e *Entry) sameHost(reg *currantturn.Registration) bool {
	return e.Service == reg.Service && e.Address == reg.Address
}

// Offer stores a registration that is published at present. While another one is in force under
// its ID, of another service or address, that one stays in force for disputeGrace, unless the
// backend server had this one before.
func (r *Roster) Offer(now time.Time, reg currantturn.Registration, trustedFrom time.Time) {
	e := r.entries[reg.ID]
	switch {
	case e == nil || e.sameHost(&reg):
		r.Put(reg)
	case !e.Gone.IsZero() || r.entries[earlierID(&reg)] != nil:
		r.replaceBy(now, e, &Entry{Registration: reg})
	default:
		disputed := *e
		disputed.Unusable, disputed.Rival = false, &reg
		r.dispute(now, &disputed, trustedFrom)
	}
}

// Suspect handles something under a backend server's ID that can't be used. It proves nothing of
// the backend server, whose entry stays in force for disputeGrace.
func (r *Roster) Suspect(now time.Time, id currantturn.BackendID, trustedFrom time.Time) {
	e := r.entries[id]
	if e == nil || !e.Gone.IsZero() {
		return
	}
	disputed := *e
	disputed.Unusable, disputed.Rival = true, nil
	r.dispute(now, &disputed, trustedFrom)
}

// dispute stores an entry that is in force until it has not been written again in time. That
// time does not start anew while the entry stays disputed.
func (r *Roster) dispute(now time.Time, e *Entry, trustedFrom time.Time) {
	until := now.Add(disputeGrace)
	if trustedFrom.After(until) {
		until = trustedFrom
	}
	if _, pending := r.pendingUntil[e.ID]; !pending || !r.entries[e.ID].Disputed() {
		r.pendingUntil[e.ID] = until
	}
	r.entries[e.ID] = e
	r.account(e.ID)
}

// settle handles an entry that is listed while the own one is disputed, and reports whether it
// is. The dispute ends if the listed one shows that the backend server has written again.
func (r *Roster) settle(listed *Entry) (disputed bool) {
	own := r.entries[listed.ID]
	if !own.Disputed() || !own.Gone.IsZero() {
		return false
	}
	if listed.Gone.IsZero() && !listed.Disputed() && own.sameHost(&listed.Registration) {
		r.Put(own.Registration)
	}
	return true
}

// endDispute ends a dispute in which the backend server has not written its registration again.
func (r *Roster) endDispute(now time.Time, e *Entry) {
	if e.Rival == nil {
		r.markGone(now, e)
		return
	}
	r.replaceBy(now, e, &Entry{Registration: *e.Rival})
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
	earlier.ID, earlier.Rival = earlierID(&e.Registration), nil
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

// Claimant returns the rival of an entry as one of its own: its agent may hold flows, but is
// not proven to belong to a backend server. It returns false if there is none.
func (e *Entry) Claimant(now time.Time) (c Entry, ok bool) {
	if e.Rival == nil || e.Rival.Address == e.Address {
		return c, false
	}
	c = Entry{Registration: *e.Rival, Gone: now, Unusable: true}
	c.ID = earlierID(e.Rival)
	return c, true
}
