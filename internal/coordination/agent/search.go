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

// search asks other agents for the holder of an unknown flow, while a few of
// the flow's packets wait.
type search struct {
	key     flow.Key
	hash    uint64
	conn    uint32
	opening bool // an empty search ends in a placement, and the asked agents respect it
	wide    bool // all agents of the service were asked
	asked   []currantturn.BackendID
	open    []currantturn.BackendID // of the asked ones, those that did not answer
	started time.Time
	nextAsk time.Time
	delay   time.Duration // until the question is repeated
	waiting []currantturn.Envelope
}

// search starts a search; without agents to ask it begins with the ranks.
func (a *Agent) search(d *arrival, asked []currantturn.BackendID) {
	all := a.searches[d.number]
	if len(all) >= maxSearches {
		a.counts.searchDrops.Add(1)
		return
	}
	s := &search{key: d.key, hash: d.hash, conn: d.conn, started: d.now}
	s.opening = d.env.Packet.Mark == currantturn.MarkOpening
	// A flow that the home believes to be here is known to its ranks at most.
	s.wide = s.opening || d.env.Intent == currantturn.IntentHeld
	if asked == nil {
		asked = a.ranked(d)
	}
	s.asked = asked
	s.open = slices.Clone(asked)
	all[d.hash] = s
	a.counts.searches.Add(1)
	d.out.Event(event.FlowSearchStarted, event.F("flow", d.env.Packet.Flow), event.F("service", a.opts.Service),
		event.F("version", d.plan.version))
	a.wait(s, d)
	a.ask(d.now, s, d.plan, d.out)
	a.advance(d.now, s, d.plan, d.out)
}

// ranked lists the ranks of the flow by the present, the balancer's and the
// earlier rankings.
func (a *Agent) ranked(d *arrival) []currantturn.BackendID {
	var ids []currantturn.BackendID
	add := func(ranks [currantturn.MaxRanks]currantturn.BackendID) {
		for _, id := range ranks {
			if id != "" && id != a.opts.ID && !contains(ids, id) {
				ids = append(ids, id)
			}
		}
	}
	add(d.plan.top(d.hash))
	add(d.env.Ranks)
	for _, old := range d.plan.earlier {
		add(old.top(d.hash))
	}
	return ids
}

// join adds a packet to a search. An opening packet that arrives after data of
// its flow turns the search into a placement.
func (a *Agent) join(s *search, d *arrival) {
	if s.opening || d.env.Packet.Mark != currantturn.MarkOpening {
		a.wait(s, d)
		return
	}
	delete(a.searches[d.number], d.hash)
	a.unknown(d)
	for i := range s.waiting {
		a.byRecord(a.resume(d.now, s, i, d.plan, d.out))
	}
}

// wait keeps a packet until the search ends.
func (a *Agent) wait(s *search, d *arrival) {
	if len(s.waiting) >= maxWaiting {
		a.counts.searchDrops.Add(1)
		return
	}
	e := *d.env
	e.Packet.Payload = slices.Clone(e.Packet.Payload)
	s.waiting = append(s.waiting, e)
}

func (a *Agent) ask(now time.Time, s *search, p *plan, out *currantturn.Effects) {
	s.delay = min(max(2*s.delay, currantturn.TickEvery), maxAskDelay)
	s.nextAsk = now.Add(s.delay)
	for _, id := range s.open {
		if at, ok := p.address(id); ok {
			out.Send(at, Query{From: a.opts.ID, Key: slices.Clone(s.key[:]), Opening: s.opening})
		}
	}
}

// tickSearches repeats unanswered questions and ends what can end.
func (a *Agent) tickSearches(now time.Time, p *plan, out *currantturn.Effects) {
	for i := range a.searches {
		shard := a.table.At(i)
		shard.Lock()
		for _, hash := range sortedHashes(a.searches[i]) {
			s := a.searches[i][hash]
			if !now.Before(s.nextAsk) {
				a.ask(now, s, p, out)
			}
			a.advance(now, s, p, out)
		}
		shard.Unlock()
	}
}

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

// advance widens or ends a search when nobody who may still answer is left.
func (a *Agent) advance(now time.Time, s *search, p *plan, out *currantturn.Effects) {
	s.open = slices.DeleteFunc(s.open, func(id currantturn.BackendID) bool {
		m, ok := a.members.Get(id)
		return ok && m.State == membership.Dead
	})
	late := now.Sub(s.started) >= SearchDeadline
	if len(s.open) > 0 && !late {
		return
	}
	if !s.wide && !late {
		s.wide = true
		s.delay = 0
		s.open = a.others(s)
		s.asked = append(s.asked, s.open...)
		a.ask(now, s, p, out)
		if len(s.open) > 0 {
			return
		}
	}
	a.endEmpty(now, s, p, out)
}

// others lists the agents that were not asked yet, from a place in the
// configured order that the flow's hash gives.
func (a *Agent) others(s *search) []currantturn.BackendID {
	var ids []currantturn.BackendID
	a.members.With(func(all []*membership.Member) {
		for i := range all {
			m := all[(i+int(s.hash%uint64(len(all))))%len(all)]
			id := m.Server.ID
			if len(ids) < maxAsked && m.State != membership.Dead && id != a.opts.ID && !contains(s.asked, id) {
				ids = append(ids, id)
			}
		}
	})
	return ids
}

