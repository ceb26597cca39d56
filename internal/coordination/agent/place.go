package agent

import (
	"math/bits"
	"time"

	"github.com/currantturn/currantturn"
	"github.com/currantturn/currantturn/internal/coordination/membership"
	"github.com/currantturn/currantturn/internal/event"
	"github.com/currantturn/currantturn/internal/state/flow"
)

const (
	membershipAlive = membership.Alive
	membershipDead  = membership.Dead
)

// place chooses the backend server of a new flow and delivers or forwards the
// packet to it.
func (a *Agent) place(d *decision) {
	id, ok := a.chooseBackend(d.now, d.hash)
	if !ok {
		a.reject(d, "no backend server accepts new work")
		return
	}
	if id == a.opts.ID {
		if a.hold(d, 0) {
			a.deliver(d)
		}
		return
	}
	r := a.putRecord(d)
	if r == nil {
		return
	}
	d.shard.Redirect(r, a.ids.Ref(id))
	if d.env.Intent == currantturn.IntentRoute || d.env.Intent == "" {
		r.Set(flow.Placed)
	}
	r.LastSeen = flow.StampOf(d.now)
	d.out.Event(event.FlowRedirected, event.F("flow", d.env.Packet.Flow), event.F("service", a.opts.Service),
		event.F("backend", id))
	a.forward(d, id, currantturn.IntentPlace)
}

// acceptPlacement accepts a flow that another agent placed here. If this backend
// server is leaving by now, it places the flow elsewhere.
func (a *Agent) acceptPlacement(d *decision) {
	if a.members.Leaving() {
		a.place(d)
		return
	}
	if a.hold(d, 0) {
		a.deliver(d)
	}
}

// hold makes this agent the flow's holder; it returns false if the flow table is
// full.
func (a *Agent) hold(d *decision, flags flow.Flag) bool {
	r := a.putRecord(d)
	if r == nil {
		return false
	}
	if !r.Has(flow.Held) {
		if a.members.Leaving() && d.env.Packet.Mark == currantturn.MarkOpening {
			a.reportViolation("no new work to a leaving backend server", d.env.Packet.Flow, d.out)
		}
		d.shard.Redirect(r, 0)
		d.shard.Hold(r)
		r.Set(flags)
		r.ConnIDHash = d.connHash
		a.counts.placed.Add(1)
		d.out.Event(event.FlowPlaced, event.F("flow", d.env.Packet.Flow), event.F("service", a.opts.Service),
			event.F("backend", a.opts.ID))
	}
	r.LastSeen = flow.StampOf(d.now)
	return true
}

// putRecord returns the flow's record, adding one if needed, or nil if the table
// is full.
func (a *Agent) putRecord(d *decision) *flow.Record {
	r := d.shard.Put(d.hash, &d.key)
	if r == nil {
		a.counts.tableFull.Add(1)
		d.out.Event(event.FlowTableFull, event.F("service", a.opts.Service), event.F("limit", a.opts.MaxRecords))
	}
	return r
}

// chooseBackend returns the best of this backend server and two others selected by
// the flow's hash. It adds the placement to the member's load until the load that
// the member reports includes it.
func (a *Agent) chooseBackend(now time.Time, hash uint64) (id currantturn.BackendID, ok bool) {
	a.members.WithMembers(func(members []*membership.Member) {
		m := bestMember(now, a.opts.ID, hash, members)
		if m == nil {
			return
		}
		m.RecentPlacements++
		id, ok = m.Server.ID, true
	})
	return id, ok
}

// serviceTotals holds the sums over the service's eligible members, by which the
// members' requests and flows are scaled to be comparable.
type serviceTotals struct {
	requests float64
	flows    float64
}

// bestMember returns the member with the lowest score among two members selected
// by the hash, or self if its score is as low within selfTolerance. If no member is
// eligible, it returns a suspected one.
func bestMember(now time.Time, self currantturn.BackendID, hash uint64, members []*membership.Member) *membership.Member {
	var totals serviceTotals
	var own *membership.Member
	eligible := 0
	for _, m := range members {
		if !m.MayTakeWork() {
			continue
		}
		eligible++
		totals.add(m)
		if m.Server.ID == self {
			own = m
		}
	}
	if eligible == 0 {
		return firstSuspect(members)
	}
	first := nthEligible(members, hashToIndex(hash, eligible))
	second := nthEligible(members, hashToIndex(bits.ReverseBytes64(hash)*0x9e3779b97f4a7c15, eligible))
	choice := first
	if totals.score(now, second) < totals.score(now, choice) {
		choice = second
	}
	if own != nil && totals.score(now, own) <= totals.score(now, choice)*(1+selfTolerance) {
		choice = own
	}
	return choice
}

// firstSuspect returns the first suspected member that is not leaving, or nil; it
// is used when no member is eligible.
func firstSuspect(members []*membership.Member) *membership.Member {
	for _, m := range members {
		if m.State == membership.Suspect && !m.Leaving {
			return m
		}
	}
	return nil
}

// hashToIndex maps a hash uniformly to [0, n).
func hashToIndex(hash uint64, n int) int {
	hi, _ := bits.Mul64(hash, uint64(n))
	return int(hi)
}

// nthEligible returns the nth member, counted from 0, that may be given new work.
func nthEligible(members []*membership.Member, n int) *membership.Member {
	for _, m := range members {
		if !m.MayTakeWork() {
			continue
		}
		if n == 0 {
			return m
		}
		n--
	}
	return nil
}

// requestCount returns the member's running and queued requests and its recent
// placements.
func requestCount(m *membership.Member) float64 {
	return float64(m.Load.Running + m.Load.Queued + m.RecentPlacements)
}

// flowCount returns the member's flows and its recent placements.
func flowCount(m *membership.Member) float64 {
	return float64(m.Load.Flows + m.RecentPlacements)
}

// add adds the member's requests and flows per capacity.
func (s *serviceTotals) add(m *membership.Member) {
	c := float64(max(m.Server.Slots, 1) * max(m.Server.Weight, 1))
	s.requests += requestCount(m) / c
	s.flows += flowCount(m) / c
}

// score returns the member's requests and flows relative to its capacity; lower is
// better. The new flow is included, so that an idle small backend server does not
// score better than an idle large one.
func (s *serviceTotals) score(now time.Time, m *membership.Member) float64 {
	c := m.Capacity(now)
	return (requestCount(m)+1)/c/(s.requests+1) + flowWeight*(flowCount(m)+1)/c/(s.flows+1)
}
