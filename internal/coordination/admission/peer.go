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

// peers holds what is known of the load of other agents.
type peers struct {
	known []peer
	index map[currantturn.BackendID]int
}

type peer struct {
	Peer
	load  currantturn.Load
	heard time.Time
	sent  int // spilled there since its load was heard
}

func newPeers() peers {
	return peers{index: make(map[currantturn.BackendID]int)}
}

// configure keeps the active peers that take requests.
func (p *peers) configure(s *currantturn.Service, self currantturn.BackendID) {
	old, index := p.known, p.index
	p.known, p.index = nil, make(map[currantturn.BackendID]int)
	for i := range s.Backends {
		b := &s.Backends[i]
		if b.ID == self || b.State != currantturn.BackendActive || !b.Stream.IsValid() || len(p.known) == maxPeers {
			continue
		}
		x := peer{Peer: Peer{ID: b.ID, Stream: b.Stream}}
		if j, ok := index[b.ID]; ok && old[j].Stream == b.Stream {
			x = old[j]
		}
		p.index[b.ID] = len(p.known)
		p.known = append(p.known, x)
	}
}

func (p *peer) free(now time.Time) int {
	if now.Sub(p.heard) > loadFresh {
		return 0
	}
	return p.load.Slots - p.load.Running - p.load.Queued - p.sent
}

// pick chooses the freer of two peers, each the first with a free slot from a
// random place on.
func (p *peers) pick(now time.Time, r *rand.Rand) *peer {
	a, b := p.freeFrom(now, r), p.freeFrom(now, r)
	if a == nil || b.free(now) > a.free(now) {
		return b
	}
	return a
}

func (p *peers) freeFrom(now time.Time, r *rand.Rand) *peer {
	n := len(p.known)
	if n == 0 {
		return nil
	}
	first := r.IntN(n)
	for i := range n {
		if x := &p.known[(first+i)%n]; x.free(now) > 0 {
			return x
		}
	}
	return nil
}

// PeerLoad takes what a peer tells of its load.
func (g *Gate) PeerLoad(now time.Time, id currantturn.BackendID, l currantturn.Load) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if i, ok := g.peers.index[id]; ok {
		p := &g.peers.known[i]
		p.load, p.heard, p.sent = l, now, 0
	}
}

// Spill chooses a peer for a new request when this gate has no free slot, or
// none at all because it drains. A draining gate spills to any active peer.
func (g *Gate) Spill(now time.Time, watch bool) (Peer, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.draining() && (watch || len(g.queue) == 0 && g.running < g.allowed(now)) {
		return Peer{}, false
	}
	p := g.peers.pick(now, g.opts.Rand)
	if p == nil && g.draining() && len(g.peers.known) > 0 {
		p = &g.peers.known[g.opts.Rand.IntN(len(g.peers.known))]
	}
	if p == nil {
		return Peer{}, false
	}
	p.sent++
	g.counts.Spilled++
	return p.Peer, true
}

// Unreachable tells that a peer could not be reached, so that it is not chosen
// before its load is heard again.
func (g *Gate) Unreachable(id currantturn.BackendID) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if i, ok := g.peers.index[id]; ok {
		g.peers.known[i].heard = time.Time{}
	}
}
