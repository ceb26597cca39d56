package flowbalancer

import (
	"math/rand/v2"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/currantturn/currantturn"
	"github.com/currantturn/currantturn/internal/coordination/placement"
	"github.com/currantturn/currantturn/internal/coordination/statesync"
	"github.com/currantturn/currantturn/internal/event"
	"github.com/currantturn/currantturn/internal/protocol/relay"
	"github.com/currantturn/currantturn/internal/state/schedule"
	"github.com/currantturn/currantturn/internal/state/shard"
)

// Options configure a Balancer.
type Options struct {
	Codec  currantturn.PacketCodec
	Domain currantturn.FailureDomain
	Self   netip.AddrPort // link address
	// AgentPort is the port of every agent's link address.
	AgentPort uint16
	Seed      uint64 // of the random number generator
	MaxFlows  int    // limit on remembered flows; 0 means DefaultMaxFlows
	// LinkRate is the rate of the VM's network link in bytes per second; 0 means
	// unlimited.
	LinkRate float64
	// NoOverflow keeps new flows on the service drawn by the weights of their route even
	// while it is overloaded.
	NoOverflow bool
}

// Balancer routes the packets of opaque flows at an entry VM.
type Balancer struct {
	opts             Options
	plan             atomic.Pointer[plan]
	delegates        atomic.Pointer[[]netip.AddrPort] // balancers that search for this one
	searchLimiter    searchLimiter
	flows            *shard.Map[currantturn.FlowKey, entry]
	lastReceivedNano atomic.Int64 // Unix time of the last message from any agent
	firstProbeNano   atomic.Int64 // Unix time of the first probe since then, 0 if none

	mu  sync.Mutex // guards the fields below and replacement of the plan
	rng *rand.Rand
	// Flows with a step due: openings await the backend server's answer to the opening
	// packet, one list per attempt; searches are to be continued or widened; rechecks
	// repeat unanswered queries.
	openings [maxAttempts - 1]schedule.List[currantturn.FlowKey]
	searches schedule.List[currantturn.FlowKey]
	rechecks schedule.List[currantturn.FlowKey]
	// queries are the flows of the next query to each agent.
	queries       map[netip.AddrPort]relay.Flows
	queriesSentAt time.Time
	unsure        []currantturn.FlowKey // flows with unsure targets, oldest first
	buffered      []bufferedPacket
	// learnedHolders are, while nothing is published, the targets that hold flows of a
	// service address.
	learnedHolders map[netip.AddrPort][]*target
	holdersLearned bool // since the last tick
	// deferred are searches that wait for a newer published state.
	deferred    []currantturn.FlowKey
	usual       map[currantturn.ServiceName]*usualTimes
	peers       int       // other balancers that are alive
	cold        []*target // whose agents are to be notified of the warm-up
	sweepNumber int       // number of the last sweep of the flow table
	lastProbe   time.Time
	drains      drains
	// targets and candidates are the memory of the last choice, for the next one.
	targets    []*target
	candidates []placement.Candidate
	counts     counts
}

// counts are the values of Counters, updated concurrently.
type counts struct {
	placed, replaced, known, searched, found, absent, refused, unrouted, full, delegated, overflowed atomic.Uint64
}

// Counters are a balancer's totals since its start.
type Counters struct {
	Placed     uint64 `json:"placed"`     // new flows sent to a backend server
	Replaced   uint64 `json:"replaced"`   // new flows sent to another backend server after one did not accept them
	Known      uint64 `json:"known"`      // packets of flows whose holder was known
	Searched   uint64 `json:"searched"`   // packets of unknown flows that started or continued a search
	Found      uint64 `json:"found"`      // searches that found the holder
	Absent     uint64 `json:"absent"`     // searches in which every possible holder was ruled out
	Refused    uint64 `json:"refused"`    // new flows reset because no backend server was available
	Unrouted   uint64 `json:"unrouted"`   // packets of flows without a route
	Full       uint64 `json:"full"`       // packets of flows that did not fit into the flow table
	Delegated  uint64 `json:"delegated"`  // packets of unknown flows left to a balancer with a faster link
	Overflowed uint64 `json:"overflowed"` // new flows placed on another service of their route than the drawn one
	Flows      int    `json:"flows"`      // flows remembered now
}

