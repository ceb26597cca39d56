package flowagent

import (
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/currantturn/currantturn"
	"github.com/currantturn/currantturn/internal/coordination/backlog"
	"github.com/currantturn/currantturn/internal/event"
	"github.com/currantturn/currantturn/internal/metric"
	"github.com/currantturn/currantturn/internal/protocol/relay"
	"github.com/currantturn/currantturn/internal/state/schedule"
	"github.com/currantturn/currantturn/internal/state/shard"
	"golang.org/x/time/rate"
)

// Options are an agent's place and its bounds.
type Options struct {
	Codec   currantturn.PacketCodec
	Service currantturn.ServiceName
	Backend currantturn.BackendID // name of the VM, for the log
	// LinkPort is the port of every balancer's link address.
	LinkPort uint16
	Started  time.Time
	// Fresh says that no flow can be older than this process.
	Fresh bool
	Flows int // bound of the flows that are known
}

// Agent is the router beside a backend server of opaque flows.
type Agent struct {
	opts    Options
	service atomic.Pointer[currantturn.ServiceName]
	// revision is the newest published state that any balancer told of.
	revision atomic.Uint64
	// born is when the backend server was seen to have just started, in Unix
	// nanoseconds of this VM's clock; 0 if unknown.
	born   atomic.Int64
	flows  *shard.Map[currantturn.FlowKey, record]
	work   work
	waits  *metric.Histogram // from a request's arrival until it runs, if it had to wait
	opens  *metric.Histogram // from an opening packet to its answer
	serves *metric.Histogram // from a request's last wait to its answer
	counts counts

	mu         sync.Mutex                         // guards the fields below
	waiting    schedule.List[currantturn.FlowKey] // opening packets that the backend server got
	balancers  map[netip.AddrPort]*listener
	reports    *rate.Limiter
	unanswered int       // opening packets in a row without a sign of life
	silent     time.Time // since when the backend server counts as silent
	tried      time.Time // last opening packet to a silent backend server
	sweepAt    int
	slots      int // of the backend server, 0 if unknown
	backlog    backlog.Backlog
}

type counts struct {
	delivered, bounced, returned, declined, forgotten, answers, foreign, full, waited, gaveUp atomic.Uint64
}

// Counters are an agent's totals since its start.
type Counters struct {
	Delivered uint64 `json:"delivered"` // packets handed to the backend server
	Answers   uint64 `json:"answers"`   // packets of the backend server sent to callers
	Bounced   uint64 `json:"bounced"`   // packets that the backend server did not take
	Returned  uint64 `json:"returned"`  // packets of flows held elsewhere, returned to their balancer
	Declined  uint64 `json:"declined"`  // new flows returned to their balancer
	Forgotten uint64 `json:"forgotten"` // open flows that the backend server did not know any more
	Foreign   uint64 `json:"foreign"`   // packets for another service
	Full      uint64 `json:"full"`      // flows beyond the bound of those known
	Waited    uint64 `json:"waited"`    // requests that waited for a slot
	GaveUp    uint64 `json:"gave_up"`   // requests whose callers gave up while they waited
	Flows     int    `json:"flows"`     // flows known at present
	Running   int    `json:"running"`   // requests in progress at present

	Waits  metric.Summary `json:"waits"`  // time that requests waited for a slot
	Opens  metric.Summary `json:"opens"`  // time from an opening packet to the backend server's answer
	Serves metric.Summary `json:"serves"` // time from a request to the first byte of its answer
}

// New returns an agent that knows no flows.
func New(opts Options) *Agent {
	if opts.Flows == 0 {
		opts.Flows = DefaultFlows
	}
	a := &Agent{
		opts:      opts,
		flows:     shard.New[currantturn.FlowKey, record](opts.Flows),
		balancers: make(map[netip.AddrPort]*listener),
		reports:   rate.NewLimiter(reportsPerSecond, maxBalancers),
		waits:     metric.NewHistogram(),
		opens:     metric.NewHistogram(),
		serves:    metric.NewHistogram(),
	}
	a.SetService(opts.Service)
	return a
}

// SetService takes the service of the backend server from changed settings.
func (a *Agent) SetService(s currantturn.ServiceName) {
	a.service.Store(&s)
}

// Service returns the service of the backend server.
func (a *Agent) Service() currantturn.ServiceName {
	return *a.service.Load()
}

// Counters returns the totals so far.
func (a *Agent) Counters() Counters {
	c := &a.counts
	return Counters{
		Delivered: c.delivered.Load(), Answers: c.answers.Load(), Bounced: c.bounced.Load(),
		Returned: c.returned.Load(), Declined: c.declined.Load(), Forgotten: c.forgotten.Load(),
		Foreign: c.foreign.Load(), Full: c.full.Load(),
		Waited: c.waited.Load(), GaveUp: c.gaveUp.Load(),
		Flows: a.flows.Len(), Running: a.work.inProgress(),
		Waits: a.waits.Summary(), Opens: a.opens.Summary(), Serves: a.serves.Summary(),
	}
}

