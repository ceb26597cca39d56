package flowbalancer

import (
	"bytes"
	"net/netip"
	"slices"
	"time"

	"github.com/currantturn/currantturn"
	"github.com/currantturn/currantturn/internal/coordination/placement"
	"github.com/currantturn/currantturn/internal/event"
)

// Route decides on a caller's packet, or on one that an agent returned.
func (b *Balancer) Route(now time.Time, from netip.AddrPort, e *currantturn.Envelope, out *currantturn.Effects) {
	p := b.plan.Load()
	if p == nil || len(p.ready) == 0 {
		b.hold(&e.Packet)
		return
	}
	if from.IsValid() {
		b.returned(now, p, from, e, out)
		return
	}
	f := p.routes[e.Packet.Flow.Service]
	if f == nil {
		b.counts.unrouted.Add(1)
		b.reset(&e.Packet, "no route", out)
		return
	}
	b.forward(now, p, f, &e.Packet, out)
}

// hold keeps a packet until the first configuration is known.
func (b *Balancer) hold(p *currantturn.Packet) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.held) < maxHeld {
		b.held = append(b.held, bytes.Clone(p.Payload))
	}
}

// forward sends a caller's packet towards its flow's backend server.
func (b *Balancer) forward(
	now time.Time, p *plan, f *currantturn.FlowRoute, packet *currantturn.Packet, out *currantturn.Effects,
) {
	stored := b.flows.Update(packet.Flow, func(x *entry) *entry {
		opening := packet.Mark == currantturn.MarkOpening
		if x == nil || opening && !x.closed.IsZero() {
			x = &entry{}
		}
		x.seen, x.acked = now, packet.Acked
		switch packet.Mark {
		case currantturn.MarkReset, currantturn.MarkClosing:
			if x.closed.IsZero() {
				x.closed = now
			}
		case currantturn.MarkOpening:
			if x.progress == "" || x.progress == searching {
				b.place(now, p, f, packet, x, out)
				return b.kept(x)
			}
		}
		b.follow(now, p, f, packet, x, out)
		return b.kept(x)
	})
	if !stored {
		b.counts.full.Add(1)
	}
}

// kept drops an entry that nothing was decided for.
func (b *Balancer) kept(x *entry) *entry {
	if x.progress == "" {
		return nil
	}
	return x
}

// follow sends a packet to the known holder, or searches for it.
func (b *Balancer) follow(
	now time.Time, p *plan, f *currantturn.FlowRoute, packet *currantturn.Packet, x *entry, out *currantturn.Effects,
) {
	if t := b.current(p, x); t != nil && !t.ended(now, b.heardAny()) {
		b.counts.known.Add(1)
		intent := currantturn.IntentHeld
		if t.gone() {
			intent = currantturn.IntentSearch // which an agent that still runs answers
		}
		b.send(now, t, f, intent, packet, out)
		return
	}
	// The flow may also be at another backend server that answered the opening
	// packet, even if the one that was known has ended.
	b.search(now, p, f, packet, x, out)
}

// current returns the entry's holder as the plan knows it now, or nil if it is
// to be searched for.
func (b *Balancer) current(p *plan, x *entry) *target {
	if x.holder == nil {
		return nil
	}
	t := p.byAgent[x.holder.agent]
	if t == nil || t.entry.ID != x.holder.entry.ID {
		return nil
	}
	x.holder = t
	return t
}

// place sends an opening packet to the best backend server of its route.
func (b *Balancer) place(
	now time.Time, p *plan, f *currantturn.FlowRoute, packet *currantturn.Packet, x *entry, out *currantturn.Effects,
) {
	t := b.choose(now, p, f, packet.Flow, x.tried, out)
	if t == nil {
		b.counts.refused.Add(1)
		b.lost(now, packet, x, "no backend server takes new flows", out)
		return
	}
	if len(x.tried) == 0 {
		b.counts.placed.Add(1)
	} else {
		b.counts.replaced.Add(1)
	}
	t.take()
	x.progress, x.holder, x.due = placing, t, now.Add(acceptTimeout<<len(x.tried))
	x.opening = bytes.Clone(packet.Payload)
	x.tried = append(x.tried, t.entry.ID)
	out.Event(event.FlowPlaced, event.F("flow", packet.Flow), event.F("service", t.entry.Service),
		event.F("backend", t.entry.ID), event.F("load", t.evidence(now)), event.F("version", uint64(p.version)),
		event.F("revision", p.revision), event.F("tries", len(x.tried)))
	b.send(now, t, f, currantturn.IntentPlace, packet, out)
	if tries := len(x.tried); tries < maxTries { // then the caller's own copies go on
		b.later(&b.openings[tries-1], packet.Flow, x.due)
	}
}

