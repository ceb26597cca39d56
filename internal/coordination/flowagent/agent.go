package flowagent

import (
	"maps"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/currantturn/currantturn"
	"github.com/currantturn/currantturn/internal/coordination/backlog"
	"github.com/currantturn/currantturn/internal/coordination/warmup"
	"github.com/currantturn/currantturn/internal/event"
	"github.com/currantturn/currantturn/internal/metric"
	"github.com/currantturn/currantturn/internal/protocol/relay"
	"github.com/currantturn/currantturn/internal/state/schedule"
	"github.com/currantturn/currantturn/internal/state/shard"
	"golang.org/x/time/rate"
)

// Options configure an agent.
type Options struct {
	Codec   currantturn.PacketCodec
	Service currantturn.ServiceName // of the backend server
	Backend currantturn.BackendID   // name of the VM, for events
	// LinkPort is the port of every balancer's link address.
	LinkPort uint16
	// Seeds are the link addresses of balancers that announcements are sent to.
	Seeds         []netip.AddrPort
	FailureDomain currantturn.FailureDomain
	Started       time.Time // when the process started
	// Fresh is true if no flow can be older than this process.
	Fresh    bool
	MaxFlows int // limit on tracked flows; 0 means DefaultMaxFlows
	// WarmUpOvershoot and WarmUpTolerance turn the rate of a service into the limit on
	// the opening packets of a cold backend server per second: rate x overshoot + tolerance.
	WarmUpOvershoot, WarmUpTolerance float64
}

// Agent routes the packets of opaque flows to and from one backend server.
type Agent struct {
	opts    Options
	service atomic.Pointer[currantturn.ServiceName]
	// position is the newest position of the published state received from any balancer.
	position     atomic.Pointer[heardPosition]
	flows        *shard.Map[currantturn.FlowKey, flowRecord]
	tracker      loadTracker
	waitTimes    *metric.Histogram // from the start of a caller's attempt until its request runs, if it had to wait
	openTimes    *metric.Histogram // from an opening packet to its answer
	serviceTimes *metric.Histogram // from a request's delivery to the first data of its answer
	counts       counts
	stopping     atomic.Bool
	untrackedAt  atomic.Pointer[time.Time] // when there was last no room for a flow's record; nil if never

	mu                 sync.Mutex                         // guards the fields below
	openDeadlines      schedule.List[currantturn.FlowKey] // answer deadlines of delivered opening packets
	balancers          map[netip.AddrPort]*reportReceiver // by link address
	reportLimiter      *rate.Limiter
	announcer          announcer
	unansweredOpenings int       // consecutive opening packets without an answer
	unresponsiveSince  time.Time // when the backend server became unresponsive; zero if it is not
	lastRetry          time.Time // when an unresponsive or failing backend server was last sent an opening packet
	failures           failures
	loggedLimit        int // limit on requests at once in the last event; 0 if it is the slots
	sweepNumber        int // number of the last sweep of the flow table
	// denials are the searched flows that are not held here, for the next message to
	// each balancer.
	denials      map[netip.AddrPort]relay.Flows
	backlog      backlog.Backlog
	warmUp       *warmup.Limiter
	cold         bool // whether the last event reported the backend server as cold
	drain        drainNotice
	lastProgress time.Time // when a request was last started or answered
}

// counts are the running totals that Counters returns.
type counts struct {
	delivered, bounced, returned, declined, drained, forgotten, answers, foreign, full, waited, gaveUp, limited atomic.Uint64
}

// Counters are an agent's totals since its start.
type Counters struct {
	Delivered uint64 `json:"delivered"` // packets delivered to the backend server
	Answers   uint64 `json:"answers"`   // packets from the backend server sent to callers
	Bounced   uint64 `json:"bounced"`   // packets rejected by the backend server
	Returned  uint64 `json:"returned"`  // packets returned to their balancer because the flow is not held here
	Declined  uint64 `json:"declined"`  // new flows declined and returned to their balancer
	Drained   uint64 `json:"drained"`   // those of them that were declined because the failure domain is drained
	Forgotten uint64 `json:"forgotten"` // open flows that the backend server no longer held
	Foreign   uint64 `json:"foreign"`   // packets for another service
	Full      uint64 `json:"full"`      // packets of flows without a record for which the flow table had no room
	Waited    uint64 `json:"waited"`    // requests that waited for a slot
	GaveUp    uint64 `json:"gave_up"`   // requests dropped because their timeout expired while they waited
	Limited   uint64 `json:"limited"`   // opening packets not delivered because the backend server is cold
	Flows     int    `json:"flows"`     // flows tracked now
	Running   int    `json:"running"`   // requests in progress now
	Limit     int    `json:"limit"`     // requests that the backend server takes well at once, 0 if they are as many as it has slots

	Waits  metric.Summary `json:"waits"`  // time from the start of a caller's attempt until its waiting request runs
	Opens  metric.Summary `json:"opens"`  // time from an opening packet to its answer
	Serves metric.Summary `json:"serves"` // time from a request to the first data of its answer
}

