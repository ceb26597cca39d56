package admission

import (
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/currantturn/currantturn"
)

// Peer is another agent of the service.
type Peer struct {
	ID     currantturn.BackendID
	Stream netip.AddrPort
}

// peers stores the last received loads of other agents.
type peers struct {
	list  []peer
	index map[currantturn.BackendID]int
}

// peer is one agent with its last received load.
type peer struct {
	Peer
	load         currantturn.Load
	loadReceived time.Time
	spilled      int // requests forwarded to it since then
}

func newPeers() peers {
	return peers{index: make(map[currantturn.BackendID]int)}
}

// configure sets the list to the active peers that can receive requests. It keeps
// the load of those whose address is unchanged.
func (p *peers) configure(s *currantturn.Service, self currantturn.BackendID) {
	oldList, oldIndex := p.list, p.index
	p.list, p.index = nil, make(map[currantturn.BackendID]int)
	for i := range s.Backends {
		b := &s.Backends[i]
		if b.ID == self || b.State != currantturn.BackendActive || !b.Stream.IsValid() || len(p.list) == maxPeers {
			continue
		}
		entry := peer{Peer: Peer{ID: b.ID, Stream: b.Stream}}
		if j, ok := oldIndex[b.ID]; ok && oldList[j].Stream == b.Stream {
			entry = oldList[j]
		}
		p.index[b.ID] = len(p.list)
		p.list = append(p.list, entry)
	}
}

// freeSlots returns the free slots of a peer, or 0 if its load is out of date.
func (p *peer) freeSlots(now time.Time) int {
	if now.Sub(p.loadReceived) > peerLoadMaxAge {
		return 0
	}
	return p.load.Slots - p.load.Running - p.load.Queued - p.spilled
}

// pick returns the one with more free slots of two peers, each found by
// randomFree, or nil if no peer has a free slot.
func (p *peers) pick(now time.Time, r *rand.Rand) *peer {
	a, b := p.randomFree(now, r), p.randomFree(now, r)
	if a == nil || b.freeSlots(now) > a.freeSlots(now) {
		return b
	}
	return a
}

// randomFree returns the first peer with a free slot, searching from a random
// index, or nil.
func (p *peers) randomFree(now time.Time, r *rand.Rand) *peer {
	n := len(p.list)
	if n == 0 {
		return nil
	}
	first := r.IntN(n)
	for i := range n {
		if x := &p.list[(first+i)%n]; x.freeSlots(now) > 0 {
			return x
		}
	}
	return nil
}

// SetPeerLoad stores the load received from a peer.
func (g *Gate) SetPeerLoad(now time.Time, id currantturn.BackendID, l currantturn.Load) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if i, ok := g.peers.index[id]; ok {
		p := &g.peers.list[i]
		p.load, p.loadReceived, p.spilled = l, now, 0
	}
}

// Spill returns a peer to forward a new request to if this gate has no free slot
// or drains. A draining gate falls back to a random active peer if none is known
// to have a free slot. A watch is forwarded only by a draining gate.
func (g *Gate) Spill(now time.Time, watch bool) (Peer, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.draining() && (watch || len(g.queue) == 0 && g.running < g.allowedSlots(now)) {
		return Peer{}, false
	}
	p := g.peers.pick(now, g.opts.Rand)
	if p == nil && g.draining() && len(g.peers.list) > 0 {
		p = &g.peers.list[g.opts.Rand.IntN(len(g.peers.list))]
	}
	if p == nil {
		return Peer{}, false
	}
	p.spilled++
	g.counts.Spilled++
	return p.Peer, true
}

// MarkUnreachable discards the load of a peer that could not be reached, so that
// the peer counts as having no free slot until its next load arrives.
func (g *Gate) MarkUnreachable(id currantturn.BackendID) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if i, ok := g.peers.index[id]; ok {
		g.peers.list[i].loadReceived = time.Time{}
	}
}