// choose returns the best backend server that was not tried yet, or nil: one of
// the nearest if any of them answers.
func (b *Balancer) choose(
	now time.Time, p *plan, f *currantturn.FlowRoute, flow currantturn.FlowKey, tried []currantturn.BackendID,
	out *currantturn.Effects,
) *target {
	b.mu.Lock()
	defer b.mu.Unlock()
	ready := p.ready[b.share(f)]
	for _, all := range [][]*target{nearest(ready, flow, choices), ready} {
		var targets []*target
		var candidates []placement.Candidate
		for _, t := range all {
			c := t.candidate(now, b.opts.Domain)
			if slices.Contains(tried, t.entry.ID) || c.Avoid && len(all) < len(ready) {
				continue
			}
			targets = append(targets, t)
			candidates = append(candidates, c)
		}
		usual := placement.Usual(candidates)
		noteSlow(now, targets, candidates, usual, out)
		if best := placement.Choose(b.rng, candidates, usual); best >= 0 {
			return targets[best]
		}
	}
	return nil
}

// noteSlow reports which targets have become slow, or are no longer, among those
// that are compared.
func noteSlow(
	now time.Time, targets []*target, candidates []placement.Candidate, usual time.Duration, out *currantturn.Effects,
) {
	for i, t := range targets {
		c := &candidates[i]
		if c.Service <= 0 || len(candidates) == 1 {
			continue
		}
		slow, changed := t.judgeSpeed(c, usual)
		if !changed {
			continue
		}
		number := event.BackendUsual
		if slow {
			number = event.BackendSlow
		}
		out.Event(number, event.F("backend", t.entry.ID), event.F("service_time", c.Service),
			event.F("usual", usual), event.F("age", t.evidence(now).age))
	}
}

// share draws the service of a new flow by the route's weights.
func (b *Balancer) share(f *currantturn.FlowRoute) currantturn.ServiceName {
	if len(f.Shares) == 1 {
		return f.Shares[0].Service
	}
	total := 0
	for _, s := range f.Shares {
		total += s.Weight
	}
	at := b.rng.IntN(total)
	for _, s := range f.Shares {
		if at -= s.Weight; at < 0 {
			return s.Service
		}
	}
	return f.Shares[0].Service
}

func (b *Balancer) send(
	now time.Time, t *target, f *currantturn.FlowRoute, intent currantturn.Intent, packet *currantturn.Packet, out *currantturn.Effects,
) {
	if intent == currantturn.IntentSearch {
		t.ask(now, b.heardAny())
	}
	out.Forwards = append(out.Forwards, currantturn.Forward{To: t.agent, Envelope: currantturn.Envelope{
		Direction: currantturn.ToBackend, Intent: intent, Service: t.entry.Service, Packet: *packet,
		Revision: b.plan.Load().revision, BackendAge: t.age(now),
		Demand: currantturn.Demand{
			Slots: t.entry.Slots, Priority: f.Priority, Objective: f.LatencyObjective, Timeout: f.Timeout,
		},
	}})
}

// sendRaw sends a packet that was kept.
func (b *Balancer) sendRaw(
	now time.Time, t *target, f *currantturn.FlowRoute, intent currantturn.Intent, raw []byte, out *currantturn.Effects,
) {
	if packet, ok := b.unpack(raw); ok {
		b.send(now, t, f, intent, &packet, out)
	}
}

