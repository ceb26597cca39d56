package flowagent

import (
	"bytes"
	"net/netip"
	"time"

	"github.com/currantturn/currantturn"
	"github.com/currantturn/currantturn/internal/event"
	"github.com/currantturn/currantturn/internal/protocol/relay"
)

// arrival is one caller's packet under decision.
type arrival struct {
	now    time.Time
	from   netip.AddrPort // balancer
	intent currantturn.Intent
	demand currantturn.Demand
	packet *currantturn.Packet
	out    *currantturn.Effects
}

// Route decides on a caller's packet that a balancer sent here.
func (a *Agent) Route(now time.Time, from netip.AddrPort, e *currantturn.Envelope, out *currantturn.Effects) {
	a.hear(now, from)
	a.learn(now, e.Revision, e.BackendAge)
	d := &arrival{now: now, from: from, intent: e.Intent, demand: e.Demand, packet: &e.Packet, out: out}
	if e.Service != a.Service() && e.Intent != currantturn.IntentSearch {
		a.counts.foreign.Add(1)
		out.Event(event.FlowForeign, event.F("flow", e.Packet.Flow), event.F("service", e.Service))
		a.refuse(d)
		return
	}
	stored := a.flows.Update(e.Packet.Flow, func(r *record) *record {
		if e.Packet.Mark == currantturn.MarkOpening {
			return a.open(d, r)
		}
		return a.data(d, r)
	})
	if !stored {
		a.counts.full.Add(1)
		a.refuse(d)
	}
}

// learn keeps the newest revision that a balancer told of, and when the backend
// server was seen to have just started. A balancer that knows less than that revision may not
// know a backend server that holds the flow.
func (a *Agent) learn(now time.Time, revision uint64, age time.Duration) {
	for {
		old := a.revision.Load()
		if revision <= old || a.revision.CompareAndSwap(old, revision) {
			break
		}
	}
	if age == 0 {
		return
	}
	born := now.Add(-age).UnixNano()
	for {
		old := a.born.Load()
		if born <= old || a.born.CompareAndSwap(old, born) {
			return
		}
	}
}

// open takes an opening packet: a repeat belongs to its flow, another one is
// new work.
func (a *Agent) open(d *arrival, r *record) *record {
	switch {
	case d.intent == currantturn.IntentSearch:
		return r
	case r != nil && r.progress != closed:
		r.seen = d.now
		a.deliver(d)
		return r
	case !a.takes(d.now):
		a.refuse(d)
		return r
	}
	a.deliver(d)
	a.mu.Lock()
	a.waiting.Add(d.packet.Flow, d.now.Add(answerTimeout))
	a.mu.Unlock()
	return &record{
		progress: opening, balancer: d.from, sentAt: d.now, seen: d.now,
		opening: bytes.Clone(d.packet.Payload), began: d.now.Add(-attemptAge(d.packet.Acked)),
	}
}

// data takes a packet of a flow that was opened before, here or elsewhere.
func (a *Agent) data(d *arrival, r *record) *record {
	if r == nil {
		if a.complete(d.now) {
			a.refuse(d)
			return nil
		}
		// The flow may be older than this process: the backend server knows.
		a.deliver(d)
		return nil
	}
	if r.progress == opening || !r.acknowledges(d.packet.Acked) && d.packet.Mark != currantturn.MarkReset {
		a.refuse(d)
		return r
	}
	if r.progress == answered {
		r.progress = open
		a.work.opened(1)
	}
	if d.intent == currantturn.IntentSearch {
		d.out.Send(d.from, relay.Held{Flow: relay.FlowOf(d.packet.Flow)})
	}
	r.seen = d.now
	switch {
	case d.packet.Mark == currantturn.MarkReset:
		a.deliver(d)
		a.close(d.now, d.packet.Flow, r)
		return r
	case r.held != nil && d.packet.Mark == currantturn.MarkClosing:
		a.keep(r, d.packet) // after the data that it closes
	case r.progress == open && d.packet.DataSize > 0:
		a.request(d, r)
	default:
		a.deliver(d)
	}
	if d.packet.Mark == currantturn.MarkClosing {
		a.ended(d.now, d.packet.Flow, r, endCaller)
	}
	return r
}

// deliver hands the packet to the backend server, tagged with the balancer to
// which a bounce goes back.
func (a *Agent) deliver(d *arrival) {
	a.counts.delivered.Add(1)
	a.opts.Codec.SetTag(d.packet.Payload, tagOf(d.from))
	d.out.Delivers = append(d.out.Delivers, *d.packet)
}

// refuse tells the balancer that the packet was not delivered.
func (a *Agent) refuse(d *arrival) {
	switch {
	case d.intent == currantturn.IntentSearch:
		d.out.Send(d.from, relay.Absent{
			Flow: relay.FlowOf(d.packet.Flow), Revision: a.revision.Load(),
		})
	case d.packet.Mark == currantturn.MarkOpening:
		a.counts.declined.Add(1)
		a.giveBack(d.from, currantturn.IntentDeclined, d.packet.Payload, d.out)
	default:
		a.counts.returned.Add(1)
		a.giveBack(d.from, currantturn.IntentAbsent, d.packet.Payload, d.out)
	}
}

func tagOf(balancer netip.AddrPort) uint32 {
	ip := balancer.Addr().As4()
	return uint32(ip[0])<<24 | uint32(ip[1])<<16 | uint32(ip[2])<<8 | uint32(ip[3])
}

func (a *Agent) balancerOf(tag uint32) netip.AddrPort {
	ip := netip.AddrFrom4([4]byte{byte(tag >> 24), byte(tag >> 16), byte(tag >> 8), byte(tag)})
	return netip.AddrPortFrom(ip, a.opts.LinkPort)
}
