package flowbalancer_test

import (
	"bytes"
	"container/heap"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"github.com/currantturn/currantturn"
	"github.com/currantturn/currantturn/internal/coordination/flowbalancer"
	"github.com/currantturn/currantturn/internal/coordination/statesync"
	"github.com/currantturn/currantturn/internal/event"
	"github.com/currantturn/currantturn/internal/protocol/relay"
	"github.com/currantturn/currantturn/internal/state/drained"
	"github.com/currantturn/currantturn/internal/state/roster"
	"github.com/currantturn/currantturn/internal/state/routehistory"
	"github.com/currantturn/currantturn/platform"
)

// Ports and times of the simulation; all delays are simulated time.
const (
	linkPort = 7120
	hopDelay = time.Millisecond
	// datagramHeader is the size of the IP and UDP headers.
	datagramHeader = 28
	tickPeriod     = 10 * time.Millisecond
	// firstRetransmit is when a caller first retransmits; each further delay doubles.
	firstRetransmit = 200 * time.Millisecond
	// openTimeout is when a caller gives up opening a flow.
	openTimeout = 1400 * time.Millisecond
	// maxLateness is by how much a faulty link delays a packet at most.
	maxLateness = 2 * time.Second
	// rotationDelay is how long a VM stands still until it gets no more packets of callers.
	rotationDelay = time.Second
	// maxAnswerDelay is the longest delay after which a backend server repeats its answer to an
	// opening packet, and maxRepeats how often it does.
	maxAnswerDelay = 1600 * time.Millisecond
	maxRepeats     = 8
	// answerSize is the size of an answer's data in bytes.
	answerSize = 100
)

var serviceAddress = netip.MustParseAddrPort("198.18.0.1:443")

// timer is a function that runs at a simulated time; seq orders timers of equal times.
type timer struct {
	at  time.Time
	seq int
	run func()
}

// timerQueue is a heap of timers.
type timerQueue []timer

func (q timerQueue) Len() int { return len(q) }
func (q timerQueue) Less(i, j int) bool {
	return q[i].at.Before(q[j].at) || q[i].at.Equal(q[j].at) && q[i].seq < q[j].seq
}
func (q timerQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *timerQueue) Push(x any)   { *q = append(*q, x.(timer)) }
func (q *timerQueue) Pop() any {
	old := *q
	x := old[len(old)-1]
	*q = old[:len(old)-1]
	return x
}

// simulation runs balancers, agents, backend servers and callers in simulated time.
type simulation struct {
	now        time.Time
	seq        int
	timers     timerQueue
	rng        *rand.Rand
	codec      platform.Packets
	balancers  []*balancerVM
	backends   map[currantturn.BackendID]*backendVM
	callers    map[netip.AddrPort]*caller
	routing    *currantturn.Routing
	revision   uint64
	recorded   time.Duration                                           // how far back the published record of removals reaches
	earlier    []routehistory.Entry                                    // services that the route used to lead to, in that record
	noOverflow bool                                                    // balancers keep new flows on the service drawn by weight
	held       bool                                                    // the state may come from a copy of the store, and nothing else is known
	incomplete bool                                                    // the state may lack backend servers
	unverified bool                                                    // the state may contain registrations that the store no longer has
	drained    []drained.Entry                                         // failure domains whose backend servers get no new flows
	storeDown  bool                                                    // nothing is published, so that balancers only learn of announced agents
	announced  []statesync.Announced                                   // agents that announced themselves to any balancer
	drop       func(from, to netip.Addr) bool                          // whether a packet between VMs is dropped; nil drops none
	faulty     func(vm netip.Addr) bool                                // whether a VM's links lose, double and delay packets; nil for none
	published  func() []roster.Entry                                   // takes the place of the registrations of all backend servers; nil for these
	frozen     map[netip.Addr][]func()                                 // what the VMs that stand still will process when they go on
	onOpening  func(b *backendVM, p *currantturn.Packet)               // called when an opening packet opens a flow; nil for none
	trace      func(caller netip.AddrPort, format string, args ...any) // called for each step of a flow; nil for none
	excuses    func(c *caller, by netip.Addr) bool                     // whether unplanned disruption excuses that a VM breaks the caller's flow; nil for never

	violations  []string                        // violated rules, as messages
	broken      netip.AddrPort                  // caller of the first flow that one was violated for
	foundAfter  []time.Duration                 // durations of the searches that found the holder
	eventCounts map[int]int                     // by event number
	bytesSent   map[netip.Addr]int              // by processes to others, without IP and UDP headers
	searchedFor map[currantturn.ServiceName]int // queries and search packets, by the service of the agent
}