// Pending says whether a request or an opening packet waits for the next tick.
func (a *Agent) Pending() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.waiting.Len()+a.backlog.Len()+a.work.inProgress() > 0
}

// complete says whether a flow without a record is certainly not held here: all
// flows of the backend server have passed this process. One that started a
// moment before it can't have got any, since it gets packets from here only.
func (a *Agent) complete(now time.Time) bool {
	return a.opts.Fresh || now.Sub(a.opts.Started) > flowLifetime ||
		a.born.Load() > a.opts.Started.Add(-startGap).UnixNano()
}

// Handle answers a balancer's probe or question.
func (a *Agent) Handle(now time.Time, from netip.AddrPort, m currantturn.Message, out *currantturn.Effects) {
	switch m := m.(type) {
	case relay.Probe:
		a.hear(now, from)
		out.Send(from, relay.Report{Load: a.load(now)})
	case relay.Query:
		a.hear(now, from)
		a.learn(now, m.Revision, time.Duration(m.AgeMS)*time.Millisecond)
		out.Send(from, a.query(now, m.Flows))
	}
}

// query tells which of some flows are held here.
func (a *Agent) query(now time.Time, asked relay.Flows) relay.Answer {
	answer := relay.Answer{Revision: a.revision.Load()}
	for key, acked := range asked.All() {
		list := &answer.Held
		a.flows.Update(key, func(r *record) *record {
			switch {
			case r == nil && !a.complete(now):
				list = &answer.Unsure
			case r == nil || r.progress == opening || !r.acknowledges(acked):
				list = &answer.Absent
			}
			return r
		})
		*list = list.Append(key, acked)
	}
	return answer
}

// Configure does nothing: an agent follows the packets.
func (a *Agent) Configure(time.Time, *currantturn.View, *currantturn.Effects) {}

// Tick returns opening packets that were not answered, reports the load and
// forgets flows.
func (a *Agent) Tick(now time.Time, out *currantturn.Effects) {
	a.mu.Lock()
	due := a.waiting.Take(now)
	a.sweepAt++
	number := a.sweepAt
	a.mu.Unlock()
	for _, key := range due {
		a.overdue(now, key, out)
	}
	a.flows.Sweep(number, func(flow currantturn.FlowKey, r *record) bool {
		a.expireRequest(now, r)
		if !r.expired(now) {
			return true
		}
		a.end(flow, r)
		return false
	})
	a.release(now, out)
	a.report(now, out)
}

// overdue returns an opening packet that the backend server did not answer.
func (a *Agent) overdue(now time.Time, key currantturn.FlowKey, out *currantturn.Effects) {
	a.flows.Update(key, func(r *record) *record {
		if r == nil || r.progress != opening || r.opening == nil {
			return r
		}
		a.missed(now, out)
		a.giveBack(r.balancer, currantturn.IntentDeclined, r.opening, out)
		a.counts.declined.Add(1)
		r.opening = nil // an answer that comes late still opens the flow
		return r
	})
}

// missed counts an opening packet without an answer.
func (a *Agent) missed(now time.Time, out *currantturn.Effects) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.unanswered++
	if a.unanswered >= silentAfter && a.silent.IsZero() {
		a.silent = now
		out.Event(event.BackendSilent, event.F("backend", a.opts.Backend),
			event.F("unanswered", a.unanswered), event.F("waited", answerTimeout))
	}
}

// alive takes any packet of the backend server as a sign of life.
func (a *Agent) alive(out *currantturn.Effects) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.silent.IsZero() {
		out.Event(event.BackendAnswers, event.F("backend", a.opts.Backend))
	}
	a.unanswered, a.silent = 0, time.Time{}
}

// takes says whether the backend server may get an opening packet now; a silent
// one gets one from time to time.
func (a *Agent) takes(now time.Time) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.silent.IsZero() {
		return true
	}
	if now.Sub(a.tried) < retrySilent {
		return false
	}
	a.tried = now
	return true
}

func (a *Agent) giveBack(to netip.AddrPort, intent currantturn.Intent, packet []byte, out *currantturn.Effects) {
	out.Forwards = append(out.Forwards, currantturn.Forward{To: to, Envelope: currantturn.Envelope{
		Direction: currantturn.ToCaller, Intent: intent, Service: a.Service(),
		Packet: currantturn.Packet{Payload: packet}, Revision: a.revision.Load(),
	}})
}
