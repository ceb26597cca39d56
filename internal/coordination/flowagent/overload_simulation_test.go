package flowagent_test

import (
	"math"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/currantturn/currantturn"
	"github.com/currantturn/currantturn/internal/coordination/flowagent"
	"github.com/currantturn/currantturn/platform"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// kind is a kind of requests.
type kind struct {
	demand currantturn.Demand
	work   time.Duration // mean time on a server of usual speed
	weight float64       // share of the requests
	worth  float64       // of an answer in time
}

// address returns the address of the service that requests of the kind are sent to.
func (k *kind) address() netip.AddrPort {
	return netip.AddrPortFrom(service.Addr(), uint16(443+k.demand.Priority))
}

// greedyCaller is the address of a caller that sends much more than the others.
var greedyCaller = netip.AddrFrom4([4]byte{100, 64, 9, 9})

// overload is a load on several agents: usual, then a burst, then usual.
type overload struct {
	kinds  []kind
	speeds []float64 // time that each server takes, relative to the usual one
	slots  int
	queue  int     // of each server, beyond the slots
	usual  float64 // load relative to the capacity
	burst  float64
	greedy float64 // share of the requests that one caller sends, on new flows
	silent silence
	// direct delivers every request at once, so that only the servers' queues decide.
	direct bool
}

// silence is a fault of a number of servers during the burst: they never answer a share of
// their requests, which may hold their slots.
type silence struct {
	servers int
	share   float64
	hold    bool
}

// outcome counts what callers got.
type outcome struct{ timely, late, none int }

// timelyShare returns the share of requests answered in time.
func (o outcome) timelyShare() float64 {
	return float64(o.timely) / float64(o.timely+o.late+o.none)
}

// worth returns what the answers are worth; a late one is worth less.
func (o outcome) worth() float64 { return float64(o.timely) + 0.3*float64(o.late) }

// call is a request with all attempts of its caller.
type call struct {
	kind    int
	from    netip.Addr
	started time.Time
	tries   int
	done    bool
}

// testFlow is an open flow.
type testFlow struct {
	server           *testServer
	caller, service  netip.AddrPort
	sequence, answer uint32 // of the next data from the caller and from the server
	call             *call  // nil while idle
	attempt          int
}

// testServer is a backend server with its agent.
type testServer struct {
	agent   *flowagent.Agent
	speed   float64
	silent  bool
	running int
	busy    int
	queued  []*testFlow
	held    map[netip.AddrPort]*testFlow
	idle    map[netip.AddrPort][]*testFlow // by address of the service
}

// overloadRun plays an overload.
type overloadRun struct {
	overload
	rng     *rand.Rand
	now     time.Time
	servers []*testServer
	events  map[time.Time][]func()
	ports   uint32
	result  *overloadResult
}

// overloadResult is what callers got, over several runs.
type overloadResult struct {
	kinds          []outcome // in the order of the kinds
	greedy, others outcome   // by caller
	recovered      outcome   // of requests sent from a second after the burst on
	refused        int       // attempts
	worth          float64   // of the answers, as a share of what all in time are worth
}

const (
	warmUp    = time.Second
	burstTime = 4 * time.Second
	coolDown  = 4 * time.Second
	retries   = 2
	seeds     = 2
)

// play plays the load with several seeds.
func (l overload) play() *overloadResult {
	result := &overloadResult{kinds: make([]outcome, len(l.kinds))}
	for seed := range uint64(seeds) {
		r := &overloadRun{
			overload: l, rng: rand.New(rand.NewPCG(seed, 1)), now: start, events: map[time.Time][]func(){}, result: result,
		}
		r.play()
	}
	got, all := 0.0, 0.0
	for i, o := range result.kinds {
		got += l.kinds[i].worth * o.worth()
		all += l.kinds[i].worth * float64(o.timely+o.late+o.none)
	}
	result.worth = got / all
	return result
}

// play plays the load once.
func (r *overloadRun) play() {
	capacity, mean := 0.0, 0.0 // requests per second
	for i := range r.kinds {
		mean += r.kinds[i].weight * r.kinds[i].work.Seconds()
	}
	for i, s := range r.speeds {
		capacity += float64(r.slots) / (mean * s)
		r.servers = append(r.servers, &testServer{speed: s, silent: i < r.silent.servers, held: map[netip.AddrPort]*testFlow{}, idle: map[netip.AddrPort][]*testFlow{}, agent: flowagent.New(flowagent.Options{
			Codec: platform.Packets{}, Service: "verify", Backend: "verify-0", LinkPort: 7120, Started: start, Fresh: true,
		})})
	}
	for range 30 { // long flows are spread evenly
		for _, s := range r.servers {
			for i := range r.kinds {
				at := r.kinds[i].address()
				s.idle[at] = append(s.idle[at], r.openFlow(s, r.address(false), at))
			}
		}
	}
	end := start.Add(warmUp + burstTime + coolDown)
	arrival := start
	for ; r.now.Before(end); r.now = r.now.Add(time.Millisecond) {
		rate := r.usual * capacity
		if r.bursting() {
			rate = r.burst * capacity
		}
		for ; !arrival.After(r.now) && r.now.Before(end.Add(-2*time.Second)); arrival = arrival.Add(time.Duration(r.rng.ExpFloat64() / rate * float64(time.Second))) {
			r.arrive()
		}
		due := r.events[r.now]
		delete(r.events, r.now)
		for _, f := range due {
			f()
		}
		if r.now.Sub(start)%(10*time.Millisecond) == 0 {
			for _, s := range r.servers {
				var out currantturn.Effects
				s.agent.Tick(r.now, &out)
				r.handle(s, &out)
			}
		}
	}
}

// bursting reports whether the burst lasts.
func (r *overloadRun) bursting() bool {
	return r.now.After(start.Add(warmUp)) && r.now.Before(start.Add(warmUp+burstTime))
}

// after schedules a function.
func (r *overloadRun) after(d time.Duration, f func()) {
	at := r.now.Add(max(d.Truncate(time.Millisecond), time.Millisecond))
	r.events[at] = append(r.events[at], f)
}

// address returns the address of a caller.
func (r *overloadRun) address(greedy bool) netip.Addr {
	if greedy {
		return greedyCaller
	}
	return netip.AddrFrom4([4]byte{100, 64, 0, byte(1 + r.rng.IntN(200))})
}

// arrive starts a request on an idle flow, which may be at any server, or on a new one.
func (r *overloadRun) arrive() {
	draw, k := r.rng.Float64(), 0
	for ; k < len(r.kinds)-1 && draw >= r.kinds[k].weight; k++ {
		draw -= r.kinds[k].weight
	}
	greedy := r.rng.Float64() < r.greedy
	c := &call{kind: k, from: r.address(greedy), started: r.now}
	r.after(r.kinds[k].demand.Timeout, func() {
		if !c.done {
			r.finish(c, false)
		}
	})
	s := r.servers[r.rng.IntN(len(r.servers))]
	at := r.kinds[k].address()
	if len(s.idle[at]) == 0 || greedy {
		r.try(c, r.openFlow(r.freest(), c.from, at))
		return
	}
	i := r.rng.IntN(len(s.idle[at]))
	f := s.idle[at][i]
	s.idle[at] = append(s.idle[at][:i], s.idle[at][i+1:]...)
	c.from = f.caller.Addr()
	r.try(c, f)
}

// freest returns the server with the least expected time, as balancers place new flows.
func (r *overloadRun) freest() *testServer {
	best, lowest := r.servers[0], math.Inf(1)
	for _, s := range r.servers {
		// The jitter stands for balancers that see reports of different age.
		cost := s.speed * (float64(s.busy) + 1 + 0.2*r.rng.Float64())
		if cost < lowest {
			best, lowest = s, cost
		}
	}
	return best
}

// send passes a caller's packet to the agent.
func (r *overloadRun) send(f *testFlow, intent currantturn.Intent, flags byte, acked uint32, data int) {
	GinkgoHelper()
	e := currantturn.Envelope{Direction: currantturn.ToBackend, Intent: intent, Service: "verify"}
	if f.call != nil {
		e.Demand = r.kinds[f.call.kind].demand
	}
	if !r.direct {
		e.Demand.Slots = r.slots
	}
	Expect(platform.Packets{}.Decode(packet(f.caller, f.service, flags, f.sequence, acked, data), currantturn.ToBackend, &e.Packet)).To(Succeed())
	var out currantturn.Effects
	f.server.agent.Route(r.now, balancer, &e, &out)
	r.handle(f.server, &out)
}

// reply passes a server's packet to the agent.
func (r *overloadRun) reply(f *testFlow, flags byte, data int) {
	GinkgoHelper()
	var p currantturn.Packet
	Expect(platform.Packets{}.Decode(packet(f.service, f.caller, flags, f.answer, f.sequence, data), currantturn.ToCaller, &p)).To(Succeed())
	var out currantturn.Effects
	f.server.agent.Answer(r.now, &p, &out)
	f.answer += uint32(data)
	r.handle(f.server, &out)
}

// openFlow opens a flow at a server.
func (r *overloadRun) openFlow(s *testServer, from netip.Addr, at netip.AddrPort) *testFlow {
	r.ports++
	f := &testFlow{server: s, service: at, caller: netip.AddrPortFrom(from, uint16(1024+r.ports%60000)), sequence: 100, answer: 500}
	s.held[f.caller] = f
	r.send(f, currantturn.IntentPlace, syn, 0, 0)
	f.sequence = 101
	r.reply(f, syn|ack, 0)
	f.answer = 501
	r.send(f, currantturn.IntentHeld, ack, f.answer, 0)
	return f
}

// try sends the request of a call on a flow.
func (r *overloadRun) try(c *call, f *testFlow) {
	c.tries++
	f.call, f.attempt = c, c.tries
	f.server.busy++
	r.send(f, currantturn.IntentHeld, ack, f.answer, 50)
}

// handle passes delivered requests to the server.
func (r *overloadRun) handle(s *testServer, out *currantturn.Effects) {
	for i := range out.Deliveries {
		p := &out.Deliveries[i]
		f := s.held[p.Flow.Caller]
		if p.DataSize == 0 || f == nil || f.call == nil {
			continue
		}
		switch {
		case s.running < r.slots:
			r.run(f)
		case len(s.queued) < r.queue:
			s.queued = append(s.queued, f)
		default:
			r.result.refused++
			r.after(time.Millisecond, func() { r.answered(f, true) })
		}
	}
}

// run runs a request.
func (r *overloadRun) run(f *testFlow) {
	s := f.server
	s.running++
	work := r.kinds[f.call.kind].work.Seconds() * s.speed * math.Exp(0.5*r.rng.NormFloat64()-0.125) / 1.18
	if r.rng.Float64() < 0.03 {
		work *= 7
	}
	silent := s.silent && r.bursting() && r.rng.Float64() < r.silent.share
	if silent && r.silent.hold {
		return
	}
	r.after(time.Duration(work*float64(time.Second)), func() {
		s.running--
		if len(s.queued) > 0 {
			next := s.queued[0]
			s.queued = s.queued[1:]
			r.run(next)
		}
		if silent {
			return
		}
		r.answered(f, false)
	})
}

// answered ends an attempt; a refused one is tried again on a new flow.
func (r *overloadRun) answered(f *testFlow, refused bool) {
	c := f.call
	f.sequence += 50
	if s := f.server; s.held[f.caller] == f {
		s.busy--
		r.reply(f, ack, 100)
		f.call = nil
		if c.from != greedyCaller {
			s.idle[f.service] = append(s.idle[f.service], f)
		}
	}
	switch {
	case c.done:
	case !refused:
		r.finish(c, true)
	case c.tries <= retries:
		r.after(25*time.Millisecond, func() {
			if !c.done {
				r.try(c, r.openFlow(r.freest(), c.from, f.service))
			}
		})
	default:
		r.finish(c, false)
	}
}

// finish counts the outcome of a call. Its caller resets the flow of an attempt that it
// gives up on.
func (r *overloadRun) finish(c *call, served bool) {
	c.done = true
	count := func(o *outcome) {
		switch {
		case !served:
			o.none++
		case r.now.Sub(c.started) <= r.kinds[c.kind].demand.LatencyObjective:
			o.timely++
		default:
			o.late++
		}
	}
	count(&r.result.kinds[c.kind])
	if c.from == greedyCaller {
		count(&r.result.greedy)
	} else {
		count(&r.result.others)
	}
	if c.started.After(start.Add(warmUp + burstTime + time.Second)) {
		count(&r.result.recovered)
	}
	if served {
		return
	}
	for _, s := range r.servers {
		for _, f := range s.held {
			if f.call != c || f.attempt != c.tries {
				continue
			}
			r.send(f, currantturn.IntentHeld, rst, f.answer, 0)
			delete(s.held, f.caller)
			s.busy--
			for i, q := range s.queued {
				if q == f {
					s.queued = append(s.queued[:i], s.queued[i+1:]...)
					break
				}
			}
			return
		}
	}
}
