package agent

import (
	"net/netip"
	"time"

	"github.com/currantturn/currantturn"
	"github.com/currantturn/currantturn/internal/coordination/rank"
	"github.com/currantturn/currantturn/internal/state/flow"
)

// plan is a ranking of the configured backend servers that are not gone, with the
// earlier plans.
type plan struct {
	epoch         uint32
	version       currantturn.Version
	service       *currantturn.Service // as configured, including gone backend servers
	ranking       *rank.Table
	gone          map[currantturn.BackendID]bool
	replacedAt    time.Time           // when a later plan replaced this one
	recordsLostAt map[flow.Ref]uint32 // epoch of the plan in which an agent's restart, and so the loss of its records, was seen
	idByAgent     map[netip.AddrPort]currantturn.BackendID
	backendBySeed map[uint64]*currantturn.BackendServer
	earlier       []*plan // plans with other ranks, newest first, without their own earlier plans
}

// newPlan returns a plan without earlier plans.
func newPlan(v currantturn.Version, s *currantturn.Service, gone map[currantturn.BackendID]bool) *plan {
	p := &plan{
		version:       v,
		service:       s,
		ranking:       rank.Live(s, gone),
		gone:          gone,
		idByAgent:     make(map[netip.AddrPort]currantturn.BackendID, len(s.Backends)),
		backendBySeed: make(map[uint64]*currantturn.BackendServer, len(s.Backends)),
	}
	for i := range s.Backends {
		b := &s.Backends[i]
		p.idByAgent[b.Agent] = b.ID
		p.backendBySeed[rank.Seed(b.ID)] = b
	}
	return p
}

// ranks returns the highest-ranked backend servers of a flow, the home first.
func (p *plan) ranks(hash uint64) (out [currantturn.MaxRanks]currantturn.BackendID) {
	var index [currantturn.MaxRanks]int
	n := p.ranking.Top(hash, rank.Every, index[:])
	for i := range n {
		out[i] = p.ranking.Service.Backends[index[i]].ID
	}
	return out
}

// agentAddress returns the address of an agent that is in this plan's configuration
// or in an earlier one's.
func (p *plan) agentAddress(id currantturn.BackendID) (netip.AddrPort, bool) {
	if b := p.service.Backend(id); b != nil {
		return b.Agent, true
	}
	for _, old := range p.earlier {
		if b := old.service.Backend(id); b != nil {
			return b.Agent, true
		}
	}
	return netip.AddrPort{}, false
}

// sameRanks reports whether both plans rank the same backend servers by the same
// weights.
func (p *plan) sameRanks(q *plan) bool {
	a, b := p.ranking.Service.Backends, q.ranking.Service.Backends
	if len(a) != len(b) {
		return false
	}
	for i := range a {
		if a[i].ID != b[i].ID || a[i].Weight != b[i].Weight {
			return false
		}
	}
	return true
}

// inheritFrom makes p the successor of old, which is nil for the first plan. The
// agents of the restarted backend servers have lost their records.
func (p *plan) inheritFrom(now time.Time, old *plan, restarted []currantturn.BackendID, ids *flow.Interner) {
	p.recordsLostAt = make(map[flow.Ref]uint32)
	p.epoch = 1
	if old != nil {
		p.epoch = old.epoch + 1
		p.earlier = old.earlier
		for ref, epoch := range old.recordsLostAt {
			p.recordsLostAt[ref] = epoch
		}
		if !p.sameRanks(old) {
			previous := *old
			previous.replacedAt = now
			previous.earlier = nil
			p.earlier = append([]*plan{&previous}, old.earlier...)
			p.earlier = p.earlier[:min(len(p.earlier), maxEarlierPlans)]
		}
	}
	for _, id := range restarted {
		p.recordsLostAt[ids.Ref(id)] = p.epoch
	}
}
