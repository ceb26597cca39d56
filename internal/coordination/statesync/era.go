package statesync

import (
	"time"

	"github.com/currantturn/currantturn"
	"github.com/currantturn/currantturn/internal/event"
	"github.com/currantturn/currantturn/internal/state/roster"
	"github.com/rotisserie/eris"
)

// errEarlierEra reports a response that the store sent before it returned from a copy.
var errEarlierEra = eris.New("the store has returned from a copy since the response was sent")

// eraState is what a feed knows of the store's eras, and of the copy that the present one
// began with.
type eraState struct {
	latest uint64 // highest one seen in a response of the store or a peer's state
	// linked is the last era for which the state includes all that was published before it
	// began; 0 if none.
	linked        uint64
	firstRevision uint64    // first one of the present era that was in force here
	verifyAt      time.Time // when to read everything once more; zero if done
	heldUntil     time.Time // when new flows are placed even without a peer's state
}

// observeEra processes the era of a response of the store or of a peer's state. If it is
// a new one, the store has returned from a copy: its revisions are given out again, so
// everything is read anew, and what the copy says is compared with what was known.
func (f *Feed) observeEra(now time.Time, era uint64, out *currantturn.Effects) {
	if era <= f.era.latest {
		return
	}
	f.era.latest = era
	if f.state.Routing == nil && len(f.state.Servers) == 0 {
		return
	}
	out.Event(event.StoreRestored, event.F("era", era), event.F("earlier", f.state.Era),
		event.F("revision", f.state.Revision), event.F("age", now.Sub(f.confirmedAt)))
	f.counts.Restored++
	if f.state.Era == 0 {
		// The revision is of an unknown history; as a later one it would hide the present.
		f.state.Revision = 0
	}
	f.mustList, f.resumed = true, false
	f.trustedFrom, f.lapsedUntil = now.Add(lapseGrace), now.Add(lapseGrace)
	f.beginVerification(now)
	if now.Sub(f.recordedSince) >= recordNeeded {
		f.era.linked = era
	} else {
		// A peer may know of removals that this balancer has not seen.
		f.era.heldUntil = now.Add(firstPeerTimeout)
	}
	f.recordedSince = now
}

// beginVerification sets the time until which registrations are compared with the own ones.
func (f *Feed) beginVerification(now time.Time) {
	f.era.verifyAt = now.Add(verifyDelay + time.Duration(f.rng.Int64N(int64(verifyJitter))))
}

// lacksEarlierEra reports whether a peer's state includes what was published before the
// present era began, and the own one does not. The peer may not know of that era yet.
func (f *Feed) lacksEarlierEra(p currantturn.Position, peerVerifies bool) bool {
	if f.era.latest == 0 || f.era.linked == f.era.latest {
		return false
	}
	return p.Era == f.era.latest && peerVerifies || p.Era != 0 && p.Era < f.era.latest
}

// enterEra records the first position that comes into force here in a new era.
func (f *Feed) enterEra(p currantturn.Position) {
	if p.Era != f.state.Era {
		f.era.firstRevision = p.Revision
	}
}

// confirmAt records that the store confirmed the state at a time. After a gap, missing
// registrations have time to reappear.
func (f *Feed) confirmAt(at time.Time) {
	if at.Sub(f.confirmedAt) > f.opts.ApplyWithin/2 {
		f.servers.Postpone(at.Add(lapseGrace))
		f.drained.domains.Postpone(at.Add(lapseGrace))
	}
	f.confirmedAt = at
}

// isLate reports whether a response of the store was sent before it returned from a copy.
func (f *Feed) isLate(p currantturn.Position) bool {
	return p.Era != 0 && p.Era < f.era.latest
}

// verifying reports whether registrations in the store may still be those of a copy, and
// the own ones those that the store lost.
func (f *Feed) verifying() bool {
	return !f.era.verifyAt.IsZero()
}

// verificationDue reports whether everything is to be read once more, because what the
// copy contained and nobody has written since has lapsed.
func (f *Feed) verificationDue(now time.Time) bool {
	return f.verifying() && !now.Before(f.era.verifyAt)
}

// replaceServers applies a complete listing of the registrations.
func (f *Feed) replaceServers(now time.Time, all []currantturn.Registration, unusable []currantturn.BackendID) {
	if f.verificationDue(now) {
		f.era.verifyAt = time.Time{}
	}
	if !f.verifying() {
		f.servers.Replace(now, all, unusable, f.trustedFrom)
		return
	}
	entries := make([]roster.Entry, 0, len(all))
	for _, r := range all {
		entries = append(entries, roster.Entry{Registration: r})
	}
	f.servers.Reconcile(now, entries, unusable, f.era.firstRevision, f.trustedFrom)
}

// learnEarlierEra adds what a peer knows of before the present era began to the own state,
// which may be newer otherwise.
func (f *Feed) learnEarlierEra(now time.Time, s *State, out *currantturn.Effects) {
	f.beginVerification(now)
	f.era.linked, f.era.heldUntil = f.era.latest, time.Time{}
	if f.state.Routing == nil {
		return // the peer's state replaces the own one
	}
	next := f.state
	f.setRouting(now, &next, s.Routing, out)
	f.servers.Learn(now, s.Servers, now.Add(lapseGrace))
	f.drained.domains.Learn(now, s.Drained, now.Add(lapseGrace))
	next.Servers, next.Drained = f.servers.Entries(now), f.drained.domains.Entries(now)
	f.state, f.change = next, nil
}

// fromEarlierEra reports whether a peer's position can't be compared with the own one: its
// process does not know of eras, and its revision may be of an earlier one.
func (f *Feed) fromEarlierEra(p currantturn.Position) bool {
	return p.Era == 0 && f.era.latest != 0
}

// placementHeld reports whether new flows have to wait for a peer's state: the own one was
// read from a store that may have returned from a copy a moment ago.
func (f *Feed) placementHeld(now time.Time) bool {
	return now.Before(f.era.heldUntil)
}

// holdPlacement holds new flows back after the first listing of a process that does not
// know what was published before.
func (f *Feed) holdPlacement() {
	if f.era.latest != 0 && !f.opts.Fresh {
		f.era.heldUntil = f.startedAt.Add(firstPeerTimeout)
	}
}
