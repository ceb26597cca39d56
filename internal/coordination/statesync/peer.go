package statesync

import (
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/currantturn/currantturn"
	"github.com/currantturn/currantturn/internal/event"
)

// Outcome is the outcome of a received heartbeat.
type Outcome string

// Outcomes of a heartbeat.
const (
	OutcomeNone    Outcome = "none"    // the state stays as it was
	OutcomeChanged Outcome = "changed" // the heartbeat's change was applied to the state, or no flow may be reset by it for now
	OutcomePull    Outcome = "pull"    // the sender's state is newer, or its record reaches further back: pull it
)

// peer is another balancer.
type peer struct {
	lastReceived time.Time // when its last heartbeat arrived
	capacity     float64
	searches     bool // whether it takes searches from other balancers
	knowsDrained bool // whether it knows of drained failure domains
	whole        bool // whether its state and the changes that it sends are complete
	stateDigest       // in its last heartbeat
}

// isWatcher reports whether this balancer is one of the watchers, which are the
// first of the balancers that are alive, in the order of precedes. Those without a complete
// state do not count.
func (f *Feed) isWatcher(now time.Time) bool {
	preceding := 0
	for addr, p := range f.peers {
		if p.whole && now.Sub(p.lastReceived) < peerTimeout && f.precedes(addr, p.capacity) {
			preceding++
		}
	}
	return preceding < watcherCount
}

// precedes reports whether a peer comes before this balancer in the choice of
// watchers: by the capacity of its link, then by the hash of its address.
func (f *Feed) precedes(addr netip.AddrPort, capacity float64) bool {
	if capacity != f.opts.Capacity {
		return capacity > f.opts.Capacity
	}
	return hashAddress(addr) < hashAddress(f.opts.Self)
}

func hashAddress(addr netip.AddrPort) uint64 {
	return xxhash.Sum64String(addr.String())
}

// HandleHeartbeat processes a peer's heartbeat.
func (f *Feed) HandleHeartbeat(now time.Time, from netip.AddrPort, h Heartbeat, out *currantturn.Effects) Outcome {
	f.mu.Lock()
	defer f.mu.Unlock()
	if now.Sub(f.peers[from].lastReceived) >= peerTimeout && len(f.greet) < heartbeatFanout {
		f.greet = append(f.greet, from)
	}
	f.peers[from] = peer{
		lastReceived: now, capacity: h.Capacity, searches: h.Searches, knowsDrained: h.knowsDrained(from), whole: h.whole(from),
		stateDigest: f.peers[from].stateDigest,
	}
	for _, p := range h.Peers {
		if _, known := f.peers[p]; !known && p != f.opts.Self && len(f.peers) < maxPeers {
			f.peers[p] = peer{lastReceived: now.Add(-peerTimeout)} // gets heartbeats but is not alive yet
		}
	}
	switch {
	case f.needsAnnounced(int(h.Announced)), f.lacksEarlierEra(h.Position, h.Unverified):
		return OutcomePull
	case h.Version == 0 || f.fromEarlierEra(h.Position) || f.state.After(h.Position):
		return OutcomeNone // a recent confirmation of an older state confirms nothing here
	case h.After(f.state.Position):
		if f.avoids(now, h.whole(from)) {
			return OutcomeNone
		}
		c := f.changeFrom(from, &h)
		if c == nil {
			return OutcomePull
		}
		f.apply(now, c)
		out.Event(event.ChangeReceived, event.F("peer", from), event.F("since", c.since), event.F("era", h.Era),
			event.F("revision", h.Revision), event.F("servers", len(c.servers)), event.F("orders", len(c.orders)))
		f.confirm(now, h.AgeMS)
		f.compareDigest(now, from, &h, out)
		return OutcomeChanged
	}
	f.confirm(now, h.AgeMS)
	if f.compareDigest(now, from, &h, out) {
		return OutcomeChanged
	}
	if f.needsRecord(now, h.RecordedMS) || f.incomplete && h.whole(from) {
		return OutcomePull
	}
	return OutcomeNone
}

// avoids reports whether the newer state of a peer is left aside, because it may not be
// complete and the own one is, and is recent.
func (f *Feed) avoids(now time.Time, whole bool) bool {
	return !whole && f.usable() && !f.incomplete && now.Sub(f.confirmedAt) < f.opts.ApplyWithin/2
}

// confirm records that the store confirmed the state ageMS milliseconds ago,
// unless a later confirmation is known.
func (f *Feed) confirm(now time.Time, ageMS uint32) {
	if at := now.Add(-time.Duration(ageMS) * time.Millisecond); at.After(f.confirmedAt) {
		f.confirmAt(at)
	}
}