// endEmpty places a new flow, adopts one without marks, and lets any other be
// reset here.
func (a *Agent) endEmpty(now time.Time, s *search, p *plan, out *currantturn.Effects) {
	delete(a.searches[flow.ShardOf(s.hash)], s.hash)
	a.counts.searchesEmpty.Add(1)
	for i := range s.waiting {
		d := a.resume(now, s, i, p, out)
		r := d.shard.Get(d.hash, &d.key)
		switch {
		case r != nil:
			a.byRecord(d)
		case d.env.Packet.Mark == currantturn.MarkOpening:
			a.place(d)
		case d.env.Packet.Mark == currantturn.MarkNone:
			a.counts.adopted.Add(1)
			out.Event(event.FlowAdopted, event.F("flow", d.env.Packet.Flow), event.F("service", a.opts.Service),
				event.F("backend", a.opts.ID))
			a.place(d)
		case a.members.Parted(now):
			a.reject(d, "holder may be beyond a partition")
		default:
			a.reject(d, "flow is unknown to every agent")
			if r = a.record(d); r != nil {
				d.shard.Redirect(r, a.ids.Ref(a.opts.ID))
				r.Seen = flow.StampOf(now)
			}
			a.deliver(d)
		}
	}
}

// endFound sends the waiting packets to the holder.
func (a *Agent) endFound(now time.Time, s *search, holder currantturn.BackendID, p *plan, out *currantturn.Effects) {
	delete(a.searches[flow.ShardOf(s.hash)], s.hash)
	shard := a.table.Shard(s.hash)
	r := shard.Get(s.hash, &s.key)
	if r == nil {
		if r = shard.Put(s.hash, &s.key); r != nil {
			shard.Redirect(r, a.ids.Ref(holder))
			r.Seen = flow.StampOf(now)
		}
	}
	for i := range s.waiting {
		d := a.resume(now, s, i, p, out)
		if r != nil {
			a.byRecord(d)
		} else {
			a.forward(d, holder, currantturn.IntentHeld)
		}
	}
}

// resume makes a waiting packet the one under decision.
func (a *Agent) resume(now time.Time, s *search, i int, p *plan, out *currantturn.Effects) *arrival {
	n := flow.ShardOf(s.hash)
	return &arrival{
		now: now, env: &s.waiting[i], plan: p, hash: s.hash, key: s.key, conn: s.conn,
		shard: a.table.At(n), number: n, out: out,
	}
}

// handleQuery answers what this agent knows of a flow.
func (a *Agent) handleQuery(now time.Time, from netip.AddrPort, q Query, out *currantturn.Effects) {
	key, ok := flow.ParseKey(q.Key)
	p := a.plan.Load()
	if !ok || (p != nil && p.service.Backend(q.From) == nil) {
		return
	}
	hash := a.opts.Key.Flow(key.Flow())
	shard := a.table.Shard(hash)
	shard.Lock()
	defer shard.Unlock()
	holder, answer := a.known(now, shard, hash, &key, q, p, out)
	if answer {
		out.Send(from, Reply{From: a.opts.ID, Key: q.Key, Holder: holder})
	}
}

// known finds the holder for a query. Two agents that are both about to place
// the same flow agree by the order of their IDs.
func (a *Agent) known(
	now time.Time, shard *flow.Shard, hash uint64, key *flow.Key, q Query, p *plan, out *currantturn.Effects,
) (holder currantturn.BackendID, answer bool) {
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
		// A search of this agent that may end in a placement decides first.
		return "", s == nil || !s.opening
	}
	if s != nil && s.opening && a.opts.ID < q.From {
		return a.opts.ID, true
	}
	if s != nil {
		a.endFound(now, s, q.From, p, out)
		return "", true
	}
	if r := shard.Put(hash, key); r != nil {
		shard.Redirect(r, a.ids.Ref(q.From))
		r.Set(flow.Fenced)
		r.Seen = flow.StampOf(now)
	}
	return "", true
}

// handleReply takes an answer to a search.
func (a *Agent) handleReply(now time.Time, m Reply, out *currantturn.Effects) {
	key, ok := flow.ParseKey(m.Key)
	p := a.plan.Load()
	if !ok || p == nil {
		return
	}
	hash := a.opts.Key.Flow(key.Flow())
	shard := a.table.Shard(hash)
	shard.Lock()
	defer shard.Unlock()
	s := a.searches[flow.ShardOf(hash)][hash]
	if s == nil || s.key != key {
		return
	}
	holder, found := a.members.Get(m.Holder)
	if found && m.Holder != a.opts.ID && holder.State != membership.Dead {
		a.endFound(now, s, m.Holder, p, out)
		return
	}
	s.open = slices.DeleteFunc(s.open, func(id currantturn.BackendID) bool { return id == m.From })
	a.advance(now, s, p, out)
}