// New returns a balancer that has no configuration yet.
func New(opts Options) *Balancer {
	if opts.MaxFlows == 0 {
		opts.MaxFlows = DefaultMaxFlows
	}
	return &Balancer{
		opts:          opts,
		searchLimiter: newSearchLimiter(opts.LinkRate),
		flows:         shard.New[currantturn.FlowKey, entry](opts.MaxFlows),
		rng:           rand.New(rand.NewPCG(opts.Seed, 11)),

		queries:        make(map[netip.AddrPort]relay.Flows),
		usual:          make(map[currantturn.ServiceName]*usualTimes),
		learnedHolders: make(map[netip.AddrPort][]*target),
		drains:         newDrains(),
	}
}

// Counters returns the totals so far.
func (b *Balancer) Counters() Counters {
	c := &b.counts
	return Counters{
		Placed: c.placed.Load(), Replaced: c.replaced.Load(), Known: c.known.Load(),
		Searched: c.searched.Load(), Found: c.found.Load(), Absent: c.absent.Load(),
		Refused: c.refused.Load(), Unrouted: c.unrouted.Load(), Full: c.full.Load(),
		Delegated: c.delegated.Load(), Overflowed: c.overflowed.Load(), Flows: b.flows.Len(),
	}
}

// Ready reports whether the configuration in force has backend servers. Without any but in
// drained failure domains, open flows go on and new ones are refused at once.
func (b *Balancer) Ready() bool {
	p := b.plan.Load()
	return p != nil && p.complete() // not a provisional plan
}

// Isolated reports whether no agent has answered this balancer's probes for
// isolationTimeout; its callers are better served by other balancers.
func (b *Balancer) Isolated(now time.Time) bool {
	firstProbe := b.firstProbeNano.Load()
	return firstProbe != 0 && now.UnixNano()-firstProbe > int64(isolationTimeout)
}

// probe requests a report from a few agents if no message from any agent has arrived
// recently.
func (b *Balancer) probe(now time.Time, out *currantturn.Effects) {
	p := b.plan.Load()
	if p == nil || len(p.targets) == 0 || now.Sub(b.lastReceived()) < probeDelay {
		return
	}
	b.firstProbeNano.CompareAndSwap(0, now.UnixNano())
	b.mu.Lock()
	defer b.mu.Unlock()
	if now.Sub(b.lastProbe) < probeInterval {
		return
	}
	b.lastProbe = now
	for range min(probeFanout, len(p.targets)) {
		out.Send(p.targets[b.rng.IntN(len(p.targets))].agent, relay.Probe{})
	}
}

// probeEnded probes agents whose backend servers are taken for ended, a few at a time. One
// that answers is waited for again.
func (b *Balancer) probeEnded(now time.Time, out *currantturn.Effects) {
	p := b.plan.Load()
	if p == nil {
		return
	}
	sent := 0
	for _, t := range p.gone {
		if sent == endedProbesPerTick {
			return
		}
		if t.probeEnded(now, b.lastReceived()) {
			out.Send(t.agent, relay.Probe{})
			sent++
		}
	}
}

