package agent

import (
	"net/netip"
	"slices"
	"sort"
	"time"

	"github.com/currantturn/currantturn"
	"github.com/currantturn/currantturn/internal/coordination/membership"
	"github.com/currantturn/currantturn/internal/event"
	"github.com/currantturn/currantturn/internal/state/flow"
)

// search queries other agents for the holder of an unknown flow; a few of the
// flow's packets are queued meanwhile.
type search struct {
	key        flow.Key
	hash       uint64
	connHash   uint32
	opening    bool // without a holder the flow is placed; the queried agents then redirect to this one
	widened    bool // no further agents are to be queried
	queried    []currantturn.BackendID
	unanswered []currantturn.BackendID // queried agents that have not replied
	started    time.Time
	nextQuery  time.Time
	queryDelay time.Duration // from the last query to the next; it doubles up to maxQueryDelay
	waiting    []currantturn.Envelope
}

// startSearch queries the given agents, or the ranks of the flow if agents is nil.
func (a *Agent) startSearch(d *decision, agents []currantturn.BackendID) {
	searches := a.searches[d.shardIndex]
	if len(searches) >= maxSearches {
		a.counts.searchDrops.Add(1)
		return
	}
	s := &search{key: d.key, hash: d.hash, connHash: d.connHash, started: d.now}
	s.opening = d.env.Packet.Mark == currantturn.MarkOpening
	// If the sender has this agent recorded as the holder, only the flow's ranks
	// can have a record of another one.
	s.widened = s.opening || d.env.Intent == currantturn.IntentHeld
	if agents == nil {
		agents = a.rankedAgents(d)
	}
	s.queried = agents
	s.unanswered = slices.Clone(agents)
	searches[d.hash] = s
	a.counts.searches.Add(1)
	d.out.Event(event.FlowSearchStarted, event.F("flow", d.env.Packet.Flow), event.F("service", a.opts.Service),
		event.F("version", d.plan.version))
	a.queuePacket(s, d)
	a.sendQueries(d.now, s, d.plan, d.out)
	a.advanceSearch(d.now, s, d.plan, d.out)
}

// rankedAgents returns the ranks of the flow in the current, the balancer's and the
// earlier rankings.
func (a *Agent) rankedAgents(d *decision) []currantturn.BackendID {
	var ids []currantturn.BackendID
	add := func(ranks [currantturn.MaxRanks]currantturn.BackendID) {
		for _, id := range ranks {
			if id != "" && id != a.opts.ID && !contains(ids, id) {
				ids = append(ids, id)
			}
		}
	}
	add(d.plan.ranks(d.hash))
	add(d.env.Ranks)
	for _, old := range d.plan.earlier {
		add(old.ranks(d.hash))
	}
	return ids
}

// joinSearch queues a packet for a search. An opening packet that arrives after data
// of its flow ends the search and is routed as new; the queued packets follow it.
func (a *Agent) joinSearch(s *search, d *decision) {
	if s.opening || d.env.Packet.Mark != currantturn.MarkOpening {
		a.queuePacket(s, d)
		return
	}
	delete(a.searches[d.shardIndex], d.hash)
	a.routeUnknown(d)
	for i := range s.waiting {
		a.routeByRecord(a.resumePacket(d.now, s, i, d.plan, d.out))
	}
}

// queuePacket queues a packet until the search ends, or drops it if the queue is
// full.
func (a *Agent) queuePacket(s *search, d *decision) {
	if len(s.waiting) >= maxWaitingPackets {
		a.counts.searchDrops.Add(1)
		return
	}
	e := *d.env
	e.Packet.Payload = slices.Clone(e.Packet.Payload)
	s.waiting = append(s.waiting, e)
}

// sendQueries queries the agents that have not replied and schedules the next
// repetition.
func (a *Agent) sendQueries(now time.Time, s *search, p *plan, out *currantturn.Effects) {
	s.queryDelay = min(max(2*s.queryDelay, currantturn.TickInterval), maxQueryDelay)
	s.nextQuery = now.Add(s.queryDelay)
	for _, id := range s.unanswered {
		if addr, ok := p.agentAddress(id); ok {
			out.Send(addr, Query{From: a.opts.ID, Key: slices.Clone(s.key[:]), Opening: s.opening})
		}
	}
}

