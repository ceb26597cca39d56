package link

import (
	"net"
	"net/netip"
	"sync"
	"time"
)

// path tells how to reach a peer when its own address is not the way: by the
// source address last observed from it, or out of a fresh socket.
type path struct {
	source   netip.AddrPort
	observed time.Time
	fresh    *net.UDPConn
}

type paths struct {
	mu    sync.RWMutex
	peers map[netip.AddrPort]path
	fresh map[*net.UDPConn]netip.AddrPort
	order []*net.UDPConn // oldest first
	swept time.Time
}

func newPaths() *paths {
	return &paths{
		peers: make(map[netip.AddrPort]path),
		fresh: make(map[*net.UDPConn]netip.AddrPort),
	}
}

// pick returns the socket and address to use for a peer; a nil socket means
// the link's own.
func (p *paths) pick(peer netip.AddrPort, now time.Time) (*net.UDPConn, netip.AddrPort) {
	p.mu.RLock()
	defer p.mu.RUnlock()
	known, ok := p.peers[peer]
	if !ok {
		return nil, peer
	}
	if known.source.IsValid() && now.Sub(known.observed) < PathIdle {
		return known.fresh, known.source
	}
	return known.fresh, peer
}

// observe keeps the source address of a peer that sends from a fresh socket.
func (p *paths) observe(peer, source netip.AddrPort, now time.Time) {
	p.mu.RLock()
	known, ok := p.peers[peer]
	p.mu.RUnlock()
	if source == peer && !known.source.IsValid() {
		return
	}
	if ok && known.source == source && now.Sub(known.observed) < PathIdle/4 {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	known = p.peers[peer]
	known.source, known.observed = source, now
	if source == peer {
		known.source = netip.AddrPort{}
	}
	p.set(peer, known, now)
}

// set keeps a path that differs from the plain one while there is room.
func (p *paths) set(peer netip.AddrPort, known path, now time.Time) {
	if known.fresh == nil && !known.source.IsValid() {
		delete(p.peers, peer)
		return
	}
	if _, ok := p.peers[peer]; !ok && len(p.peers) >= MaxPaths && !p.sweep(now) {
		return
	}
	p.peers[peer] = known
}

// sweep forgets the paths that are idle and says whether there were any.
func (p *paths) sweep(now time.Time) bool {
	if now.Sub(p.swept) < PathIdle {
		return false
	}
	p.swept = now
	before := len(p.peers)
	for peer, known := range p.peers {
		if known.fresh == nil && now.Sub(known.observed) >= PathIdle {
			delete(p.peers, peer)
		}
	}
	return len(p.peers) < before
}

// renew makes conn the socket for a peer and closes the one it replaces.
func (p *paths) renew(peer netip.AddrPort, conn *net.UDPConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	known := p.peers[peer]
	if known.fresh != nil {
		p.drop(known.fresh)
	}
	if len(p.order) >= maxFresh {
		p.drop(p.order[0])
	}
	known = p.peers[peer]
	known.fresh = conn
	p.peers[peer] = known
	p.fresh[conn] = peer
	p.order = append(p.order, conn)
}

// drop closes a fresh socket; its peer is reached from the link's own again.
func (p *paths) drop(conn *net.UDPConn) {
	peer := p.fresh[conn]
	delete(p.fresh, conn)
	known := p.peers[peer]
	known.fresh = nil
	p.set(peer, known, known.observed)
	for i, c := range p.order {
		if c == conn {
			p.order = append(p.order[:i], p.order[i+1:]...)
			break
		}
	}
	_ = conn.Close()
}

func (p *paths) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for conn := range p.fresh {
		_ = conn.Close()
	}
	clear(p.fresh)
	p.order = nil
}