// Publish puts a published state in force, unless its configuration is older than the
// present one. It then resumes deferred searches and routes buffered packets. A state
// without a configuration is used for its announced agents alone.
func (b *Balancer) Publish(now time.Time, s statesync.State, out *currantturn.Effects) {
	b.mu.Lock()
	old := b.plan.Load()
	if s.Routing == nil && len(s.Announced) == 0 || old != nil && s.RoutingVersion() < old.version {
		b.mu.Unlock()
		return
	}
	p := newPlan(now, &s, b.opts.AgentPort, old)
	b.plan.Store(p)
	b.drains.update(now, old, p)
	clear(b.usual)
	b.updateLearned(p)
	b.queueCold(now, p, old)
	deferred := b.deferred
	b.deferred = nil
	b.mu.Unlock()
	if p.provisional && (old == nil || !old.provisional) {
		out.Event(event.AgentsAnnounced, event.F("agents", len(p.targets)))
	}
	if !p.provisional && !p.placementHeld && !p.complete() {
		return
	}
	for _, key := range deferred {
		b.resumeSearch(now, key, out)
	}
	b.routeBuffered(now, out)
}

// Handle processes a control message from an agent.
func (b *Balancer) Handle(now time.Time, from netip.AddrPort, m currantturn.Message, out *currantturn.Effects) {
	p := b.plan.Load()
	if p == nil {
		return
	}
	t := p.byAgent[from]
	if t == nil {
		return
	}
	b.recordReceived(now, t, out)
	switch m := m.(type) {
	case relay.Accepted:
		t.updateLoad(now, m.Load)
		b.handleAccepted(now, m.Flow.Key(), t)
	case relay.Report:
		t.updateLoad(now, m.Load)
	case relay.Held:
		b.handleHeld(now, m.Flow.Key(), t, true, out)
	case relay.Absent:
		b.handleAbsent(now, m.Flow.Key(), t, m.Position(), out)
	case relay.QueryReply:
		b.handleQueryReply(now, m, t, out)
	case relay.Drained:
		b.handleDrained(now, p, t, m, out)
	}
}

// recordReceived records that a message arrived from an agent.
func (b *Balancer) recordReceived(now time.Time, t *target, out *currantturn.Effects) {
	if t.recordReceived() {
		out.Event(event.AgentHeard, event.F("backend", t.entry.ID), event.F("peer", t.agent))
	}
	b.lastReceivedNano.Store(now.UnixNano())
	b.firstProbeNano.Store(0)
}

// lastReceived returns when the last message from any agent arrived.
func (b *Balancer) lastReceived() time.Time {
	return time.Unix(0, b.lastReceivedNano.Load())
}

// Pending reports whether something waits for the next tick.
func (b *Balancer) Pending() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	for i := range b.openings {
		if b.openings[i].Len() > 0 {
			return true
		}
	}
	return b.searches.Len()+b.rechecks.Len()+len(b.queries)+len(b.unsure)+len(b.buffered)+len(b.cold) > 0
}

// Configure does nothing: this balancer uses published states.
func (b *Balancer) Configure(time.Time, *currantturn.View, *currantturn.Effects) {}

// Tick retries unanswered opening packets, continues searches, probes agents and
// removes the expired flows of one shard.
func (b *Balancer) Tick(now time.Time, out *currantturn.Effects) {
	b.mu.Lock()
	var openings []currantturn.FlowKey
	for i := range b.openings {
		openings = append(openings, b.openings[i].TakeDue(now)...)
	}
	searches, rechecks := b.searches.TakeDue(now), b.rechecks.TakeDue(now)
	b.sweepNumber++
	number := b.sweepNumber
	b.mu.Unlock()
	for _, key := range openings {
		b.retryOpening(now, key, out)
	}
	for _, key := range searches {
		b.continueSearch(now, key, out)
	}
	for _, key := range rechecks {
		b.recheck(now, key, out)
	}
	if b.takeHoldersLearned() {
		b.routeBuffered(now, out)
	}
	b.refuseBuffered(now, out)
	b.sendToUnsure(now, out)
	b.sendQueries(now, out)
	b.probe(now, out)
	b.probeEnded(now, out)
	b.notifyCold(now, out)
	b.sendDrainNotices(now, out)
	b.flows.Sweep(number, func(_ currantturn.FlowKey, e *entry) bool { return !e.expired(now) })
}
