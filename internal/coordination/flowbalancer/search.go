package flowbalancer

import (
	"bytes"
	"net/netip"
	"slices"
	"time"

	"github.com/currantturn/currantturn"
	"github.com/currantturn/currantturn/internal/coordination/rank"
	"github.com/currantturn/currantturn/internal/event"
	"github.com/currantturn/currantturn/internal/protocol/relay"
	"github.com/currantturn/currantturn/internal/state/schedule"
)

// nearest returns the n targets that rank first for a flow. New flows are placed
// among them, so that any balancer finds a flow again by asking few agents.
func nearest(all []*target, flow currantturn.FlowKey, n int) []*target {
	if len(all) <= n {
		return all
	}
	hash := rank.Key{}.Flow(flow)
	var scores [likely]float64
	var top [likely]*target
	found := 0
	for _, t := range all {
		s := rank.Score(hash, t.seed, 1)
		if found == n && s <= scores[n-1] {
			continue
		}
		if found < n {
			found++
		}
		i := found - 1
		for i > 0 && scores[i-1] < s {
			scores[i], top[i] = scores[i-1], top[i-1]
			i--
		}
		scores[i], top[i] = s, t
	}
	return slices.Clone(top[:found])
}

// likely returns the targets that probably hold a flow of the route.
func (p *plan) likely(f *currantturn.FlowRoute, flow currantturn.FlowKey) []*target {
	if len(f.Shares) == 1 {
		return nearest(p.services[f.Shares[0].Service], flow, likely)
	}
	var all []*target
	for _, s := range f.Shares {
		all = append(all, nearest(p.services[s.Service], flow, likely)...)
	}
	return all
}

// search asks for the holder of a flow: the likely agents get the packet
// itself, and the others a question if that does not help.
func (b *Balancer) search(
	now time.Time, p *plan, f *currantturn.FlowRoute, packet *currantturn.Packet, x *entry, out *currantturn.Effects,
) {
	fresh := x.search(now)
	if b.settled(now, p, f, packet, x, out) {
		return
	}
	b.counts.searched.Add(1)
	if len(x.pending) == 0 || packet.DataSize > 0 {
		x.pending = bytes.Clone(packet.Payload)
	}
	b.askLikely(now, p, f, packet, x, out)
	if fresh {
		b.later(&b.searches, packet.Flow, now.Add(widenAfter))
		return
	}
	b.widen(now, p, f, packet.Flow, x)
}

// candidates are the targets to ask first: those that the opening packet went
// to, if that is known.
func (x *entry) candidates(p *plan, f *currantturn.FlowRoute, flow currantturn.FlowKey) []*target {
	if len(x.tried) == 0 {
		return p.likely(f, flow)
	}
	var all []*target
	for _, t := range p.holders(f) {
		if slices.Contains(x.tried, t.entry.ID) {
			all = append(all, t)
		}
	}
	if len(all) == 0 {
		return p.likely(f, flow)
	}
	return all
}

// askLikely sends the packet to the likely agents if the link has room.
func (b *Balancer) askLikely(
	now time.Time, p *plan, f *currantturn.FlowRoute, packet *currantturn.Packet, x *entry, out *currantturn.Effects,
) {
	var ask []*target
	for _, t := range x.candidates(p, f, packet.Flow) {
		if !x.denied(t, now, b.heardAny()) {
			ask = append(ask, t)
		}
	}
	if !b.pace.take(now, len(ask)*packetBytes(packet.Payload)) {
		return
	}
	if x.reach == askedNone {
		x.reach = askedLikely
	}
	for _, t := range ask {
		b.send(now, t, f, currantturn.IntentSearch, packet, out)
	}
}

// widen asks all other agents that may hold the flow if the link has room.
func (b *Balancer) widen(
	now time.Time, p *plan, f *currantturn.FlowRoute, flow currantturn.FlowKey, x *entry,
) {
	if x.reach == askedLikely && b.question(now, p, f, flow, x, x.candidates(p, f, flow)) {
		x.reach = askedAll
	}
}

