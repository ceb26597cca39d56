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

// highestRanked returns the n targets that rank highest for a flow; n is at most
// likelyHolderCount. New flows are placed among them, so that any balancer finds a
// flow again by searching few agents.
func highestRanked(targets []*target, flow currantturn.FlowKey, n int) []*target {
	if len(targets) <= n {
		return targets
	}
	hash := rank.Key{}.HashFlow(flow)
	var scores [likelyHolderCount]float64
	var top [likelyHolderCount]*target
	found := 0
	for _, t := range targets {
		score := rank.Score(hash, t.seed, 1)
		if found == n && score <= scores[n-1] {
			continue
		}
		if found < n {
			found++
		}
		i := found - 1
		for i > 0 && scores[i-1] < score {
			scores[i], top[i] = scores[i-1], top[i-1]
			i--
		}
		scores[i], top[i] = score, t
	}
	return slices.Clone(top[:found])
}

// likelyHolders returns the targets that probably hold a flow of the route.
func (p *plan) likelyHolders(route *currantturn.FlowRoute, flow currantturn.FlowKey) []*target {
	if p.provisional {
		return highestRanked(p.targets, flow, likelyHolderCount)
	}
	if len(route.Shares) == 1 {
		return p.likelyHoldersOf(route.Shares[0].Service, flow)
	}
	var all []*target
	for _, s := range route.Shares {
		all = append(all, p.likelyHoldersOf(s.Service, flow)...)
	}
	return all
}

// likelyHoldersOf returns the targets of a service that probably hold a flow. While failure
// domains are drained, new flows go to targets that may rank lower.
func (p *plan) likelyHoldersOf(service currantturn.ServiceName, flow currantturn.FlowKey) []*target {
	likely := highestRanked(p.byService[service], flow, likelyHolderCount)
	if p.withheld == 0 {
		return likely
	}
	likely = slices.Clone(likely)
	for _, t := range highestRanked(p.placeable[service], flow, placementCandidates) {
		if !slices.Contains(likely, t) {
			likely = append(likely, t)
		}
	}
	return likely
}

// search looks for the holder of a flow. The likely holders receive the packet itself.
// The other agents are queried when all of those are ruled out, when widenDelay has
// passed, or when another packet of the flow arrives.
func (b *Balancer) search(
	now time.Time, p *plan, route *currantturn.FlowRoute, packet *currantturn.Packet, e *entry, out *currantturn.Effects,
) {
	first := e.ensureSearch(now)
	if b.finishIfAllRuledOut(now, p, route, packet, e, out) {
		return
	}
	b.counts.searched.Add(1)
	if len(e.pendingPacket) == 0 || packet.DataSize > 0 {
		e.pendingPacket = bytes.Clone(packet.Payload)
	}
	b.sendToLikelyHolders(now, p, route, packet, e, out)
	if first {
		b.schedule(&b.searches, packet.Flow, now.Add(widenDelay))
		return
	}
	b.widenSearch(now, p, route, packet.Flow, e)
}

// likelyHolders returns the targets to search first: those that the opening packet
// was sent to, if known.
func (e *entry) likelyHolders(p *plan, route *currantturn.FlowRoute, flow currantturn.FlowKey) []*target {
	if len(e.tried) == 0 {
		return p.likelyHolders(route, flow)
	}
	var all []*target
	for _, t := range p.routeHolders(route) {
		if slices.Contains(e.tried, t.entry.ID) {
			all = append(all, t)
		}
	}
	if len(all) == 0 {
		return p.likelyHolders(route, flow)
	}
	return all
}

// sendToLikelyHolders sends the packet to the likely holders if the link has
// capacity.
func (b *Balancer) sendToLikelyHolders(
	now time.Time, p *plan, route *currantturn.FlowRoute, packet *currantturn.Packet, e *entry, out *currantturn.Effects,
) {
	var targets []*target
	for _, t := range e.likelyHolders(p, route, packet.Flow) {
		if !e.ruledOut(t, now, b.lastReceived()) {
			targets = append(targets, t)
		}
	}
	if !b.searchLimiter.allow(now, len(targets)*linkBytes(packet.Payload)) {
		return
	}
	if e.scope == scopeNone {
		e.scope = scopeLikely
	}
	for _, t := range targets {
		b.send(now, t, route, currantturn.IntentSearch, packet, out)
	}
}

// widenSearch queries further agents if the link has capacity: first all others that
// are known to serve the route, and once those are ruled out, all that may hold the
// flow.
func (b *Balancer) widenSearch(
	now time.Time, p *plan, route *currantturn.FlowRoute, flow currantturn.FlowKey, e *entry,
) {
	switch holders := p.routeHolders(route); e.scope {
	case scopeLikely:
		if b.queryHolders(now, flow, e, holders, e.likelyHolders(p, route, flow)) {
			e.scope = scopeRoute
		}
	case scopeRoute:
		all := p.possibleHolders(now, route)
		if len(all) > len(holders) && e.allRuledOut(now, b.lastReceived(), holders) && b.queryHolders(now, flow, e, all, holders) {
			e.scope = scopeAll
		}
	}
}

