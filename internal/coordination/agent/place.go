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

// place chooses the backend server of a new flow and sends the packet there.
func (a *Agent) place(d *decision) {
	id, ok := a.chooseBackend(d.now, d.hash)
	if !ok {
		a.reject(d, "no backend server takes new work")
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
	r.Seen = flow.StampOf(d.now)
	d.out.Event(event.FlowRedirected, event.F("flow", d.env.Packet.Flow), event.F("service", a.opts.Service),
		event.F("backend", id))
	a.forward(d, id, currantturn.IntentPlace)
}

// acceptPlacement takes a flow that another agent placed here, unless this backend
// server began to leave meanwhile.
func (a *Agent) acceptPlacement(d *decision) {
	if a.members.Leaving() {
		a.place(d)
		return
	}
	if a.hold(d, 0) {
		a.deliver(d)
	}
}

// hold makes this agent the flow's holder.
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
		r.Conn = d.connHash
		a.counts.placed.Add(1)
		d.out.Event(event.FlowPlaced, event.F("flow", d.env.Packet.Flow), event.F("service", a.opts.Service),
			event.F("backend", a.opts.ID))
	}
	r.Seen = flow.StampOf(d.now)
	return true
}

// putRecord returns the flow's record, or nil when the table is full.
func (a *Agent) putRecord(d *decision) *flow.Record {
	r := d.shard.Put(d.hash, &d.key)
	if r == nil {
		a.counts.tableFull.Add(1)
		d.out.Event(event.FlowTableFull, event.F("service", a.opts.Service), event.F("limit", a.opts.Records))
	}
	return r
}

// chooseBackend takes the best of this backend server and two others drawn by the
// flow's hash, and counts the placement until its load shows it.
func (a *Agent) chooseBackend(now time.Time, hash uint64) (id currantturn.BackendID, ok bool) {
	a.members.With(func(members []*membership.Member) {
		m := bestMember(now, a.opts.ID, hash, members)
		if m == nil {
			return
		}
		m.Recent++
		id, ok = m.Server.ID, true
	})
	return id, ok
}

// serviceTotals holds the service's sums, which make work and flows comparable.
type serviceTotals struct {
	requests  float64
	flows float64
}

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

// firstSuspect returns a suspected member that is not leaving, if no better exists.
func firstSuspect(members []*membership.Member) *membership.Member {
	for _, m := range members {
		if m.State == membership.Suspect && !m.Leaving {
			return m
		}
	}
	return nil
}

// hashToIndex maps a hash to [0, n).
func hashToIndex(hash uint64, n int) int {
	hi, _ := bits.Mul64(hash, uint64(n))
	return int(hi)
}

// nthEligible returns the nth member that may take work.
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

func requestCount(m *membership.Member) float64 {
	return float64(m.Load.Running + m.Load.Queued + m.Recent)
}

func flowCount(m *membership.Member) float64 {
	return float64(m.Load.Flows + m.Recent)
}

func (s *serviceTotals) add(m *membership.Member) {
	c := float64(max(m.Server.Slots, 1) * max(m.Server.Weight, 1))
	s.requests += requestCount(m) / c
	s.flows += flowCount(m) / c
}

// score is the member's work and flows for its capacity; the new flow itself
// counts, so that an idle small backend server does not beat an idle large one.
func (s *serviceTotals) score(now time.Time, m *membership.Member) float64 {
	c := m.Capacity(now)
	return (requestCount(m)+1)/c/(s.requests+1) + flowWeight*(flowCount(m)+1)/c/(s.flows+1)
}
