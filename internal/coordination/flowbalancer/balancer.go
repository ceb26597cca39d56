package flowbalancer

import (
	"math/rand/v2"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/currantturn/currantturn"
	"github.com/currantturn/currantturn/internal/coordination/statesync"
	"github.com/currantturn/currantturn/internal/event"
	"github.com/currantturn/currantturn/internal/protocol/relay"
	"github.com/currantturn/currantturn/internal/state/roster"
	"github.com/currantturn/currantturn/internal/state/schedule"
	"github.com/currantturn/currantturn/internal/state/shard"
)

// Options are a balancer's place and its bounds.
type Options struct {
	Codec  currantturn.PacketCodec
	Domain currantturn.FailureDomain
	// AgentPort is the port of every agent's link address.
	AgentPort uint16
	Seed      uint64 // of its random choices
	Flows     int    // bound of the flows that are remembered
	// LinkRate is what the VM's network link carries, bytes a second; 0 without a bound.
	LinkRate float64
}

// Balancer is the router of an entry VM for opaque flows.
type Balancer struct {
	opts  Options
	plan  atomic.Pointer[plan]
	pace  pace
	flows *shard.Map[currantturn.FlowKey, entry]
	heard atomic.Int64 // Unix nanoseconds of the last sign of life of any agent
	asked atomic.Int64 // Unix nanoseconds of the first probe since then, 0 without one

	mu  sync.Mutex // guards the fields below and changes of the plan
	rng *rand.Rand
	// openings wait for the backend server's answer, by tries; searches for the
	// agents'.
	openings [maxTries - 1]schedule.List[currantturn.FlowKey]
	searches schedule.List[currantturn.FlowKey]
	rechecks schedule.List[currantturn.FlowKey]
	// questions are the flows that agents will be asked for.
	questions map[netip.AddrPort]relay.Flows
	flushed   time.Time
	held      [][]byte // packets that came before the first configuration
	// deferred are searches that wait for a newer published state.
	deferred []currantturn.FlowKey
	sweepAt  int
	probed   time.Time
	counts   counts
}

// published is what a plan is made from.
type published struct {
	revision  uint64
	routing   *currantturn.Routing
	servers   []roster.Entry
	agentPort uint16
}

type counts struct {
	placed, replaced, known, searched, found, absent, refused, unrouted, full atomic.Uint64
}

// Counters are a balancer's totals since its start.
type Counters struct {
	Placed   uint64 `json:"placed"`   // new flows sent to a backend server
	Replaced uint64 `json:"replaced"` // new flows sent to another one after the first did not take them
	Known    uint64 `json:"known"`    // packets of flows whose holder was known
	Searched uint64 `json:"searched"` // packets of unknown flows sent to every possible holder
	Found    uint64 `json:"found"`    // searches that found the holder
	Absent   uint64 `json:"absent"`   // searches that every possible holder answered with no
	Refused  uint64 `json:"refused"`  // new flows reset for want of a backend server
	Unrouted uint64 `json:"unrouted"` // packets without a route
	Full     uint64 `json:"full"`     // flows beyond the bound of those remembered
	Flows    int    `json:"flows"`    // flows remembered at present
}

// New returns a balancer that has no configuration yet.
func New(opts Options) *Balancer {
	if opts.Flows == 0 {
		opts.Flows = DefaultFlows
	}
	return &Balancer{
		opts:  opts,
		pace:  newPace(opts.LinkRate),
		flows: shard.New[currantturn.FlowKey, entry](opts.Flows),
		rng:   rand.New(rand.NewPCG(opts.Seed, 11)),

		questions: make(map[netip.AddrPort]relay.Flows),
	}
}

// Counters returns the totals so far.
func (b *Balancer) Counters() Counters {
	c := &b.counts
	return Counters{
		Placed: c.placed.Load(), Replaced: c.replaced.Load(), Known: c.known.Load(),
		Searched: c.searched.Load(), Found: c.found.Load(), Absent: c.absent.Load(),
		Refused: c.refused.Load(), Unrouted: c.unrouted.Load(), Full: c.full.Load(),
		Flows: b.flows.Len(),
	}
}

// Ready says whether there are routes and backend servers.
func (b *Balancer) Ready() bool {
	p := b.plan.Load()
	return p != nil && len(p.ready) > 0
}