// Tick expires registrations and sends heartbeats when they are due; it reports
// whether the state changed.
func (f *Feed) Tick(now time.Time, out *currantturn.Effects) (changed bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.servers.Expire(now, f.confirmedAt) {
		f.state.Servers = f.servers.Entries(now)
		changed = true
	}
	if f.drained.domains.Expire(now, f.confirmedAt) {
		f.state.Drained = f.drained.domains.Entries(now)
		changed = true
	}
	f.reportDrained(out)
	changed = f.expireAnnounced(now) || changed
	changed = f.cancelCheck(now) || changed
	if !f.era.heldUntil.IsZero() && !f.placementHeld(now) {
		f.era.heldUntil = time.Time{}
		changed = true
	}
	if !f.hiddenUntil.IsZero() && !now.Before(f.hiddenUntil) {
		f.hiddenUntil = time.Time{}
		changed = true
	}
	if !f.lapsedUntil.IsZero() && !now.Before(f.lapsedUntil) {
		f.lapsedUntil = time.Time{}
		changed = changed || len(f.announced) > 0
	}
	for _, addr := range f.greet {
		out.Send(addr, f.heartbeat(now, addr, nil))
	}
	f.greet = f.greet[:0]
	if now.Sub(f.lastHeartbeat) >= heartbeatInterval {
		if f.state.Routing != nil {
			f.ages.Record(now.Sub(f.confirmedAt))
		}
		f.reportWatching(now, out)
		f.sendHeartbeats(now, heartbeatFanout, out)
	}
	return changed
}

// reportWatching emits an event when this balancer becomes a watcher or ceases
// to be one, which depends on the peers that are alive.
func (f *Feed) reportWatching(now time.Time, out *currantturn.Effects) {
	watching := f.isWatcher(now)
	if watching == f.reportedWatching || f.state.Routing == nil {
		return
	}
	f.reportedWatching = watching
	number := event.StoreLeftToOthers
	if watching {
		number = event.StoreWatched
	}
	out.Event(number, event.F("peers", f.countAlive(now)), event.F("age", now.Sub(f.confirmedAt)))
}

// Delegates returns the balancers that are alive and whose links are so much faster
// that this balancer leaves searches to them.
func (f *Feed) Delegates(now time.Time) (all []netip.AddrPort) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for addr, p := range f.peers {
		if p.searches && now.Sub(p.lastReceived) < peerTimeout && p.capacity >= delegateSpeedup*f.opts.Capacity {
			all = append(all, addr)
		}
	}
	slices.SortFunc(all, netip.AddrPort.Compare)
	return all
}

// Alive returns the other balancers whose last heartbeat is recent and which know of
// drained failure domains.
func (f *Feed) Alive(now time.Time) (all []netip.AddrPort) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for addr, p := range f.peers {
		if p.knowsDrained && now.Sub(p.lastReceived) < peerTimeout {
			all = append(all, addr)
		}
	}
	return all
}

// PeerCount returns the number of other balancers that are alive.
func (f *Feed) PeerCount(now time.Time) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.countAlive(now)
}

// countAlive counts the peers whose last heartbeat is recent.
func (f *Feed) countAlive(now time.Time) (n int) {
	for _, p := range f.peers {
		if now.Sub(p.lastReceived) < peerTimeout {
			n++
		}
	}
	return n
}

// SendHeartbeats sends heartbeats at once, because the state has changed.
func (f *Feed) SendHeartbeats(now time.Time, out *currantturn.Effects) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.sendHeartbeats(now, changeFanout, out)
}

// sendHeartbeats drops peers that sent nothing for too long and sends heartbeats
// to a random choice of up to fanout of the others.
func (f *Feed) sendHeartbeats(now time.Time, fanout int, out *currantturn.Effects) {
	f.lastHeartbeat = now
	receivers := make([]netip.AddrPort, 0, len(f.peers))
	for addr, p := range f.peers {
		if now.Sub(p.lastReceived) > peerRetention && !slices.Contains(f.opts.Seeds, addr) {
			delete(f.peers, addr)
			continue
		}
		receivers = append(receivers, addr)
	}
	slices.SortFunc(receivers, netip.AddrPort.Compare)
	f.rng.Shuffle(len(receivers), func(i, j int) { receivers[i], receivers[j] = receivers[j], receivers[i] })
	peers := receivers[:min(len(receivers), maxHeartbeatPeers)]
	for _, addr := range receivers[:min(len(receivers), fanout)] {
		out.Send(addr, f.heartbeat(now, addr, peers))
	}
}

// heartbeat returns the heartbeat for a receiver, with the present state and addresses of
// other balancers.
func (f *Feed) heartbeat(now time.Time, to netip.AddrPort, others []netip.AddrPort) Heartbeat {
	h := Heartbeat{
		Position: f.state.Position, Version: f.state.RoutingVersion(), Capacity: f.opts.Capacity,
		RecordedMS: f.recordedMS(now), Searches: true, Announced: uint32(len(f.announced)), Unverified: f.verifying(),
		AgeMS: uint32(min(now.Sub(f.confirmedAt), time.Hour).Milliseconds()),
	}
	h.Peers = append(h.Peers, f.opts.Self)
	if !f.incomplete {
		h.Peers = append(h.Peers, f.opts.Self)
	}
	h.Peers = append(h.Peers, others...)
	f.change.addTo(&h)
	if f.peers[to].whole {
		h.Digest = f.digest()
	}
	f.change.leaveOut(&h)
	if !f.peers[to].knowsDrained {
		return h.withoutOrders()
	}
	return h
}

// knowsDrained reports whether the sender of a heartbeat knows of drained failure domains.
func (h *Heartbeat) knowsDrained(from netip.AddrPort) bool {
	return len(h.Peers) > 0 && h.Peers[0] == from
}

// whole reports whether the sender of a heartbeat has a complete state, and sends changes as
// a whole or not at all.
func (h *Heartbeat) whole(from netip.AddrPort) bool {
	return len(h.Peers) > 1 && h.Peers[0] == from && h.Peers[1] == from
}