// balancerVM is a VM with a balancer.
type balancerVM struct {
	address    netip.AddrPort
	down       bool
	late       bool                      // gets no newly published states
	frozenAt   time.Time                 // when its VM began to stand still; zero while it goes on
	domain     currantturn.FailureDomain // "" for none
	linkRate   float64                   // bytes per second; 0 means unlimited
	linkIdleAt time.Time                 // when the link will have sent all queued frames
	balancer   *flowbalancer.Balancer
}

func newSimulation(seed uint64) *simulation {
	sim := &simulation{
		now: time.Unix(1_000_000, 0), rng: rand.New(rand.NewPCG(seed, 1)),
		backends: map[currantturn.BackendID]*backendVM{}, callers: map[netip.AddrPort]*caller{},
		frozen:      map[netip.Addr][]func(){},
		eventCounts: map[int]int{}, searchedFor: map[currantturn.ServiceName]int{}, bytesSent: map[netip.Addr]int{},
		routing: &currantturn.Routing{Version: 1, Routes: []currantturn.FlowRoute{{
			Address: serviceAddress, Shares: []currantturn.Share{{Service: "verify", Weight: 1}},
			LatencyObjective: 120 * time.Millisecond, Timeout: 800 * time.Millisecond,
		}}},
	}
	sim.scheduleEvery(tickPeriod, sim.tick)
	return sim
}

// schedule runs a function after a delay.
func (sim *simulation) schedule(d time.Duration, do func()) {
	sim.seq++
	heap.Push(&sim.timers, timer{at: sim.now.Add(d), seq: sim.seq, run: do})
}

// scheduleEvery runs a function periodically.
func (sim *simulation) scheduleEvery(d time.Duration, do func()) {
	sim.schedule(d, func() { do(); sim.scheduleEvery(d, do) })
}

// run advances the simulated time and runs the timers that are due.
func (sim *simulation) run(d time.Duration) {
	end := sim.now.Add(d)
	for len(sim.timers) > 0 && !sim.timers[0].at.After(end) {
		t := heap.Pop(&sim.timers).(timer)
		sim.now = t.at
		t.run()
	}
	sim.now = end
}

func (sim *simulation) tick() {
	for _, b := range sim.balancers {
		if !b.down && !sim.isFrozen(b.address.Addr()) {
			b.balancer.SetBalancers(sim.seeds())
			sim.apply(b.address.Addr(), nil, b.balancer.Tick)
		}
	}
	for _, id := range sim.backendIDs() {
		b := sim.backends[id]
		if b.agentDown || sim.isFrozen(b.address.Addr()) {
			continue
		}
		sim.apply(b.address.Addr(), b, b.agent.Tick)
		if b.agent.AnnounceDue(sim.now) {
			sim.apply(b.address.Addr(), b, b.agent.Announce)
		}
	}
}

// backendIDs lists the backend servers in a fixed order.
func (sim *simulation) backendIDs() []currantturn.BackendID {
	var ids []currantturn.BackendID
	for n := range 100 {
		if id := currantturn.BackendID(fmt.Sprintf("verify-%02d", n)); sim.backends[id] != nil {
			ids = append(ids, id)
		}
	}
	return ids
}

func (sim *simulation) addBalancer() *balancerVM {
	b := &balancerVM{address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, 0, byte(len(sim.balancers) + 1)}), linkPort)}
	sim.balancers = append(sim.balancers, b)
	sim.restartBalancer(b)
	return b
}

func (sim *simulation) restartBalancer(b *balancerVM) {
	b.down = false
	b.balancer = flowbalancer.New(flowbalancer.Options{Codec: sim.codec, AgentPort: linkPort, Seed: sim.rng.Uint64(), LinkRate: b.linkRate, NoOverflow: sim.noOverflow, Self: b.address, Domain: b.domain})
	sim.publishTo(b)
}

// seeds returns the addresses of all balancers.
func (sim *simulation) seeds() (all []netip.AddrPort) {
	for _, b := range sim.balancers {
		all = append(all, b.address)
	}
	return all
}