// tickSearches repeats due queries, and widens or ends searches.
func (a *Agent) tickSearches(now time.Time, p *plan, out *currantturn.Effects) {
	for i := range a.searches {
		shard := a.table.At(i)
		shard.Lock()
		for _, hash := range sortedHashes(a.searches[i]) {
			s := a.searches[i][hash]
			if !now.Before(s.nextQuery) {
				a.sendQueries(now, s, p, out)
			}
			a.advanceSearch(now, s, p, out)
		}
		shard.Unlock()
	}
}

// sortedHashes returns the keys of m in a fixed order, so that runs are
// reproducible.
func sortedHashes(m map[uint64]*search) []uint64 {
	if len(m) == 0 {
		return nil
	}
	hashes := make([]uint64, 0, len(m))
	for h := range m {
		hashes = append(hashes, h)
	}
	sort.Slice(hashes, func(i, j int) bool { return hashes[i] < hashes[j] })
	return hashes
}

// advanceSearch widens a search once no queried agent is left that may still reply.
// It ends a search that cannot be widened or has timed out.
func (a *Agent) advanceSearch(now time.Time, s *search, p *plan, out *currantturn.Effects) {
	s.unanswered = slices.DeleteFunc(s.unanswered, func(id currantturn.BackendID) bool {
		m, ok := a.members.Get(id)
		return ok && m.State == membership.Dead
	})
	timedOut := now.Sub(s.started) >= SearchTimeout
	if len(s.unanswered) > 0 && !timedOut {
		return
	}
	if !s.widened && !timedOut {
		s.widened = true
		s.queryDelay = 0
		s.unanswered = a.unqueriedAgents(s)
		s.queried = append(s.queried, s.unanswered...)
		a.sendQueries(now, s, p, out)
		if len(s.unanswered) > 0 {
			return
		}
	}
	a.endWithoutHolder(now, s, p, out)
}

// unqueriedAgents returns up to maxOthersQueried agents that were not queried yet,
// in configured order from a position given by the flow's hash.
func (a *Agent) unqueriedAgents(s *search) []currantturn.BackendID {
	var ids []currantturn.BackendID
	a.members.WithMembers(func(members []*membership.Member) {
		for i := range members {
			m := members[(i+int(s.hash%uint64(len(members))))%len(members)]
			id := m.Server.ID
			if len(ids) < maxOthersQueried && m.State != membership.Dead && id != a.opts.ID && !contains(s.queried, id) {
				ids = append(ids, id)
			}
		}
	})
	return ids
}

// endWithoutHolder ends a search that found no holder. It places a new flow or one
// without marks; packets of any other flow are rejected and, unless a partition is
// likely, delivered here to be reset.
func (a *Agent) endWithoutHolder(now time.Time, s *search, p *plan, out *currantturn.Effects) {
	delete(a.searches[flow.ShardOf(s.hash)], s.hash)
	a.counts.searchesEmpty.Add(1)
	for i := range s.waiting {
		d := a.resumePacket(now, s, i, p, out)
		r := d.shard.Get(d.hash, &d.key)
		switch {
		case r != nil:
			a.routeByRecord(d)
		case d.env.Packet.Mark == currantturn.MarkOpening:
			a.place(d)
		case d.env.Packet.Mark == currantturn.MarkNone:
			a.counts.adopted.Add(1)
			out.Event(event.FlowAdopted, event.F("flow", d.env.Packet.Flow), event.F("service", a.opts.Service),
				event.F("backend", a.opts.ID))
			a.place(d)
		case a.members.PartitionLikely(now):
			a.reject(d, "holder may be unreachable because of a network partition")
		default:
			a.reject(d, "no agent holds the flow")
			if r = a.putRecord(d); r != nil {
				d.shard.Redirect(r, a.ids.Ref(a.opts.ID))
				r.LastSeen = flow.StampOf(now)
			}
			a.deliver(d)
		}
	}
}