// question asks the agents that may hold the flow and have not denied it, but
// for some; it does nothing while the link has no room.
func (b *Balancer) question(
	now time.Time, p *plan, f *currantturn.FlowRoute, flow currantturn.FlowKey, x *entry, but []*target,
) bool {
	var ask []*target
	for _, t := range p.holders(f) {
		if !slices.Contains(but, t) && !x.denied(t, now, b.heardAny()) {
			ask = append(ask, t)
		}
	}
	if !b.pace.take(now, len(ask)*questionBytes) {
		return false
	}
	for _, t := range ask {
		t.ask(now, b.heardAny())
		b.enqueue(t.agent, flow, x.acked)
	}
	return true
}

// enqueue adds a question to those that go to an agent together.
func (b *Balancer) enqueue(agent netip.AddrPort, flow currantturn.FlowKey, acked uint32) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.questions[agent] = b.questions[agent].Append(flow, acked)
}

// flushQuestions sends the questions, many flows in one message, so that a
// restart of everything does not fill thin links.
func (b *Balancer) flushQuestions(now time.Time, out *currantturn.Effects) {
	b.mu.Lock()
	defer b.mu.Unlock()
	p := b.plan.Load()
	if p == nil || len(b.questions) == 0 || now.Sub(b.flushed) < questionsEvery {
		return
	}
	b.flushed = now
	for _, t := range p.all {
		list := b.questions[t.agent]
		for list.Len() > 0 {
			var head relay.Flows
			head, list = list.Cut(relay.MaxFlows)
			out.Send(t.agent, relay.Query{
				Flows: head, Revision: p.revision, AgeMS: relay.AgeMS(t.age(now)),
			})
		}
	}
	clear(b.questions)
}

// overdueSearch goes on with a search that the likely agents did not end, or
// for which the link had no room.
func (b *Balancer) overdueSearch(now time.Time, key currantturn.FlowKey, out *currantturn.Effects) {
	b.searchOf(key, func(p *plan, f *currantturn.FlowRoute, x *entry) {
		switch x.reach {
		case askedNone:
			packet, ok := b.unpack(x.pending)
			if !ok {
				return // nothing waits for this search
			}
			b.askLikely(now, p, f, &packet, x, out)
		case askedLikely:
			b.widen(now, p, f, key, x)
		}
		if x.reach == askedAll {
			b.later(&b.rechecks, key, now.Add(recheckEvery))
		} else {
			b.later(&b.searches, key, now.Add(widenAfter))
		}
	})
}

// recheck asks those again that did not answer, until the search is over.
func (b *Balancer) recheck(now time.Time, key currantturn.FlowKey, out *currantturn.Effects) {
	b.searchOf(key, func(p *plan, f *currantturn.FlowRoute, x *entry) {
		packet := currantturn.Packet{Flow: key, Mark: currantturn.MarkData, Acked: x.acked}
		if b.settled(now, p, f, &packet, x, out) || now.Sub(x.asked) > searchTimeout {
			return
		}
		b.question(now, p, f, key, x, nil)
		b.later(&b.rechecks, key, now.Add(recheckEvery))
	})
}

// later notes that something is due for a flow; every list has one delay, so
// that it stays in order of time.
func (b *Balancer) later(list *schedule.List[currantturn.FlowKey], key currantturn.FlowKey, due time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	list.Add(key, due)
}

// searchOf calls f for a flow that is searched for.
func (b *Balancer) searchOf(key currantturn.FlowKey, f func(*plan, *currantturn.FlowRoute, *entry)) {
	p := b.plan.Load()
	route := p.routes[key.Service]
	if route == nil {
		return
	}
	b.flows.Update(key, func(x *entry) *entry {
		if x == nil || x.progress != searching {
			return x
		}
		f(p, route, x)
		return b.kept(x)
	})
}