// recordAnnounced passes an agent's announcement to all balancers, as these do among
// one another.
func (sim *simulation) recordAnnounced(agent netip.AddrPort, m relay.Announce) {
	if slices.ContainsFunc(sim.announced, func(a statesync.Announced) bool { return a.Agent == agent }) {
		return
	}
	announced := statesync.Announced{Agent: agent, Service: m.Service}
	for _, b := range sim.backends {
		if b.address == agent {
			announced.FailureDomain = b.registration.FailureDomain
		}
	}
	sim.announced = append(sim.announced, announced)
	for _, b := range sim.balancers {
		sim.publishTo(b)
	}
}

// restartAll restarts every process; the new agents have no records of flows.
func (sim *simulation) restartAll() {
	for _, b := range sim.backends {
		sim.restartAgent(b, false)
	}
	for _, b := range sim.balancers {
		sim.restartBalancer(b)
	}
}

// routeTo makes the next version of the routing, whose route leads to one service, without publishing it.
func (sim *simulation) routeTo(service currantturn.ServiceName) {
	next := *sim.routing
	next.Version++
	next.Routes = []currantturn.FlowRoute{sim.routing.Routes[0]}
	next.Routes[0].Shares = []currantturn.Share{{Service: service, Weight: 1}}
	sim.routing = &next
}

// publish puts the present registrations in force at every running balancer.
func (sim *simulation) publish() {
	sim.revision++
	for _, b := range sim.balancers {
		if !b.down && !b.late {
			sim.publishTo(b)
		}
	}
}

func (sim *simulation) publishTo(b *balancerVM) {
	if sim.storeDown {
		s := statesync.State{Announced: sim.announced}
		sim.apply(b.address.Addr(), nil, func(now time.Time, out *currantturn.Effects) { b.balancer.Publish(now, s, out) })
		return
	}
	s := statesync.State{
		PlacementHeld: sim.held, ResetsHeld: sim.incomplete, Unverified: sim.unverified, Position: currantturn.Position{Revision: sim.revision}, Routing: sim.routing, RecordedMS: uint32(sim.recorded.Milliseconds()), Earlier: sim.earlier, Drained: sim.drained,
	}
	if sim.published != nil {
		s.Servers = sim.published()
	}
	for _, id := range sim.backendIDs() {
		backend := sim.backends[id]
		if backend.unlisted || sim.published != nil {
			continue
		}
		s.Servers = append(s.Servers, roster.Entry{
			Registration: backend.registration, Gone: backend.removedAt, Unusable: backend.unusable, Replacement: backend.replacement, WasDraining: !backend.removedAt.IsZero() && backend.registration.State == currantturn.BackendDraining,
		})
	}
	sim.apply(b.address.Addr(), nil, func(now time.Time, out *currantturn.Effects) { b.balancer.Publish(now, s, out) })
}

// apply runs a step of a balancer, or of the agent of backend server b, at an
// address and carries out its effects.
func (sim *simulation) apply(at netip.Addr, b *backendVM, step func(time.Time, *currantturn.Effects)) {
	var out currantturn.Effects
	step(sim.now, &out)
	for i := range out.Deliveries {
		packet := bytes.Clone(out.Deliveries[i].Payload)
		delay := time.Duration(0)
		if out.Deliveries[i].Mark == currantturn.MarkOpening {
			delay = b.openDelay
		}
		sim.schedule(delay, func() { sim.deliverToBackend(b, packet) })
	}
	for i := range out.Answers {
		packet := bytes.Clone(out.Answers[i].Payload)
		sim.schedule(hopDelay, func() { sim.deliverToCaller(at, packet) })
	}
	for i := range out.Forwards {
		to, frame := out.Forwards[i].To, relay.AppendPacket(nil, &out.Forwards[i].Envelope)
		sim.transmit(at, to, frame)
	}
	for _, s := range out.Sends {
		frame, err := relay.AppendMessage(nil, s.Message)
		if err != nil {
			panic(err)
		}
		sim.transmit(at, s.To, frame)
	}
	for _, e := range out.Events {
		sim.traceEvent(at, &e)
		sim.eventCounts[e.Number]++
		if e.Number == event.FlowFound {
			i := slices.IndexFunc(e.Fields, func(f currantturn.Field) bool { return f.Name == "elapsed" })
			sim.foundAfter = append(sim.foundAfter, e.Fields[i].Value.(time.Duration))
		}
	}
}

func (sim *simulation) deliverToCaller(from netip.Addr, packet []byte) {
	var p currantturn.Packet
	if err := sim.codec.Decode(packet, currantturn.ToCaller, &p); err != nil {
		panic(err)
	}
	if c := sim.callers[p.Flow.Caller]; c != nil {
		c.receive(sim, from, &p)
	}
}
