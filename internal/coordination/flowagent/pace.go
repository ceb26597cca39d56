package flowagent

import (
	"bytes"
	"net/netip"
	"time"

	"github.com/currantturn/currantturn"
	"github.com/currantturn/currantturn/internal/coordination/backlog"
	"github.com/currantturn/currantturn/internal/event"
)

// attemptAge is how long ago a caller began an attempt, by how many copies of
// its opening packet came before: the platform's callers repeat after 200 and
// 600 ms.
func attemptAge(copies uint32) time.Duration {
	switch {
	case copies == 0:
		return 0
	case copies == 1:
		return 200 * time.Millisecond
	default:
		return 600 * time.Millisecond
	}
}

// request takes data of a caller. A new request runs if a slot is free; else it
// waits here, where requests can be put in order, and not at the backend server.
func (a *Agent) request(d *arrival, r *record) {
	switch {
	case r.held != nil:
		a.keep(r, d.packet)
		return
	case !r.running.IsZero() || r.repeats(d.packet):
		r.pass(d.packet)
		a.deliver(d)
		return
	}
	began := r.began
	r.began = time.Time{}
	if began.IsZero() {
		began = d.now
	}
	if !a.start(d.demand.Slots) && a.wait(d, began) {
		r.balancer = d.from
		a.keep(r, d.packet)
		return
	}
	r.running = d.now
	r.pass(d.packet)
	a.deliver(d)
}

// start takes a slot if one is free and nobody waits for it.
func (a *Agent) start(slots int) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.slots = slots
	if slots > 0 && (a.backlog.Len() > 0 || a.work.inProgress() >= slots) {
		return false
	}
	a.work.started()
	return true
}

// wait puts a request into the backlog; if that is full, it runs at once.
func (a *Agent) wait(d *arrival, began time.Time) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.backlog.Push(backlog.Request{Flow: d.packet.Flow, Arrived: began, Demand: d.demand}) {
		a.counts.waited.Add(1)
		return true
	}
	a.work.started()
	return false
}

// keep adds a packet to the request that waits; a repeat is dropped.
func (a *Agent) keep(r *record, p *currantturn.Packet) {
	for _, h := range r.held {
		if bytes.Equal(h, p.Payload) {
			return
		}
	}
	if len(r.held) < maxHeldPackets {
		r.held = append(r.held, bytes.Clone(p.Payload))
	}
}

// release runs waiting requests while slots are free, and those that are
// overdue, and drops those whose callers have given up.
func (a *Agent) release(now time.Time, out *currantturn.Effects) {
	a.mu.Lock()
	gone, runs := a.backlog.Due(now)
	for range runs {
		a.work.started()
	}
	for a.slots == 0 || a.work.inProgress() < a.slots {
		next, found := a.backlog.Next(now, a.work.expected())
		if !found {
			break
		}
		a.work.started()
		runs = append(runs, next)
	}
	left := a.backlog.Len()
	a.mu.Unlock()
	for i := range gone {
		a.giveUp(now, &gone[i], out)
	}
	ended := false
	for i := range runs {
		ended = !a.run(now, &runs[i], left, out) || ended
	}
	if ended {
		a.release(now, out) // their slots are free again
	}
}

// run hands a request that waited to the backend server, unless its flow has
// ended meanwhile; left still wait.
func (a *Agent) run(now time.Time, q *backlog.Request, left int, out *currantturn.Effects) (runs bool) {
	a.flows.Update(q.Flow, func(r *record) *record {
		if r == nil || r.held == nil {
			a.work.dropped()
			return r
		}
		runs = true
		r.running, r.seen = now, now
		a.waits.Record(now.Sub(q.Arrived))
		out.Event(event.RequestReleased, event.F("flow", q.Flow), event.F("backend", a.opts.Backend),
			event.F("waited", now.Sub(q.Arrived)), event.F("waiting", left), event.F("running", a.work.inProgress()))
		a.unhold(r, r.balancer, out)
		return r
	})
	return runs
}

// unhold delivers the packets that were held.
func (a *Agent) unhold(r *record, from netip.AddrPort, out *currantturn.Effects) {
	for _, h := range r.held {
		var p currantturn.Packet
		if err := a.opts.Codec.Decode(h, currantturn.ToBackend, &p); err != nil {
			continue // it decoded when it was held
		}
		r.pass(&p)
		a.deliver(&arrival{from: from, packet: &p, out: out})
	}
	r.held = nil
}

// giveUp drops a request whose caller has given up; it did not run.
func (a *Agent) giveUp(now time.Time, q *backlog.Request, out *currantturn.Effects) {
	a.counts.gaveUp.Add(1)
	out.Event(event.RequestGivenUp, event.F("flow", q.Flow), event.F("backend", a.opts.Backend),
		event.F("waited", now.Sub(q.Arrived)))
	a.flows.Update(q.Flow, func(r *record) *record {
		if r != nil {
			r.held = nil
		}
		return r
	})
}
