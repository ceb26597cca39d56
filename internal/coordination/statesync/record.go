package statesync

import (
	"math"
	"time"

	"github.com/currantturn/currantturn/internal/state/roster"
)

// recordNeeded is how far back the record of removals has to reach, so that it
// contains every backend server that may hold an open flow: the lifetime of a flow.
const recordNeeded = roster.GoneRetention

// recordedMS returns how far back the own record of removals reaches; 0 without a
// state.
func (f *Feed) recordedMS(now time.Time) uint32 {
	if f.state.Routing == nil {
		return 0
	}
	return uint32(min(max(now.Sub(f.recordedSince).Milliseconds(), 0), math.MaxUint32))
}

// needsRecord reports whether a peer's record reaches clearly further back than the
// own one, which does not reach back far enough.
func (f *Feed) needsRecord(now time.Time, recordedMS uint32) bool {
	own, theirs := now.Sub(f.recordedSince), time.Duration(recordedMS)*time.Millisecond
	return own < recordNeeded && theirs > own+minRecordGain
}

// mergeRecord adds the record in a peer's state, which is not older than the own
// state, to the own record.
func (f *Feed) mergeRecord(now time.Time, s *State) {
	f.servers.AdoptGone(now, s.Servers)
	complete := f.earlier.Merge(now, s.Earlier)
	theirs := now.Add(-s.Recorded())
	switch known := f.usable(); {
	case !complete:
		f.recordedSince = now
	case !known && f.opts.Fresh:
	case !known, s.After(f.state.Position) && theirs.After(f.confirmedAt):
		// Nobody recorded the changes between the own state and the start of the
		// peer's record.
		f.recordedSince = theirs
	case theirs.Before(f.recordedSince):
		f.recordedSince = theirs
	}
}
