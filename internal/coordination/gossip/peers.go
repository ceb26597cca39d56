package gossip

import (
	"encoding/binary"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sort"

	"github.com/cespare/xxhash/v2"
	"github.com/currantturn/currantturn"
)

// peers selects peers from the configured agents, the balancers of the VM list
// and the addresses learned from seeds and offers. Agents are numbered first,
// then balancers.
type peers struct {
	self       netip.AddrPort
	domain     currantturn.FailureDomain
	view       *currantturn.View
	firstIndex []int // index of each service's first backend server
	agentCount int
	balancers  []currantturn.VM
	learned    []netip.AddrPort // learned from seeds and offers
}

// setView replaces the agents by those of a configuration.
func (p *peers) setView(v *currantturn.View) {
	p.view = v
	p.firstIndex = p.firstIndex[:0]
	p.agentCount = 0
	for i := range v.Services {
		p.firstIndex = append(p.firstIndex, p.agentCount)
		p.agentCount += len(v.Services[i].Backends)
	}
}

// setVMs replaces the balancers by those of the VM list that are not leaving.
func (p *peers) setVMs(all []currantturn.VM) {
	p.balancers = slices.DeleteFunc(slices.Clone(all), func(vm currantturn.VM) bool {
		return vm.Role != currantturn.RoleBalancer || vm.State == currantturn.VMLeaving
	})
}

// addLearned adds an address that a seed list or an offer named.
func (p *peers) addLearned(a netip.AddrPort) {
	if a.IsValid() && a != p.self && len(p.learned) < maxLearnedPeers && !slices.Contains(p.learned, a) {
		p.learned = append(p.learned, a)
	}
}

// size returns the number of agents and balancers, usually including this process.
func (p *peers) size() int {
	return p.agentCount + len(p.balancers)
}

// at returns the address and failure domain of the i-th peer.
func (p *peers) at(i int) (netip.AddrPort, currantturn.FailureDomain) {
	if i >= p.agentCount {
		vm := &p.balancers[i-p.agentCount]
		return vm.Link, vm.FailureDomain
	}
	s := sort.SearchInts(p.firstIndex, i+1) - 1
	b := &p.view.Services[s].Backends[i-p.firstIndex[s]]
	return b.Agent, b.FailureDomain
}

// pick returns a random peer, preferably in the same failure domain, or a random
// learned address, or false if there is none. The share of learned addresses
// grows with their number relative to the number of peers.
func (p *peers) pick(r *rand.Rand) (netip.AddrPort, bool) {
	if p.size() <= 1 || (len(p.learned) > 0 && r.IntN(p.size()) < len(p.learned)) {
		return p.pickLearned(r)
	}
	preferOwnDomain := r.Float64() < sameDomainShare
	var picked netip.AddrPort
	for range maxPickTries {
		a, domain := p.at(r.IntN(p.size()))
		if a == p.self {
			continue
		}
		picked = a
		if !preferOwnDomain || domain == p.domain {
			break
		}
	}
	return picked, picked.IsValid()
}

// pickLearned returns a random learned address. Without any it returns the first
// other peer, or false if there is none.
func (p *peers) pickLearned(r *rand.Rand) (netip.AddrPort, bool) {
	if len(p.learned) > 0 {
		return p.learned[r.IntN(len(p.learned))], true
	}
	for i := range p.size() {
		if a, _ := p.at(i); a != p.self {
			return a, true
		}
	}
	return netip.AddrPort{}, false
}

// isWatcher reports whether this process is among the first watchersPerDomain
// ranks of its failure domain by rendezvous hashing.
func (p *peers) isWatcher() bool {
	ownScore := watcherScore(p.self, p.domain)
	higher := 0
	for i := range p.size() {
		a, domain := p.at(i)
		if domain != p.domain || a == p.self {
			continue
		}
		if watcherScore(a, domain) > ownScore {
			higher++
		}
		if higher >= watchersPerDomain {
			return false
		}
	}
	return true
}

// watcherScore returns the rendezvous hash of a process in its failure domain.
func watcherScore(a netip.AddrPort, domain currantturn.FailureDomain) uint64 {
	var b [18]byte
	ip := a.Addr().As16()
	copy(b[:], ip[:])
	binary.BigEndian.PutUint16(b[16:], a.Port())
	return xxhash.Sum64(b[:]) ^ xxhash.Sum64String(string(domain))
}
