package flowbalancer

import (
	"bytes"
	"net/netip"
	"slices"
	"time"

	"github.com/currantturn/currantturn"
	"github.com/currantturn/currantturn/internal/event"
)

// Route processes a packet from a caller, one that another balancer at from delegated,
// or one that the agent at from returned.
func (b *Balancer) Route(now time.Time, from netip.AddrPort, env *currantturn.Envelope, out *currantturn.Effects) {
	p := b.plan.Load()
	if p == nil || p.waits(&env.Packet) {
		b.bufferPacket(now, &env.Packet)
		return
	}
	fromBalancer := from.IsValid() && env.Intent == currantturn.IntentRoute
	if from.IsValid() && !fromBalancer {
		b.handleReturned(now, p, from, env, out)
		return
	}
	route := p.route(env.Packet.Flow.Service)
	if route == nil {
		b.counts.unrouted.Add(1)
		b.sendReset(&env.Packet, "no route", 0, out)
		return
	}
	b.forward(now, p, route, &env.Packet, !fromBalancer, out)
}

// forward sends a caller's packet to its flow's backend server, or places the flow. It
// may leave a search for the backend server to another balancer if mayDelegate is set.
func (b *Balancer) forward(
	now time.Time, p *plan, route *currantturn.FlowRoute, packet *currantturn.Packet, mayDelegate bool, out *currantturn.Effects,
) {
	stored := b.flows.Update(packet.Flow, func(e *entry) *entry {
		opening := packet.Mark == currantturn.MarkOpening
		if e == nil || opening && !e.closedAt.IsZero() {
			e = &entry{}
		}
		e.lastActive, e.acked = now, packet.Acked
		switch packet.Mark {
		case currantturn.MarkReset, currantturn.MarkClosing:
			if e.closedAt.IsZero() {
				e.closedAt = now
			}
		case currantturn.MarkOpening:
			if e.progress == "" || e.progress == searching || e.progress == delegated {
				b.place(now, p, route, packet, e, out)
				return b.dropIfUndecided(e)
			}
			if b.holderDrained(now, p, e) || p.holderUnrouted(route, e) {
				b.placeCopy(now, p, route, packet, e, out)
				return e
			}
		}
		if e.holder != nil || !mayDelegate || !b.delegate(packet, e, out) {
			b.forwardToHolder(now, p, route, packet, e, out)
		}
		return b.dropIfUndecided(e)
	})
	if !stored {
		b.counts.full.Add(1)
	}
}

// dropIfUndecided returns the entry, or nil, which deletes it, if the flow is neither
// placed, known nor searched for.
func (b *Balancer) dropIfUndecided(e *entry) *entry {
	if e.progress == "" {
		return nil
	}
	return e
}

// forwardToHolder sends a packet to the flow's holder, or searches for it if it is
// unknown or has ended.
func (b *Balancer) forwardToHolder(
	now time.Time, p *plan, route *currantturn.FlowRoute, packet *currantturn.Packet, e *entry, out *currantturn.Effects,
) {
	if t := b.currentHolder(p, e); t != nil && !t.ended(now, b.lastReceived()) {
		b.counts.known.Add(1)
		intent := currantturn.IntentHeld
		if t.deregistered() {
			intent = currantturn.IntentSearch // an agent that still runs answers this intent
		}
		b.send(now, t, route, intent, packet, out)
		return
	}
	// Even if the known holder has ended, another backend server that answered the
	// opening packet may hold the flow.
	b.search(now, p, route, packet, e, out)
}

// currentHolder returns the target of the entry's holder in the present plan, or nil
// if the holder has to be searched for.
func (b *Balancer) currentHolder(p *plan, e *entry) *target {
	if e.holder == nil || e.holder.planNumber == p.number {
		return e.holder // none, or one of the present plan
	}
	t := p.byAgent[e.holder.agent]
	if t == nil || t.entry.ID != e.holder.entry.ID && !e.holder.unregistered {
		return nil
	}
	e.holder = t
	return t
}

// place sends an opening packet to the best backend server of its route that has not
// had it yet. If there is none, it waits for one that may still answer, or resets the
// flow.
func (b *Balancer) place(
	now time.Time, p *plan, route *currantturn.FlowRoute, packet *currantturn.Packet, e *entry, out *currantturn.Effects,
) {
	t := b.chooseBackend(now, p, route, packet.Flow, e.tried, out)
	if t == nil && p.provisional {
		if len(e.tried) == 0 {
			b.bufferPacket(now, packet)
		}
		return
	}
	if t == nil && b.awaitAnswer(now, p, route, e) {
		return
	}
	if t == nil {
		b.refuse(now, packet, e, out)
		return
	}
	b.placeOn(now, p, route, packet, e, t, out)
}