// New returns an agent with an empty flow table.
func New(opts Options) *Agent {
	if opts.MaxFlows == 0 {
		opts.MaxFlows = DefaultMaxFlows
	}
	a := &Agent{
		opts:          opts,
		flows:         shard.New[currantturn.FlowKey, flowRecord](opts.MaxFlows),
		balancers:     make(map[netip.AddrPort]*reportReceiver),
		denials:       make(map[netip.AddrPort]relay.Flows),
		reportLimiter: rate.NewLimiter(reportsPerSecond, maxBalancers),
		waitTimes:     metric.NewHistogram(),
		openTimes:     metric.NewHistogram(),
		serviceTimes:  metric.NewHistogram(),
		warmUp: warmup.New(warmup.Options{
			Overshoot: opts.WarmUpOvershoot, Tolerance: opts.WarmUpTolerance, Started: opts.Started, Fresh: opts.Fresh,
		}),
	}
	a.SetService(opts.Service)
	a.position.Store(&heardPosition{})
	return a
}

// SetService sets the service of the backend server when settings change.
func (a *Agent) SetService(s currantturn.ServiceName) {
	a.service.Store(&s)
}

// Service returns the service of the backend server.
func (a *Agent) Service() currantturn.ServiceName {
	return *a.service.Load()
}

// Counters returns the current totals.
func (a *Agent) Counters() Counters {
	c := &a.counts
	return Counters{
		Delivered: c.delivered.Load(), Answers: c.answers.Load(), Bounced: c.bounced.Load(),
		Returned: c.returned.Load(), Declined: c.declined.Load(), Drained: c.drained.Load(), Forgotten: c.forgotten.Load(),
		Foreign: c.foreign.Load(), Full: c.full.Load(),
		Waited: c.waited.Load(), GaveUp: c.gaveUp.Load(), Limited: c.limited.Load(),
		Flows: a.flows.Len(), Running: a.tracker.inProgress(), Limit: a.lastLimit(),
		Waits: a.waitTimes.Summary(), Opens: a.openTimes.Summary(), Serves: a.serviceTimes.Summary(),
	}
}

// Pending reports whether ticks are needed: a request waits or is in progress, an
// opening packet awaits its answer, or denials are to be sent.
func (a *Agent) Pending() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.openDeadlines.Len()+a.backlog.Len()+a.tracker.inProgress()+len(a.denials) > 0
}

// recordsComplete reports whether a flow without a record is certainly not held
// here, because packets of every flow of the backend server have passed this
// process. That holds for a fresh agent and after an uptime of flowLifetime, unless
// there was no room for the record of a flow since then. The start of the backend
// server is not known: its registration may be of any age.
func (a *Agent) recordsComplete(now time.Time) bool {
	if untracked := a.untrackedAt.Load(); untracked != nil && now.Sub(*untracked) <= flowLifetime {
		return false
	}
	return a.opts.Fresh || now.Sub(a.opts.Started) > flowLifetime
}

// recordUntracked records that a packet passed of a flow that may be held here, and for
// whose record there is no room.
func (a *Agent) recordUntracked(now time.Time) {
	a.counts.full.Add(1)
	a.untrackedAt.Store(&now)
}

// Handle processes a balancer's notice, and replies to its probe or query.
func (a *Agent) Handle(now time.Time, from netip.AddrPort, m currantturn.Message, out *currantturn.Effects) {
	switch m := m.(type) {
	case relay.Probe:
		a.recordBalancer(now, from)
		out.Send(from, relay.Report{Load: a.loadFor(now, from)})
	case relay.Query:
		a.recordBalancer(now, from)
		a.updatePosition(m.Position())
		out.Send(from, a.answerQuery(now, m.Flows))
	case relay.WarmUp:
		a.recordBalancer(now, from)
		a.updatePosition(m.Position())
		a.learnWarmUp(now, from, m.Position(), m.Warming)
	case relay.Drained:
		a.handleDrained(now, m, out)
	}
}

// newReply returns a reply without flows.
func (a *Agent) newReply() relay.QueryReply {
	p := a.position.Load()
	return relay.QueryReply{Revision: p.Revision, Era: p.Era}
}

// answerQuery returns which of the queried flows are held here. The query carries
// the acknowledgement number of each flow's packet, which shows whether the caller
// accepted this backend server's answer.
func (a *Agent) answerQuery(now time.Time, flows relay.Flows) relay.QueryReply {
	reply := a.newReply()
	reply.Forwards = true
	for key, acked := range flows.All() {
		list := &reply.Held
		a.flows.Update(key, func(r *flowRecord) *flowRecord {
			switch {
			case r == nil && !a.recordsComplete(now), r != nil && r.progress == unconfirmed:
				list = &reply.Unsure
			case r == nil || !r.mayHold(acked):
				list = &reply.Absent
			case r.progress == opening || !r.acknowledges(acked):
				list = &reply.Unsure
			}
			return r
		})
		*list = list.Append(key, acked)
	}
	return reply
}