// unpack decodes a packet that was kept; one that decoded when it was kept does
// so again, and only no packet at all does not.
func (b *Balancer) unpack(raw []byte) (p currantturn.Packet, ok bool) {
	err := b.opts.Codec.Decode(raw, currantturn.ToBackend, &p)
	return p, err == nil
}

// returned takes back a packet that an agent did not deliver.
func (b *Balancer) returned(
	now time.Time, p *plan, from netip.AddrPort, e *currantturn.Envelope, out *currantturn.Effects,
) {
	t, f := p.byAgent[from], p.routes[e.Packet.Flow.Service]
	if t == nil || f == nil {
		return
	}
	b.hear(now, t, out)
	b.flows.Update(e.Packet.Flow, func(x *entry) *entry {
		switch {
		case x == nil:
			return nil
		case e.Intent == currantturn.IntentDeclined:
			b.declined(now, p, f, t, &e.Packet, x, out)
		case x.progress == searching:
			x.deny(t.entry.ID, e.Revision)
			b.denied(now, p, f, e.Packet.Flow, x, out)
		case x.holder != nil && x.holder.agent == from:
			// The packet goes on at once to whoever holds the flow.
			x.search(now)
			x.deny(t.entry.ID, e.Revision)
			b.follow(now, p, f, &e.Packet, x, out)
		}
		return b.kept(x)
	})
}

// declined places a new flow elsewhere.
func (b *Balancer) declined(
	now time.Time, p *plan, f *currantturn.FlowRoute, t *target, packet *currantturn.Packet, x *entry, out *currantturn.Effects,
) {
	t.shun(now)
	if x.progress != placing || x.holder == nil || x.holder.agent != t.agent {
		return
	}
	out.Event(event.FlowDeclined, event.F("flow", packet.Flow), event.F("backend", t.entry.ID), event.F("tries", len(x.tried)))
	b.place(now, p, f, packet, x, out)
}

// overdue places a new flow elsewhere whose opening packet was not answered.
func (b *Balancer) overdue(now time.Time, key currantturn.FlowKey, out *currantturn.Effects) {
	p := b.plan.Load()
	b.flows.Update(key, func(x *entry) *entry {
		if x == nil || x.progress != placing || now.Before(x.due) {
			return x
		}
		f := p.routes[key.Service]
		if f == nil {
			return x
		}
		x.holder.shun(now)
		packet, ok := b.unpack(x.opening)
		if !ok {
			return nil
		}
		out.Event(event.FlowUnanswered, event.F("flow", key), event.F("backend", x.holder.entry.ID),
			event.F("tries", len(x.tried)), event.F("waited", acceptTimeout))
		b.place(now, p, f, &packet, x, out)
		return b.kept(x)
	})
}

// accepted ends the wait for an answer to an opening packet.
func (b *Balancer) accepted(now time.Time, key currantturn.FlowKey, t *target) {
	b.flows.Update(key, func(x *entry) *entry {
		switch {
		case x == nil || x.progress != placing:
		case len(x.tried) > 1:
			// Several may answer; the caller's next packet tells which one it chose.
			*x = entry{progress: searching, asked: now, seen: now, acked: x.acked, tried: x.tried}
		default:
			x.settle(now, t)
		}
		return x
	})
}

// lost resets a flow that no backend server holds, and forgets it.
func (b *Balancer) lost(now time.Time, packet *currantturn.Packet, x *entry, reason string, out *currantturn.Effects) {
	closing := !x.closed.IsZero() || packet.Mark == currantturn.MarkReset || packet.Mark == currantturn.MarkClosing
	*x = entry{seen: now}
	if !closing {
		b.reset(packet, reason, out)
	}
}

// reset tells the caller that its flow is refused or gone.
func (b *Balancer) reset(packet *currantturn.Packet, reason string, out *currantturn.Effects) {
	if packet.Mark == currantturn.MarkReset {
		return
	}
	out.Event(event.FlowReset, event.F("flow", packet.Flow), event.F("reason", reason))
	out.Answers = append(out.Answers, currantturn.Packet{Flow: packet.Flow, Mark: currantturn.MarkReset, Payload: b.opts.Codec.Reset(packet)})
}
