package statesync

import (
	"encoding/binary"
	"net/netip"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/currantturn/currantturn"
	"github.com/currantturn/currantturn/internal/event"
)

// checkState is what a feed knows of the check of its state: a complete read of the store
// because a peer has another state at the same position.
type checkState struct {
	at         time.Time   // when the check is due; zero if no peer differs
	finishedAt time.Time   // end of the last check
	listed     stateDigest // of the last state that was read from the store as a whole
}

// digest returns a digest of what the store has at the position of the state, which is never
// 0. It returns 0 while that is not known: without a complete state, and while what a store
// says that returned from a copy is compared with what was known.
func (f *Feed) digest() uint64 {
	if f.state.Routing == nil || f.incomplete || f.verifying() {
		return 0
	}
	content := binary.BigEndian.AppendUint64(nil, f.servers.Digest())
	content = binary.BigEndian.AppendUint64(content, uint64(f.state.RoutingVersion()))
	for _, name := range f.drained.domains.Ordered() {
		content = append(append(content, name...), 0)
	}
	return max(xxhash.Sum64(content), 1)
}

// compareDigest compares the digest in a peer's heartbeat with that of the own state, if both
// are of one position. If they differ, one of the two has missed a change, and neither knows
// which one: both read everything. It reports whether the state changed, which may not be
// used to reset flows until then.
func (f *Feed) compareDigest(now time.Time, from netip.AddrPort, h *Heartbeat, out *currantturn.Effects) (changed bool) {
	own := f.digest()
	p := f.peers[from]
	knownDifference := p.differs(f.state.Position, own)
	p.position, p.digest = h.Position, h.Digest
	f.peers[from] = p
	if !p.differs(f.state.Position, own) {
		return false
	}
	if !knownDifference {
		f.counts.Differences++
		out.Event(event.StateDiffers, event.F("peer", from), event.F("era", h.Era), event.F("revision", h.Revision),
			event.F("own", own), event.F("theirs", h.Digest))
	}
	read := f.check.listed == stateDigest{f.state.Position, own} // so the peer has missed a change
	if read || !f.check.at.IsZero() || now.Sub(f.check.finishedAt) < checkInterval {
		return false
	}
	f.check.at = now.Add(time.Duration(f.rng.Int64N(int64(f.checkSpread(now, own)))))
	return true
}

// stateDigest is the digest of a state, 0 if it has none.
type stateDigest struct {
	position currantturn.Position
	digest   uint64
}

// differs reports whether the digest is another one than that of a state at the same position.
func (d *stateDigest) differs(position currantturn.Position, digest uint64) bool {
	return d.digest != 0 && digest != 0 && d.position == position && d.digest != digest
}

// checkSpread returns the time within which everything is read after a difference: soon if
// more peers agree on another digest than on the own one. Otherwise the reads of all
// balancers are spread, and most of them are not needed any more when they are due.
func (f *Feed) checkSpread(now time.Time, own uint64) time.Duration {
	agreed := make(map[uint64]int)
	others := 0
	for _, p := range f.peers {
		if now.Sub(p.lastReceived) < peerTimeout && p.position == f.state.Position && p.digest != 0 {
			agreed[p.digest]++
			if p.digest != own {
				others = max(others, agreed[p.digest])
			}
		}
	}
	if others > agreed[own] {
		return minCheckSpread
	}
	calls := f.countAlive(now) * (2 + len(f.state.Servers)/pageItems)
	return minCheckSpread + time.Duration(calls)*time.Second/checkRate
}

// checkDue reports whether everything is to be read because a peer has another state at the
// same position.
func (f *Feed) checkDue(now time.Time) bool {
	return !f.check.at.IsZero() && !now.Before(f.check.at)
}

// cancelCheck ends a check that is due if no peer differs any more, and reports whether it
// did.
func (f *Feed) cancelCheck(now time.Time) bool {
	if !f.checkDue(now) {
		return false
	}
	own := f.digest()
	for _, p := range f.peers {
		if now.Sub(p.lastReceived) < peerTimeout && p.differs(f.state.Position, own) {
			return false
		}
	}
	f.check.at = time.Time{}
	return true
}

// postponeCheck postpones a check whose read was overtaken by a newer state.
func (f *Feed) postponeCheck(now time.Time) {
	if !f.check.at.IsZero() {
		f.check.at = now.Add(minCheckSpread)
	}
}

// finishCheck records a complete read of the store, after which the own state is right.
func (f *Feed) finishCheck(now time.Time) {
	if !f.check.at.IsZero() {
		f.check.at, f.check.finishedAt = time.Time{}, now
		f.counts.Checks++
	}
	f.check.listed = stateDigest{f.state.Position, f.digest()}
}