// queueDenial adds a searched flow that is not held here to the next message to the
// balancer that searches, which is sent when it is full or with the next tick. After
// a restart of all processes every agent is sent packets of every flow.
func (a *Agent) queueDenial(to netip.AddrPort, flow currantturn.FlowKey, out *currantturn.Effects) {
	a.mu.Lock()
	defer a.mu.Unlock()
	flows := a.denials[to].Append(flow, 0)
	if flows.Len() == relay.MaxFlows {
		a.sendDenial(to, flows, out)
		flows = nil
	}
	a.denials[to] = flows
}

// sendDenials sends the queued denials.
func (a *Agent) sendDenials(out *currantturn.Effects) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, to := range slices.SortedFunc(maps.Keys(a.denials), netip.AddrPort.Compare) {
		if flows := a.denials[to]; flows.Len() > 0 {
			a.sendDenial(to, flows, out)
		}
	}
	clear(a.denials)
}

// sendDenial sends a balancer the flows that are not held here.
func (a *Agent) sendDenial(to netip.AddrPort, flows relay.Flows, out *currantturn.Effects) {
	reply := a.newReply()
	reply.Absent = flows
	out.Send(to, reply)
}

// Configure does nothing: the agent derives its state from packets.
func (a *Agent) Configure(time.Time, *currantturn.View, *currantturn.Effects) {}

// Tick returns unanswered opening packets to their balancers, deletes expired
// flow records, releases waiting requests and reports the load.
func (a *Agent) Tick(now time.Time, out *currantturn.Effects) {
	a.mu.Lock()
	due := a.openDeadlines.TakeDue(now)
	a.sweepNumber++
	number := a.sweepNumber
	a.mu.Unlock()
	for _, key := range due {
		a.returnUnansweredOpening(now, key, out)
	}
	a.flows.Sweep(number, func(flow currantturn.FlowKey, r *flowRecord) bool {
		a.expireRequest(now, flow, r)
		if !r.expired(now) {
			return true
		}
		a.removeFromLoad(now, flow, r)
		return false
	})
	a.expireDrained(now, out)
	a.releaseRequests(now, out)
	a.reportWarmUp(now, out)
	a.reportLimit(now, out)
	a.sendDenials(out)
	a.sendReports(now, out)
}

// returnUnansweredOpening returns an opening packet that the backend server did
// not answer within answerTimeout to its balancer.
func (a *Agent) returnUnansweredOpening(now time.Time, key currantturn.FlowKey, out *currantturn.Effects) {
	a.flows.Update(key, func(r *flowRecord) *flowRecord {
		if r == nil || r.progress != opening || r.openingPacket == nil {
			return r
		}
		a.countUnansweredOpening(now, out)
		a.returnToBalancer(r.balancer, currantturn.IntentUnanswered, r.openingPacket, out)
		a.counts.declined.Add(1)
		r.openingPacket = nil // a late answer still opens the flow
		return r
	})
}

// countUnansweredOpening counts an unanswered opening packet and marks the
// backend server as unresponsive after unresponsiveThreshold consecutive ones.
func (a *Agent) countUnansweredOpening(now time.Time, out *currantturn.Effects) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.unansweredOpenings++
	if a.unansweredOpenings >= unresponsiveThreshold && a.unresponsiveSince.IsZero() {
		a.unresponsiveSince = now
		out.Event(event.BackendSilent, event.F("backend", a.opts.Backend),
			event.F("unanswered", a.unansweredOpenings), event.F("waited", answerTimeout))
	}
}

// markBackendResponsive clears the unresponsive state: any packet from the backend
// server shows that it is responsive.
func (a *Agent) markBackendResponsive(now time.Time, p *currantturn.Packet, out *currantturn.Effects) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.warmUp.RecordAnswer(now, p)
	if !a.unresponsiveSince.IsZero() {
		a.warmUp.RecordRecovery(now)
		out.Event(event.BackendAnswers, event.F("backend", a.opts.Backend))
	}
	a.unansweredOpenings, a.unresponsiveSince = 0, time.Time{}
}

// mayDeliverOpening reports whether an opening packet may be delivered now. An
// unresponsive or failing backend server gets one per retryInterval.
func (a *Agent) mayDeliverOpening(now time.Time) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.unresponsiveSince.IsZero() && !a.failures.failing {
		return true
	}
	if now.Sub(a.lastRetry) < retryInterval {
		return false
	}
	a.lastRetry = now
	return true
}

// returnToBalancer forwards a caller's packet back to a balancer with the given
// intent.
func (a *Agent) returnToBalancer(to netip.AddrPort, intent currantturn.Intent, packet []byte, out *currantturn.Effects) {
	out.Forwards = append(out.Forwards, currantturn.Forward{To: to, Envelope: currantturn.Envelope{
		Direction: currantturn.ToCaller, Intent: intent, Service: a.Service(),
		Packet: currantturn.Packet{Payload: packet}, Position: a.position.Load().Position,
	}})
}
