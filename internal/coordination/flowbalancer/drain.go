package flowbalancer

import (
	"net/netip"
	"slices"
	"time"

	"github.com/currantturn/currantturn"
	"github.com/currantturn/currantturn/internal/coordination/statesync"
	"github.com/currantturn/currantturn/internal/protocol/relay"
)

// drains is what a balancer keeps of drained failure domains beside its plan. It is not safe
// for concurrent use.
type drains struct {
	// restored are failure domains that were taken back lately, with the time until which
	// their agents get notices.
	restored map[currantturn.FailureDomain]time.Time
	// learnedUntil are failure domains that are drained according to an agent with a newer
	// published state, with the time until which that holds.
	learnedUntil map[currantturn.FailureDomain]time.Time
	noticedAt    time.Time // when notices were sent last
	nextNotice   int       // index of the first receiver in the next interval
	balancers    []netip.AddrPort
}

func newDrains() drains {
	return drains{
		restored:     make(map[currantturn.FailureDomain]time.Time),
		learnedUntil: make(map[currantturn.FailureDomain]time.Time),
	}
}

// drainedDomains returns the drained failure domains of a published state.
func drainedDomains(s *statesync.State) map[currantturn.FailureDomain]bool {
	all := make(map[currantturn.FailureDomain]bool, len(s.Drained))
	for _, e := range s.Drained {
		all[e.FailureDomain] = true
	}
	return all
}

// update compares a new plan with the old one, which may be nil. After a change, the agents
// get notices at once.
func (d *drains) update(now time.Time, old, p *plan) {
	if old == nil {
		return
	}
	if p.position.After(old.position) {
		clear(d.learnedUntil) // an agent with a still newer state says so again
	}
	for name := range p.drained {
		if !old.drained[name] {
			d.noticedAt = time.Time{}
		}
		delete(d.restored, name)
	}
	for name := range old.drained {
		if !p.drained[name] {
			d.restored[name], d.noticedAt = now.Add(noticeSpan), time.Time{}
		}
	}
}

// learned reports whether a failure domain is drained according to an agent.
func (d *drains) learned(now time.Time, name currantturn.FailureDomain) bool {
	return len(d.learnedUntil) > 0 && now.Before(d.learnedUntil[name])
}

// noticesDue reports whether notices are to be sent now.
func (d *drains) noticesDue(now time.Time, p *plan) bool {
	return p != nil && !p.provisional && !p.placementHeld &&
		len(p.drained)+len(d.restored) > 0 && now.Sub(d.noticedAt) >= noticeInterval
}

// sends reports whether this balancer is one of the senders of notices to an agent, which
// the hash of its backend server determines among the balancers that are alive.
func (d *drains) sends(self netip.AddrPort, t *target) bool {
	first := int(t.seed % uint64(len(d.balancers)))
	for i := range min(noticeSenders, len(d.balancers)) {
		if d.balancers[(first+i)%len(d.balancers)] == self {
			return true
		}
	}
	return false
}

// DrainNoticesDue reports whether the next tick sends notices to agents, and so needs
// SetBalancers.
func (b *Balancer) DrainNoticesDue(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.drains.noticesDue(now, b.plan.Load())
}

// SetBalancers sets the link addresses of the balancers that are alive; the own one may be
// missing.
func (b *Balancer) SetBalancers(alive []netip.AddrPort) {
	all := append(slices.Clone(alive), b.opts.Self)
	slices.SortFunc(all, netip.AddrPort.Compare)
	all = slices.Compact(all)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.drains.balancers = all
}

// sendDrainNotices tells the agents of drained failure domains, and of those that were taken
// back lately, what the published state says. They decline new flows of balancers that do
// not have that state.
func (b *Balancer) sendDrainNotices(now time.Time, out *currantturn.Effects) {
	b.mu.Lock()
	defer b.mu.Unlock()
	d, p := &b.drains, b.plan.Load()
	if !d.noticesDue(now, p) {
		return
	}
	if len(d.balancers) == 0 {
		d.balancers = []netip.AddrPort{b.opts.Self}
	}
	var receivers []*target
	for _, t := range p.targets {
		name := t.entry.FailureDomain
		if (p.drained[name] || !d.restored[name].IsZero()) && !t.deregistered() && d.sends(b.opts.Self, t) {
			receivers = append(receivers, t)
		}
	}
	for i := range min(maxNotices, len(receivers)) {
		t := receivers[(d.nextNotice+i)%len(receivers)]
		out.Send(t.agent, p.drainNotice(t))
	}
	d.noticedAt = now
	if d.nextNotice += maxNotices; d.nextNotice >= len(receivers) {
		d.nextNotice = 0
	}
	for name, until := range d.restored {
		if !now.Before(until) {
			delete(d.restored, name)
		}
	}
}

// drainNotice returns what the published state says about the failure domain of a target.
func (p *plan) drainNotice(t *target) relay.Drained {
	return relay.Drained{Drained: p.drained[t.entry.FailureDomain], Revision: p.position.Revision, Era: p.position.Era}
}

// handleDrained processes an agent's reason why it declined a new flow: a published state
// that may be older or newer than the own one. The backend server is not to be avoided for
// anything else.
func (b *Balancer) handleDrained(now time.Time, p *plan, t *target, m relay.Drained, out *currantturn.Effects) {
	name := t.entry.FailureDomain
	if !m.Drained || name == "" {
		return // an agent without a failure domain speaks for nobody else
	}
	t.endAvoidance()
	switch newer := m.Position().After(p.position); {
	case p.provisional || p.placementHeld || newer:
		b.mu.Lock()
		defer b.mu.Unlock()
		b.drains.learnedUntil[name] = now.Add(learnedDrainLifetime)
	case !p.drained[name]:
		out.Send(t.agent, p.drainNotice(t))
	}
}

// holderDrained reports whether a new flow awaits the answer of a backend server that gets
// no new flows any more, because its failure domain is drained.
func (b *Balancer) holderDrained(now time.Time, p *plan, e *entry) bool {
	if e.progress != placing || e.holder == nil {
		return false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	name := e.holder.entry.FailureDomain
	return p.drained[name] || b.drains.learned(now, name)
}

// placeCopy sends a copy of an opening packet to another backend server. If there is none,
// the copy is dropped: the earlier one may have opened the flow.
func (b *Balancer) placeCopy(
	now time.Time, p *plan, route *currantturn.FlowRoute, packet *currantturn.Packet, e *entry, out *currantturn.Effects,
) {
	if t := b.chooseBackend(now, p, route, packet.Flow, e.tried, out); t != nil {
		b.placeOn(now, p, route, packet, e, t, out)
	}
}
