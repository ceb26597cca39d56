package link

import (
	"net"
	"net/netip"
	"sync"
	"time"
)

// peerPath is a path to a peer that differs from the default one, which leads from
// the link's main socket to the peer's link address.
type peerPath struct {
	observedSource netip.AddrPort // the address that the peer last sent from; zero if it is its link address
	observedAt     time.Time
	replacement    *net.UDPConn // the socket to send from; nil means the main socket
}

// pathTable holds the paths of peers, and the replacement sockets among them.
type pathTable struct {
	mu               sync.RWMutex
	byPeer           map[netip.AddrPort]peerPath
	replacements     map[*net.UDPConn]netip.AddrPort // the peer of each replacement socket
	replacementOrder []*net.UDPConn                  // oldest first
	lastSweep        time.Time
}

func newPathTable() *pathTable {
	return &pathTable{
		byPeer:       make(map[netip.AddrPort]peerPath),
		replacements: make(map[*net.UDPConn]netip.AddrPort),
	}
}

// resolve returns the socket to send from and the address to send to for a peer; a
// nil socket means the link's main socket.
func (p *pathTable) resolve(peer netip.AddrPort, now time.Time) (*net.UDPConn, netip.AddrPort) {
	p.mu.RLock()
	defer p.mu.RUnlock()
	path, ok := p.byPeer[peer]
	if !ok {
		return nil, peer
	}
	if path.observedSource.IsValid() && now.Sub(path.observedAt) < SourceTTL {
		return path.replacement, path.observedSource
	}
	return path.replacement, peer
}

// recordSource records the source address of a peer's datagram. The address differs
// from the peer's link address when the peer sends from a replacement socket.
// An unchanged address is recorded again only after SourceTTL/4, which spares most
// datagrams the write lock.
func (p *pathTable) recordSource(peer, source netip.AddrPort, now time.Time) {
	p.mu.RLock()
	path, ok := p.byPeer[peer]
	p.mu.RUnlock()
	if source == peer && !path.observedSource.IsValid() {
		return
	}
	if ok && path.observedSource == source && now.Sub(path.observedAt) < SourceTTL/4 {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	path = p.byPeer[peer]
	path.observedSource, path.observedAt = source, now
	if source == peer {
		path.observedSource = netip.AddrPort{}
	}
	p.store(peer, path, now)
}

// store records a peer's path. It removes a path that equals the default one, and
// drops a new one when the table is full.
func (p *pathTable) store(peer netip.AddrPort, path peerPath, now time.Time) {
	if path.replacement == nil && !path.observedSource.IsValid() {
		delete(p.byPeer, peer)
		return
	}
	if _, ok := p.byPeer[peer]; !ok && len(p.byPeer) >= MaxPaths && !p.removeIdle(now) {
		return
	}
	p.byPeer[peer] = path
}

// removeIdle removes the paths without a replacement socket whose observed source
// has expired, at most once per SourceTTL, and returns whether there were any.
func (p *pathTable) removeIdle(now time.Time) bool {
	if now.Sub(p.lastSweep) < SourceTTL {
		return false
	}
	p.lastSweep = now
	before := len(p.byPeer)
	for peer, path := range p.byPeer {
		if path.replacement == nil && now.Sub(path.observedAt) >= SourceTTL {
			delete(p.byPeer, peer)
		}
	}
	return len(p.byPeer) < before
}

// replaceSocket makes conn the socket for sending to a peer and closes the peer's
// earlier replacement. At the limit it closes the oldest replacement of all.
func (p *pathTable) replaceSocket(peer netip.AddrPort, conn *net.UDPConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	path := p.byPeer[peer]
	if path.replacement != nil {
		p.closeReplacement(path.replacement)
	}
	if len(p.replacementOrder) >= maxReplacements {
		p.closeReplacement(p.replacementOrder[0])
	}
	path = p.byPeer[peer]
	path.replacement = conn
	p.byPeer[peer] = path
	p.replacements[conn] = peer
	p.replacementOrder = append(p.replacementOrder, conn)
}

// closeReplacement closes a replacement socket; its peer is reached from the main
// socket again.
func (p *pathTable) closeReplacement(conn *net.UDPConn) {
	peer := p.replacements[conn]
	delete(p.replacements, conn)
	path := p.byPeer[peer]
	path.replacement = nil
	p.store(peer, path, path.observedAt)
	for i, c := range p.replacementOrder {
		if c == conn {
			p.replacementOrder = append(p.replacementOrder[:i], p.replacementOrder[i+1:]...)
			break
		}
	}
	_ = conn.Close()
}

// close closes all replacement sockets.
func (p *pathTable) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for conn := range p.replacements {
		_ = conn.Close()
	}
	clear(p.replacements)
	p.replacementOrder = nil
}