// answered takes an agent's answer to questions.
func (b *Balancer) answered(now time.Time, m relay.Answer, t *target, out *currantturn.Effects) {
	for key := range m.Held.All() {
		b.found(now, key, t, false, out)
	}
	for key := range m.Absent.All() {
		b.absent(now, key, t, m.Revision, out)
	}
	for key := range m.Unsure.All() {
		b.searchOf(key, func(_ *plan, f *currantturn.FlowRoute, x *entry) {
			if len(x.pending) > 0 && b.pace.take(now, packetBytes(x.pending)) {
				b.sendRaw(now, t, f, currantturn.IntentSearch, x.pending, out)
			}
		})
	}
}

// found ends a search; the packet that waited goes to the holder unless the
// search itself has delivered it.
func (b *Balancer) found(now time.Time, key currantturn.FlowKey, t *target, delivered bool, out *currantturn.Effects) {
	b.flows.Update(key, func(x *entry) *entry {
		if x == nil {
			x = &entry{}
		}
		if x.progress == searching {
			b.counts.found.Add(1)
			out.Event(event.FlowFound, event.F("flow", key), event.F("backend", t.entry.ID), event.F("elapsed", now.Sub(x.asked)))
		}
		pending := x.pending
		x.settle(now, t)
		if f := b.plan.Load().routes[key.Service]; f != nil && !delivered && len(pending) > 0 {
			b.sendRaw(now, t, f, currantturn.IntentHeld, pending, out)
		}
		return x
	})
}

// absent takes an agent's no to a search.
func (b *Balancer) absent(now time.Time, key currantturn.FlowKey, t *target, revision uint64, out *currantturn.Effects) {
	b.flows.Update(key, func(x *entry) *entry {
		if x != nil && x.holder != nil && x.holder.agent == t.agent {
			x.search(now)
		}
		return x
	})
	b.searchOf(key, func(p *plan, f *currantturn.FlowRoute, x *entry) {
		x.deny(t.entry.ID, revision)
		b.denied(now, p, f, key, x, out)
	})
}

// denied goes on with a search after a no.
func (b *Balancer) denied(
	now time.Time, p *plan, f *currantturn.FlowRoute, key currantturn.FlowKey, x *entry, out *currantturn.Effects,
) {
	packet := currantturn.Packet{Flow: key, Mark: currantturn.MarkData, Acked: x.acked}
	if b.settled(now, p, f, &packet, x, out) || x.reach != askedLikely {
		return
	}
	for _, t := range x.candidates(p, f, key) {
		if !x.denied(t, now, b.heardAny()) {
			return
		}
	}
	b.widen(now, p, f, key, x)
}

// resume decides a search again that waited for a newer published state.
func (b *Balancer) resume(now time.Time, key currantturn.FlowKey, out *currantturn.Effects) {
	b.searchOf(key, func(p *plan, f *currantturn.FlowRoute, x *entry) {
		if x.reach == askedAll {
			x.reach = askedLikely // there may be newcomers to ask
		}
		b.denied(now, p, f, key, x, out)
	})
}

// settled decides a search that every agent answered with no: the caller is
// told at once. While agents have heard of a newer published state, a backend
// server that is not known here may hold the flow.
func (b *Balancer) settled(
	now time.Time, p *plan, f *currantturn.FlowRoute, packet *currantturn.Packet, x *entry, out *currantturn.Effects,
) bool {
	if !x.nowhere(now, b.heardAny(), p.holders(f)) {
		return false
	}
	if x.needs > p.revision {
		b.mu.Lock()
		defer b.mu.Unlock()
		if len(b.deferred) < maxDeferred {
			b.deferred = append(b.deferred, packet.Flow)
		}
		return true
	}
	for _, t := range p.holders(f) {
		if !slices.Contains(x.absent, t.entry.ID) && t.noteSilent() {
			out.Event(event.AgentSilent, event.F("backend", t.entry.ID), event.F("peer", t.agent),
				event.F("unanswered", t.unanswered(now, b.heardAny())), event.F("registered", !t.gone()))
		}
	}
	b.counts.absent.Add(1)
	b.lost(now, packet, x, "nobody holds the flow", out)
	return true
}
