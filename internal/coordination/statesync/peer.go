package statesync

import (
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/currantturn/currantturn"
	"github.com/currantturn/currantturn/internal/event"
)

// News is what a heartbeat brings.
type News string

// Kinds of news.
const (
	NewsNone    News = "none"
	NewsChanged News = "changed" // the state has changed
	NewsPull    News = "pull"    // the sender's state is worth a pull
)

// peer is another balancer.
type peer struct {
	heard    time.Time
	capacity float64
}

// watches says whether this balancer is among the watchers of those alive.
func (f *Feed) watches(now time.Time) bool {
	before := 0
	for at, p := range f.peers {
		if now.Sub(p.heard) < peerTimeout && f.precedes(at, p.capacity) {
			before++
		}
	}
	return before < watchers
}

// precedes says whether another balancer watches rather than this one.
func (f *Feed) precedes(at netip.AddrPort, capacity float64) bool {
	if capacity != f.opts.Capacity {
		return capacity > f.opts.Capacity
	}
	return order(at) < order(f.opts.Self)
}

func order(at netip.AddrPort) uint64 {
	return xxhash.Sum64String(at.String())
}

// Handle takes a peer's heartbeat.
func (f *Feed) Handle(now time.Time, from netip.AddrPort, h Heartbeat) News {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.peers[from] = peer{heard: now, capacity: h.Capacity}
	for _, p := range h.Peers {
		if _, known := f.peers[p]; !known && p != f.opts.Self && len(f.peers) < maxPeers {
			f.peers[p] = peer{heard: now.Add(-peerTimeout)}
		}
	}
	switch {
	case h.Version == 0 || h.Revision < f.state.Revision:
		return NewsNone // an older state that the store confirmed late says nothing new
	case h.Revision > f.state.Revision:
		if h.Since != f.state.Revision || h.Version != f.state.Known() || len(h.Changed) == 0 {
			return NewsPull
		}
		f.adopt(h)
		f.confirm(now, h.AgeMS)
		return NewsChanged
	}
	f.confirm(now, h.AgeMS)
	return NewsNone
}

// adopt takes a small change that a peer tells of.
func (f *Feed) adopt(h Heartbeat) {
	for _, e := range h.Changed {
		f.servers.Adopt(e)
	}
	f.state = State{Revision: h.Revision, Routing: f.state.Routing, Servers: f.servers.Entries()}
	f.changed, f.since = h.Changed, h.Since
}

// confirm notes how long ago the store confirmed the state.
func (f *Feed) confirm(now time.Time, age uint32) {
	if at := now.Add(-time.Duration(age) * time.Millisecond); at.After(f.confirmed) {
		f.confirmed = at
	}
}

// Tick sends heartbeats when due and expires what lapsed; it tells of a change.
func (f *Feed) Tick(now time.Time, out *currantturn.Effects) (changed bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.servers.Expire(now) {
		f.state.Servers = f.servers.Entries()
		changed = true
	}
	if now.Sub(f.beaten) >= heartbeatEvery {
		if f.state.Routing != nil {
			f.ages.Record(now.Sub(f.confirmed))
		}
		f.noteWatching(now, out)
		f.beat(now, heartbeatFan, out)
	}
	return changed
}

// noteWatching reports whether this balancer watches the store for others, when
// that changes with the peers that are alive.
func (f *Feed) noteWatching(now time.Time, out *currantturn.Effects) {
	watching := f.watches(now)
	if watching == f.watching || f.state.Routing == nil {
		return
	}
	f.watching = watching
	number := event.StoreLeftToOthers
	if watching {
		number = event.StoreWatched
	}
	out.Event(number, event.F("peers", f.alive(now)), event.F("age", now.Sub(f.confirmed)))
}

// alive counts the balancers that were heard lately.
func (f *Feed) alive(now time.Time) (n int) {
	for _, p := range f.peers {
		if now.Sub(p.heard) < peerTimeout {
			n++
		}
	}
	return n
}

// Beat sends heartbeats at once, since the state has changed.
func (f *Feed) Beat(now time.Time, out *currantturn.Effects) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.beat(now, changeFan, out)
}

func (f *Feed) beat(now time.Time, fan int, out *currantturn.Effects) {
	f.beaten = now
	all := make([]netip.AddrPort, 0, len(f.peers))
	for at, p := range f.peers {
		if now.Sub(p.heard) > forgetPeer && !slices.Contains(f.opts.Seeds, at) {
			delete(f.peers, at)
			continue
		}
		all = append(all, at)
	}
	slices.SortFunc(all, netip.AddrPort.Compare)
	f.rng.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	h := Heartbeat{
		Revision: f.state.Revision, Version: f.state.Known(), Capacity: f.opts.Capacity,
		Peers: all[:min(len(all), peersTold)], Since: f.since, Changed: f.changed,
	}
	h.AgeMS = uint32(min(now.Sub(f.confirmed), time.Hour).Milliseconds())
	for _, at := range all[:min(len(all), fan)] {
		out.Send(at, h)
	}
}