// Isolated says whether no agent answers this balancer, while it asks some; its
// callers are better off with other balancers.
func (b *Balancer) Isolated(now time.Time) bool {
	asked := b.asked.Load()
	return asked != 0 && now.UnixNano()-asked > int64(isolatedAfter)
}

// probe asks a few agents for a report, as long as none was heard lately.
func (b *Balancer) probe(now time.Time, out *currantturn.Effects) {
	p := b.plan.Load()
	if p == nil || len(p.all) == 0 || now.Sub(b.heardAny()) < probeAfter {
		return
	}
	b.asked.CompareAndSwap(0, now.UnixNano())
	b.mu.Lock()
	defer b.mu.Unlock()
	if now.Sub(b.probed) < probeEvery {
		return
	}
	b.probed = now
	for range min(probeFan, len(p.all)) {
		out.Send(p.all[b.rng.IntN(len(p.all))].agent, relay.Probe{})
	}
}

// Publish puts a published state in force.
func (b *Balancer) Publish(now time.Time, s statesync.State, out *currantturn.Effects) {
	if s.Routing == nil {
		return
	}
	b.mu.Lock()
	old := b.plan.Load()
	if old != nil && s.Routing.Version < old.version {
		b.mu.Unlock()
		return
	}
	b.plan.Store(newPlan(now, &published{revision: s.Revision, routing: s.Routing, servers: s.Servers, agentPort: b.opts.AgentPort}, old))
	held, deferred := b.held, b.deferred
	b.deferred = nil
	if b.Ready() {
		b.held = nil
	}
	b.mu.Unlock()
	if !b.Ready() {
		return
	}
	for _, key := range deferred {
		b.resume(now, key, out)
	}
	for _, raw := range held {
		if p, ok := b.unpack(raw); ok {
			b.Route(now, netip.AddrPort{}, &currantturn.Envelope{Direction: currantturn.ToBackend, Packet: p}, out)
		}
	}
}

// Handle takes a control message of an agent.
func (b *Balancer) Handle(now time.Time, from netip.AddrPort, m currantturn.Message, out *currantturn.Effects) {
	p := b.plan.Load()
	if p == nil {
		return
	}
	t := p.byAgent[from]
	if t == nil {
		return
	}
	b.hear(now, t, out)
	switch m := m.(type) {
	case relay.Accepted:
		t.report(now, m.Load)
		b.accepted(now, m.Flow.Key(), t)
	case relay.Report:
		t.report(now, m.Load)
	case relay.Held:
		b.found(now, m.Flow.Key(), t, true, out)
	case relay.Absent:
		b.absent(now, m.Flow.Key(), t, m.Revision, out)
	case relay.Answer:
		b.answered(now, m, t, out)
	}
}

// hear notes a sign of life of an agent.
func (b *Balancer) hear(now time.Time, t *target, out *currantturn.Effects) {
	if t.hear() {
		out.Event(event.AgentHeard, event.F("backend", t.entry.ID), event.F("peer", t.agent))
	}
	b.heard.Store(now.UnixNano())
	b.asked.Store(0)
}

// heardAny is when any agent was heard last.
func (b *Balancer) heardAny() time.Time {
	return time.Unix(0, b.heard.Load())
}

// Pending says whether something waits for the next tick.
func (b *Balancer) Pending() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	for i := range b.openings {
		if b.openings[i].Len() > 0 {
			return true
		}
	}
	return b.searches.Len()+b.rechecks.Len()+len(b.questions) > 0
}

// Configure does nothing: this balancer follows a published state.
func (b *Balancer) Configure(time.Time, *currantturn.View, *currantturn.Effects) {}

// Tick sends overdue opening packets to another backend server and forgets
// silent flows.
func (b *Balancer) Tick(now time.Time, out *currantturn.Effects) {
	b.mu.Lock()
	var openings []currantturn.FlowKey
	for i := range b.openings {
		openings = append(openings, b.openings[i].Take(now)...)
	}
	searches, rechecks := b.searches.Take(now), b.rechecks.Take(now)
	b.sweepAt++
	number := b.sweepAt
	b.mu.Unlock()
	for _, key := range openings {
		b.overdue(now, key, out)
	}
	for _, key := range searches {
		b.overdueSearch(now, key, out)
	}
	for _, key := range rechecks {
		b.recheck(now, key, out)
	}
	b.flushQuestions(now, out)
	b.probe(now, out)
	b.flows.Sweep(number, func(_ currantturn.FlowKey, e *entry) bool { return !e.expired(now) })
}