// placeOn sends an opening packet to a backend server that has not had it yet.
func (b *Balancer) placeOn(
	now time.Time, p *plan, route *currantturn.FlowRoute, packet *currantturn.Packet, e *entry, t *target, out *currantturn.Effects,
) {
	if len(e.tried) == 0 {
		b.counts.placed.Add(1)
	} else {
		b.counts.replaced.Add(1)
	}
	t.countSentFlow()
	if e.progress != placing {
		e.deniedBy = nil // by a search: the backend servers did not hold the flow before
	}
	e.progress, e.holder, e.acceptDue = placing, t, now.Add(acceptTimeout<<min(len(e.tried), maxAttempts))
	e.openingPacket = bytes.Clone(packet.Payload)
	e.tried = append(e.tried, t.entry.ID)
	out.Event(event.FlowPlaced, event.F("flow", packet.Flow), event.F("service", t.entry.Service),
		event.F("backend", t.entry.ID), event.F("load", t.loadSnapshot(now)), event.F("version", uint64(p.version)),
		event.F("era", p.position.Era), event.F("revision", p.position.Revision), event.F("tries", len(e.tried)))
	b.send(now, t, route, currantturn.IntentPlace, packet, out)
	if tries := len(e.tried); tries < maxAttempts { // after the last attempt, only the caller retransmits
		b.schedule(&b.openings[tries-1], packet.Flow, e.acceptDue)
	}
}

// holderUnrouted reports whether a new flow awaits the answer of a backend server of a
// service that the route does not lead to any more.
func (p *plan) holderUnrouted(route *currantturn.FlowRoute, e *entry) bool {
	return e.progress == placing && e.holder != nil && !p.provisional &&
		!slices.ContainsFunc(route.Shares, func(s currantturn.Share) bool { return s.Service == e.holder.entry.Service })
}

// awaitAnswer leaves an opening packet with a backend server that has not answered it yet
// and that the caller's copies go to. It returns false if none of those that had the packet
// can be expected to answer. A reset might cross the answer, and end an open flow.
func (b *Balancer) awaitAnswer(now time.Time, p *plan, route *currantturn.FlowRoute, e *entry) bool {
	if e.progress != placing {
		return false
	}
	for _, t := range p.routeHolders(route) {
		if slices.Contains(e.tried, t.entry.ID) && !e.ruledOut(t, now, b.lastReceived()) {
			e.holder = t
			return true
		}
	}
	return false
}

// refuse resets a new flow that no backend server takes.
func (b *Balancer) refuse(now time.Time, packet *currantturn.Packet, e *entry, out *currantturn.Effects) {
	b.counts.refused.Add(1)
	b.resetAndForget(now, packet, e, "no backend server takes new flows", out)
}

// send forwards a packet to a target's agent. One that searches counts as a query.
func (b *Balancer) send(
	now time.Time, t *target, route *currantturn.FlowRoute, intent currantturn.Intent, packet *currantturn.Packet, out *currantturn.Effects,
) {
	if intent == currantturn.IntentSearch {
		t.recordQuery(now, b.lastReceived())
	}
	out.Forwards = append(out.Forwards, currantturn.Forward{To: t.agent, Envelope: currantturn.Envelope{
		Direction: currantturn.ToBackend, Intent: intent, Service: t.entry.Service, Packet: *packet,
		Position: b.plan.Load().position, Warming: t.warming(now, intent), ReadsLoads: intent == currantturn.IntentPlace,
		Demand: currantturn.Demand{
			Slots: t.entry.Slots, Priority: route.Priority, LatencyObjective: route.LatencyObjective, Timeout: route.Timeout,
		},
	}})
}

// sendStored sends a packet that was stored in encoded form.
func (b *Balancer) sendStored(
	now time.Time, t *target, route *currantturn.FlowRoute, intent currantturn.Intent, raw []byte, out *currantturn.Effects,
) {
	if packet, ok := b.decodeStored(raw); ok {
		b.send(now, t, route, intent, &packet, out)
	}
}

// decodeStored decodes a stored packet. It was decoded before, so it fails only if raw
// is empty.
func (b *Balancer) decodeStored(raw []byte) (p currantturn.Packet, ok bool) {
	err := b.opts.Codec.Decode(raw, currantturn.ToBackend, &p)
	return p, err == nil
}