// queryHolders queues a query to each of the targets, except those ruled out or listed
// in except. It returns false, with nothing queued, if the link has no capacity.
func (b *Balancer) queryHolders(now time.Time, flow currantturn.FlowKey, e *entry, holders, except []*target) bool {
	var targets []*target
	for _, t := range holders {
		if !slices.Contains(except, t) && !e.ruledOut(t, now, b.lastReceived()) {
			targets = append(targets, t)
		}
	}
	if !b.searchLimiter.allow(now, len(targets)*queryFlowBytes) {
		return false
	}
	for _, t := range targets {
		t.recordQuery(now, b.lastReceived())
		b.queueQuery(t.agent, flow, e.acked)
	}
	return true
}

// queueQuery adds a flow to the next query to an agent.
func (b *Balancer) queueQuery(agent netip.AddrPort, flow currantturn.FlowKey, acked uint32) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.queries[agent] = b.queries[agent].Append(flow, acked)
}

// sendQueries sends the queued queries, many flows in one message, so that a restart
// of all processes does not fill slow links.
func (b *Balancer) sendQueries(now time.Time, out *currantturn.Effects) {
	b.mu.Lock()
	defer b.mu.Unlock()
	p := b.plan.Load()
	if p == nil || len(b.queries) == 0 || now.Sub(b.queriesSentAt) < queryInterval {
		return
	}
	b.queriesSentAt = now
	for _, t := range p.targets {
		flows := b.queries[t.agent]
		for flows.Len() > 0 {
			var batch relay.Flows
			batch, flows = flows.Cut(relay.MaxFlows)
			out.Send(t.agent, relay.Query{Flows: batch, Revision: p.position.Revision, Era: p.position.Era})
		}
	}
	clear(b.queries)
}

// continueSearch takes the next step of a search that the likely holders did not end,
// or for which the link had no capacity.
func (b *Balancer) continueSearch(now time.Time, key currantturn.FlowKey, out *currantturn.Effects) {
	b.updateSearch(key, func(p *plan, route *currantturn.FlowRoute, e *entry) {
		switch e.scope {
		case scopeNone:
			packet, ok := b.decodeStored(e.pendingPacket)
			if !ok {
				return // no packet waits for this search
			}
			b.sendToLikelyHolders(now, p, route, &packet, e, out)
		case scopeLikely:
			b.widenSearch(now, p, route, key, e)
		}
		if e.scope == scopeRoute || e.scope == scopeAll {
			b.schedule(&b.rechecks, key, now.Add(recheckInterval))
		} else {
			b.schedule(&b.searches, key, now.Add(widenDelay))
		}
	})
}

// recheck repeats the queries to agents that have not answered, until the search ends.
func (b *Balancer) recheck(now time.Time, key currantturn.FlowKey, out *currantturn.Effects) {
	b.updateSearch(key, func(p *plan, route *currantturn.FlowRoute, e *entry) {
		packet := currantturn.Packet{Flow: key, Mark: currantturn.MarkData, Acked: e.acked}
		if b.finishIfAllRuledOut(now, p, route, &packet, e, out) || now.Sub(e.searchStarted) > searchTimeout {
			return
		}
		before := e.scope
		b.widenSearch(now, p, route, key, e)
		switch {
		case e.scope != before:
		case e.scope == scopeAll:
			b.queryHolders(now, key, e, p.targets, nil)
		default:
			b.queryHolders(now, key, e, p.routeHolders(route), nil)
		}
		b.schedule(&b.rechecks, key, now.Add(recheckInterval))
	})
}

// schedule adds a flow to a list of due times. All entries of a list have the same
// delay, so that it stays in order of time.
func (b *Balancer) schedule(list *schedule.List[currantturn.FlowKey], key currantturn.FlowKey, due time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	list.Add(key, due)
}

// updateSearch calls update for the flow if it is being searched for.
func (b *Balancer) updateSearch(key currantturn.FlowKey, update func(*plan, *currantturn.FlowRoute, *entry)) {
	p := b.plan.Load()
	route := p.route(key.Service)
	if route == nil {
		return
	}
	b.flows.Update(key, func(e *entry) *entry {
		if e == nil || e.progress != searching {
			return e
		}
		update(p, route, e)
		return b.dropIfUndecided(e)
	})
}