// endWithHolder ends a search, records the holder and routes the queued packets.
func (a *Agent) endWithHolder(now time.Time, s *search, holder currantturn.BackendID, p *plan, out *currantturn.Effects) {
	delete(a.searches[flow.ShardOf(s.hash)], s.hash)
	shard := a.table.Shard(s.hash)
	r := shard.Get(s.hash, &s.key)
	if r == nil {
		if r = shard.Put(s.hash, &s.key); r != nil {
			shard.Redirect(r, a.ids.Ref(holder))
			r.LastSeen = flow.StampOf(now)
		}
	}
	for i := range s.waiting {
		d := a.resumePacket(now, s, i, p, out)
		if r != nil {
			a.routeByRecord(d)
		} else {
			a.forward(d, holder, currantturn.IntentHeld)
		}
	}
}

// resumePacket returns the decision on the queued packet with index i.
func (a *Agent) resumePacket(now time.Time, s *search, i int, p *plan, out *currantturn.Effects) *decision {
	n := flow.ShardOf(s.hash)
	return &decision{
		now: now, env: &s.waiting[i], plan: p, hash: s.hash, key: s.key, connHash: s.connHash,
		shard: a.table.At(n), shardIndex: n, out: out,
	}
}

// handleQuery replies with the flow's holder, or with none. It does not reply to a
// query for an existing flow while a search by this agent may place that flow.
func (a *Agent) handleQuery(now time.Time, from netip.AddrPort, q Query, out *currantturn.Effects) {
	key, ok := flow.ParseKey(q.Key)
	p := a.plan.Load()
	if !ok || (p != nil && p.service.Backend(q.From) == nil) {
		return
	}
	hash := a.opts.Key.HashFlow(key.Flow())
	shard := a.table.Shard(hash)
	shard.Lock()
	defer shard.Unlock()
	holder, decided := a.findHolder(now, shard, hash, &key, q, p, out)
	if decided {
		out.Send(from, Reply{From: a.opts.ID, Key: q.Key, Holder: holder})
	}
}

// findHolder returns the holder for the reply to a query, and whether to reply now.
// If both agents are about to place the same flow, the one with the lower ID does.
// If the querying agent is the one to place it, this agent records a redirect to it.
func (a *Agent) findHolder(
	now time.Time, shard *flow.Shard, hash uint64, key *flow.Key, q Query, p *plan, out *currantturn.Effects,
) (holder currantturn.BackendID, decided bool) {
	if r := shard.Get(hash, key); r != nil {
		if r.Has(flow.Held) {
			return a.opts.ID, true
		}
		if id := a.ids.ID(r.Holder); id != q.From && id != a.opts.ID {
			return id, true
		}
	}
	s := a.searches[flow.ShardOf(hash)][hash]
	if !q.Opening {
		// A search by this agent that may place the flow has to end first.
		return "", s == nil || !s.opening
	}
	if s != nil && s.opening && a.opts.ID < q.From {
		return a.opts.ID, true
	}
	if s != nil {
		a.endWithHolder(now, s, q.From, p, out)
		return "", true
	}
	if r := shard.Put(hash, key); r != nil {
		shard.Redirect(r, a.ids.Ref(q.From))
		r.Set(flow.Fenced)
		r.LastSeen = flow.StampOf(now)
	}
	return "", true
}

// handleReply ends a search if the reply names a usable holder; otherwise the search
// continues with the remaining agents.
func (a *Agent) handleReply(now time.Time, m Reply, out *currantturn.Effects) {
	key, ok := flow.ParseKey(m.Key)
	p := a.plan.Load()
	if !ok || p == nil {
		return
	}
	hash := a.opts.Key.HashFlow(key.Flow())
	shard := a.table.Shard(hash)
	shard.Lock()
	defer shard.Unlock()
	s := a.searches[flow.ShardOf(hash)][hash]
	if s == nil || s.key != key {
		return
	}
	holder, found := a.members.Get(m.Holder)
	if found && m.Holder != a.opts.ID && holder.State != membership.Dead {
		a.endWithHolder(now, s, m.Holder, p, out)
		return
	}
	s.unanswered = slices.DeleteFunc(s.unanswered, func(id currantturn.BackendID) bool { return id == m.From })
	a.advanceSearch(now, s, p, out)
}
