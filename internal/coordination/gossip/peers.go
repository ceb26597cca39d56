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

// peers chooses among the configured agents, the balancers of the VM list and
// the addresses learnt otherwise.
type peers struct {
	self      netip.AddrPort
	domain    currantturn.FailureDomain
	view      *currantturn.View
	starts    []int // index of each service's first backend server
	agents    int
	balancers []currantturn.VM
	hints     []netip.AddrPort
}

func (p *peers) configure(v *currantturn.View) {
	p.view = v
	p.starts = p.starts[:0]
	p.agents = 0
	for i := range v.Services {
		p.starts = append(p.starts, p.agents)
		p.agents += len(v.Services[i].Backends)
	}
}

func (p *peers) setVMs(all []currantturn.VM) {
	p.balancers = slices.DeleteFunc(slices.Clone(all), func(vm currantturn.VM) bool {
		return vm.Role != currantturn.RoleBalancer || vm.State == currantturn.VMLeaving
	})
}

// hint remembers the address of a peer that others named.
func (p *peers) hint(a netip.AddrPort) {
	if a.IsValid() && a != p.self && len(p.hints) < maxHints && !slices.Contains(p.hints, a) {
		p.hints = append(p.hints, a)
	}
}

func (p *peers) size() int {
	return p.agents + len(p.balancers)
}

// at returns the i-th peer.
func (p *peers) at(i int) (netip.AddrPort, currantturn.FailureDomain) {
	if i >= p.agents {
		vm := &p.balancers[i-p.agents]
		return vm.Link, vm.FailureDomain
	}
	s := sort.SearchInts(p.starts, i+1) - 1
	b := &p.view.Services[s].Backends[i-p.starts[s]]
	return b.Agent, b.FailureDomain
}

// pick draws a peer, mostly of the own failure domain; it returns false when
// there is none.
func (p *peers) pick(r *rand.Rand) (netip.AddrPort, bool) {
	if p.size() <= 1 || (len(p.hints) > 0 && r.IntN(p.size()) < len(p.hints)) {
		return p.pickHint(r)
	}
	near := r.Float64() < sameDomainShare
	var found netip.AddrPort
	for range pickTries {
		a, domain := p.at(r.IntN(p.size()))
		if a == p.self {
			continue
		}
		found = a
		if !near || domain == p.domain {
			break
		}
	}
	return found, found.IsValid()
}

func (p *peers) pickHint(r *rand.Rand) (netip.AddrPort, bool) {
	if len(p.hints) > 0 {
		return p.hints[r.IntN(len(p.hints))], true
	}
	for i := range p.size() {
		if a, _ := p.at(i); a != p.self {
			return a, true
		}
	}
	return netip.AddrPort{}, false
}

// watches says whether this process is among the first ranks of its failure
// domain by rendezvous hashing.
func (p *peers) watches() bool {
	own := watcherScore(p.self, p.domain)
	higher := 0
	for i := range p.size() {
		a, domain := p.at(i)
		if domain != p.domain || a == p.self {
			continue
		}
		if watcherScore(a, domain) > own {
			higher++
		}
		if higher >= watchersPerDomain {
			return false
		}
	}
	return true
}

func watcherScore(a netip.AddrPort, domain currantturn.FailureDomain) uint64 {
	var b [18]byte
	ip := a.Addr().As16()
	copy(b[:], ip[:])
	binary.BigEndian.PutUint16(b[16:], a.Port())
	return xxhash.Sum64(b[:]) ^ xxhash.Sum64String(string(domain))
}