// handleQueryReply processes an agent's reply to a query. Of flows that the agent is
// unsure of, the next tick sends it the pending packet, which shows whether they are
// held.
func (b *Balancer) handleQueryReply(now time.Time, m relay.QueryReply, t *target, out *currantturn.Effects) {
	for key := range m.Held.All() {
		b.handleHeld(now, key, t, false, out)
	}
	for key := range m.Absent.All() {
		b.handleAbsent(now, key, t, m.Position(), out)
	}
	t.setForwards(m.Forwards)
	for key := range m.Unsure.All() {
		b.updateSearch(key, func(p *plan, _ *currantturn.FlowRoute, e *entry) {
			if len(e.pendingPacket) == 0 || slices.Contains(e.unsure, t) || t.unregistered && !p.provisional {
				return
			}
			if e.unsure = append(e.unsure, t); len(e.unsure) == 1 {
				b.queueUnsure(key)
			}
		})
	}
}

// handleHeld records the target as the flow's holder, which ends a search. The pending
// packet goes to the holder unless the search has delivered it.
func (b *Balancer) handleHeld(now time.Time, key currantturn.FlowKey, t *target, delivered bool, out *currantturn.Effects) {
	p := b.plan.Load()
	if p.provisional {
		b.learnHolder(key.Service, t)
	}
	b.flows.Update(key, func(e *entry) *entry {
		if e == nil {
			e = &entry{}
		}
		if e.progress == searching {
			b.counts.found.Add(1)
			out.Event(event.FlowFound, event.F("flow", key), event.F("backend", t.entry.ID), event.F("elapsed", now.Sub(e.searchStarted)))
		}
		pending := e.pendingPacket
		e.setHolder(now, t)
		if route := p.route(key.Service); route != nil && !delivered && len(pending) > 0 {
			b.sendStored(now, t, route, currantturn.IntentHeld, pending, out)
		}
		return e
	})
}

// handleAbsent processes an agent's statement that it does not hold a flow. If the
// agent was the recorded holder, a search starts.
func (b *Balancer) handleAbsent(now time.Time, key currantturn.FlowKey, t *target, position currantturn.Position, out *currantturn.Effects) {
	b.flows.Update(key, func(e *entry) *entry {
		if e != nil && e.holder != nil && e.holder.agent == t.agent {
			e.ensureSearch(now)
		}
		return e
	})
	b.updateSearch(key, func(p *plan, route *currantturn.FlowRoute, e *entry) {
		e.recordDenial(t.entry.ID, position)
		b.continueAfterDenial(now, p, route, key, e, out)
	})
}

// continueAfterDenial ends a search if all possible holders are ruled out, or widens
// it if the likely ones are.
func (b *Balancer) continueAfterDenial(
	now time.Time, p *plan, route *currantturn.FlowRoute, key currantturn.FlowKey, e *entry, out *currantturn.Effects,
) {
	packet := currantturn.Packet{Flow: key, Mark: currantturn.MarkData, Acked: e.acked}
	if b.finishIfAllRuledOut(now, p, route, &packet, e, out) {
		return
	}
	if e.scope != scopeLikely || e.allRuledOut(now, b.lastReceived(), e.likelyHolders(p, route, key)) {
		b.widenSearch(now, p, route, key, e)
	}
}

// resumeSearch continues a deferred search after a newer state was published.
func (b *Balancer) resumeSearch(now time.Time, key currantturn.FlowKey, out *currantturn.Effects) {
	b.updateSearch(key, func(p *plan, route *currantturn.FlowRoute, e *entry) {
		if e.scope != scopeNone {
			e.scope = scopeLikely // the new state may have added agents to query
		}
		b.continueAfterDenial(now, p, route, key, e, out)
	})
}

// finishIfAllRuledOut ends a search in which every possible holder is ruled out, and
// resets the flow at once. If an agent reported a newer published state, a backend
// server unknown here may hold the flow, and the search waits for that state
// instead. It returns false if a possible holder remains.
func (b *Balancer) finishIfAllRuledOut(
	now time.Time, p *plan, route *currantturn.FlowRoute, packet *currantturn.Packet, e *entry, out *currantturn.Effects,
) bool {
	if p.provisional || p.placementHeld || p.resetsHeld || !e.allRuledOut(now, b.lastReceived(), p.possibleHolders(now, route)) {
		return false
	}
	if e.minPosition.After(p.position) {
		b.mu.Lock()
		defer b.mu.Unlock()
		if len(b.deferred) < maxDeferredSearches {
			b.deferred = append(b.deferred, packet.Flow)
		}
		return true
	}
	for _, t := range p.possibleHolders(now, route) {
		if !slices.Contains(e.deniedBy, t.entry.ID) && t.markUnresponsive() {
			out.Event(event.AgentSilent, event.F("backend", t.entry.ID), event.F("peer", t.agent),
				event.F("unanswered", t.unansweredFor(now, b.lastReceived())), event.F("registered", !t.deregistered()))
		}
	}
	b.counts.absent.Add(1)
	b.resetAndForget(now, packet, e, "nobody holds the flow", out)
	return true
}