// handleReturned processes a packet that an agent did not deliver.
func (b *Balancer) handleReturned(
	now time.Time, p *plan, from netip.AddrPort, env *currantturn.Envelope, out *currantturn.Effects,
) {
	t, route := p.byAgent[from], p.route(env.Packet.Flow.Service)
	if t == nil || route == nil {
		return
	}
	b.recordReceived(now, t, out)
	b.flows.Update(env.Packet.Flow, func(e *entry) *entry {
		switch {
		case e == nil:
			return nil
		case env.Intent == currantturn.IntentDeclined:
			b.handleDeclined(now, p, route, t, &env.Packet, e, out)
		case env.Intent == currantturn.IntentUnanswered:
			if e.progress == placing && e.holder.agent == from {
				b.placeUnanswered(now, p, route, &env.Packet, e, out)
			}
		case e.progress == searching:
			e.recordDenial(t.entry.ID, env.Position)
			b.continueAfterDenial(now, p, route, env.Packet.Flow, e, out)
		case e.holder != nil && e.holder.agent == from:
			// Searching with the packet itself delivers it to the actual holder at once.
			e.ensureSearch(now)
			e.recordDenial(t.entry.ID, env.Position)
			b.forwardToHolder(now, p, route, &env.Packet, e, out)
		}
		return b.dropIfUndecided(e)
	})
}

// handleDeclined places a new flow elsewhere after the agent declined it.
func (b *Balancer) handleDeclined(
	now time.Time, p *plan, route *currantturn.FlowRoute, t *target, packet *currantturn.Packet, e *entry, out *currantturn.Effects,
) {
	t.avoidForNow(now)
	if e.progress != placing {
		return
	}
	if slices.Contains(e.tried, t.entry.ID) {
		e.recordDenial(t.entry.ID, currantturn.Position{})
	}
	if e.holder.agent != t.agent {
		return
	}
	out.Event(event.FlowDeclined, event.F("flow", packet.Flow), event.F("backend", t.entry.ID), event.F("tries", len(e.tried)))
	if t.warmUp.Rate > 0 && len(e.tried) >= maxColdTries {
		if !b.awaitAnswer(now, p, route, e) {
			b.refuse(now, packet, e, out)
		}
		return
	}
	b.place(now, p, route, packet, e, out)
}

// retryOpening places a new flow elsewhere if its opening packet was not answered in
// time.
func (b *Balancer) retryOpening(now time.Time, key currantturn.FlowKey, out *currantturn.Effects) {
	p := b.plan.Load()
	b.flows.Update(key, func(e *entry) *entry {
		if e == nil || e.progress != placing || now.Before(e.acceptDue) {
			return e
		}
		route := p.route(key.Service)
		if route == nil {
			return e
		}
		packet, ok := b.decodeStored(e.openingPacket)
		if !ok {
			return nil
		}
		b.placeUnanswered(now, p, route, &packet, e, out)
		return b.dropIfUndecided(e)
	})
}

// placeUnanswered places a new flow elsewhere after its opening packet was not answered in
// time. The backend server that had it may still answer.
func (b *Balancer) placeUnanswered(
	now time.Time, p *plan, route *currantturn.FlowRoute, packet *currantturn.Packet, e *entry, out *currantturn.Effects,
) {
	e.holder.avoidForNow(now)
	tries := len(e.tried)
	sent := e.acceptDue.Add(-(acceptTimeout << (tries - 1)))
	out.Event(event.FlowUnanswered, event.F("flow", packet.Flow), event.F("backend", e.holder.entry.ID),
		event.F("tries", tries), event.F("waited", now.Sub(sent)))
	b.place(now, p, route, packet, e, out)
}

// handleAccepted ends the wait for an answer to an opening packet.
func (b *Balancer) handleAccepted(now time.Time, key currantturn.FlowKey, t *target) {
	b.flows.Update(key, func(e *entry) *entry {
		switch {
		case e == nil || e.progress != placing:
		case len(e.tried) > 1:
			// Several may have answered; a search with the caller's next packet shows
			// which of them the caller uses.
			*e = entry{progress: searching, searchStarted: now, lastActive: now, acked: e.acked, tried: e.tried}
		default:
			e.setHolder(now, t)
		}
		return e
	})
}

// resetAndForget resets a flow that no backend server holds, unless it is closing, and
// clears its entry.
func (b *Balancer) resetAndForget(now time.Time, packet *currantturn.Packet, e *entry, reason string, out *currantturn.Effects) {
	searched := time.Duration(0)
	if !e.searchStarted.IsZero() {
		searched = now.Sub(e.searchStarted)
	}
	closing := !e.closedAt.IsZero() || packet.Mark == currantturn.MarkReset || packet.Mark == currantturn.MarkClosing
	*e = entry{lastActive: now}
	if !closing {
		b.sendReset(packet, reason, searched, out)
	}
}

// sendReset sends the caller a reset, because its flow is refused or, after a search of
// the given length, lost. A reset is not answered with a reset.
func (b *Balancer) sendReset(packet *currantturn.Packet, reason string, searched time.Duration, out *currantturn.Effects) {
	if packet.Mark == currantturn.MarkReset {
		return
	}
	out.Event(event.FlowReset, event.F("flow", packet.Flow), event.F("reason", reason), event.F("searched", searched))
	out.Answers = append(out.Answers, currantturn.Packet{Flow: packet.Flow, Mark: currantturn.MarkReset, Payload: b.opts.Codec.Reset(packet)})
}
