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
func (a *Agent) place(d *arrival) {
	id, ok := a.choose(d.now, d.hash)
	if !ok {
		a.reject(d, "no backend server takes new work")
		return
	}
	if id == a.opts.ID {
		if a.keep(d, 0) {
			a.deliver(d)
		}
		return
	}
	r := a.record(d)
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

// accept takes a flow that another agent placed here, unless this backend
// server began to leave meanwhile.
func (a *Agent) accept(d *arrival) {
	if a.members.Leaving() {
		a.place(d)
		return
	}
	if a.keep(d, 0) {
		a.deliver(d)
	}
}

// keep makes this agent the flow's holder.
func (a *Agent) keep(d *arrival, flags flow.Flag) bool {
	r := a.record(d)
	if r == nil {
		return false
	}
	if !r.Has(flow.Held) {
		if a.members.Leaving() && d.env.Packet.Mark == currantturn.MarkOpening {
			a.violated("no new work to a leaving backend server", d.env.Packet.Flow, d.out)
		}
		d.shard.Redirect(r, 0)
		d.shard.Hold(r)
		r.Set(flags)
		r.Conn = d.conn
		a.counts.placed.Add(1)
		d.out.Event(event.FlowPlaced, event.F("flow", d.env.Packet.Flow), event.F("service", a.opts.Service),
			event.F("backend", a.opts.ID))
	}
	r.Seen = flow.StampOf(d.now)
	return true
}

// record returns the flow's record, or nil when the table is full.
func (a *Agent) record(d *arrival) *flow.Record {
	r := d.shard.Put(d.hash, &d.key)
	if r == nil {
		a.counts.tableFull.Add(1)
		d.out.Event(event.FlowTableFull, event.F("service", a.opts.Service), event.F("limit", a.opts.Records))
	}
	return r
}

// choose takes the best of this backend server and two others drawn by the
// flow's hash, and counts the placement until its load shows it.
func (a *Agent) choose(now time.Time, hash uint64) (id currantturn.BackendID, ok bool) {
	a.members.With(func(all []*membership.Member) {
		m := best(now, a.opts.ID, hash, all)
		if m == nil {
			return
		}
		m.Recent++
		id, ok = m.Server.ID, true
	})
	return id, ok
}

// scale holds the service's sums, which make work and flows comparable.
type scale struct {
	work  float64
	flows float64
}

func best(now time.Time, self currantturn.BackendID, hash uint64, all []*membership.Member) *membership.Member {
	var s scale
	var own *membership.Member
	eligible := 0
	for _, m := range all {
		if !m.MayTakeWork() {
			continue
		}
		eligible++
		s.add(m)
		if m.Server.ID == self {
			own = m
		}
	}
	if eligible == 0 {
		return leastBad(all)
	}
	first := nth(all, reduce(hash, eligible))
	second := nth(all, reduce(bits.ReverseBytes64(hash)*0x9e3779b97f4a7c15, eligible))
	choice := first
	if s.score(now, second) < s.score(now, choice) {
		choice = second
	}
	if own != nil && s.score(now, own) <= s.score(now, choice)*(1+selfSlack) {
		choice = own
	}
	return choice
}

// leastBad returns a suspected member that is not leaving, if no better exists.
func leastBad(all []*membership.Member) *membership.Member {
	for _, m := range all {
		if m.State == membership.Suspect && !m.Leaving {
			return m
		}
	}
	return nil
}

// reduce maps a hash to [0, n).
func reduce(hash uint64, n int) int {
	hi, _ := bits.Mul64(hash, uint64(n))
	return int(hi)
}

// nth returns the nth member that may take work.
func nth(all []*membership.Member, n int) *membership.Member {
	for _, m := range all {
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

func work(m *membership.Member) float64 {
	return float64(m.Load.Running + m.Load.Queued + m.Recent)
}

func flows(m *membership.Member) float64 {
	return float64(m.Load.Flows + m.Recent)
}

func (s *scale) add(m *membership.Member) {
	c := float64(max(m.Server.Slots, 1) * max(m.Server.Weight, 1))
	s.work += work(m) / c
	s.flows += flows(m) / c
}

// score is the member's work and flows for its capacity; the new flow itself
// counts, so that an idle small backend server does not beat an idle large one.
func (s *scale) score(now time.Time, m *membership.Member) float64 {
	c := m.Capacity(now)
	return (work(m)+1)/c/(s.work+1) + flowShare*(flows(m)+1)/c/(s.flows+1)
}
