package affinity_test

import (
	"container/heap"
	"flag"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/currantturn/currantturn"
	"github.com/currantturn/currantturn/internal/baseline"
	"github.com/currantturn/currantturn/internal/coordination/agent"
	"github.com/currantturn/currantturn/internal/coordination/balancer"
	"github.com/currantturn/currantturn/internal/coordination/rank"
	"github.com/currantturn/currantturn/internal/protocol/message"
)

// routerKind selects the routers of a simulation: those of this project or a
// baseline to compare with.
type routerKind string

const (
	product          routerKind = "currantturn"
	modulo           routerKind = "modulo hash"
	leastConnections routerKind = "least connections per balancer"
)

var traceCaller = flag.String("caller", "", "print the path of this caller's packets")

var key = rank.Key{K0: 17, K1: 4}

// node is one simulated balancer or agent process.
type node struct {
	addr               netip.AddrPort
	router             currantturn.Router
	backend            *host // of an agent; nil for a balancer
	running            bool
	incarnation        int // number of starts of the process
	pausedUntil        time.Time
	partition          int       // only nodes of the same partition are connected
	configDelayedUntil time.Time // new configurations are held back until then
	version            currantturn.Version
	controlBytes       int // sent in control messages
	controlBytesByKind map[currantturn.Kind]int
}

// action is a function scheduled for a time; seq orders actions of the same time.
type action struct {
	at  time.Time
	seq int
	do  func()
}

// actionQueue is a heap of actions by time.
type actionQueue []action

func (q actionQueue) Len() int { return len(q) }
func (q actionQueue) Less(i, j int) bool {
	return q[i].at.Before(q[j].at) || q[i].at.Equal(q[j].at) && q[i].seq < q[j].seq
}
func (q actionQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *actionQueue) Push(x any)   { *q = append(*q, x.(action)) }
func (q *actionQueue) Pop() any {
	old := *q
	x := old[len(old)-1]
	*q = old[:len(old)-1]
	return x
}

// simulation is a discrete-event simulation of balancers, agents and the links
// between them.
type simulation struct {
	kind              routerKind
	rng               *rand.Rand
	startTime         time.Time
	now               time.Time
	queue             actionQueue
	seq               int
	nodes             map[netip.AddrPort]*node
	balancers         []*node
	agents            []*node
	loss, duplication float64
	linkDelay         time.Duration              // the delay of a link is random, from 0.1 to 1.1 times this
	deadChannels      map[[2]netip.AddrPort]bool // pairs of sender and receiver that lose everything until the sender renews the channel
	services          []currantturn.Service      // published next
	view              *currantturn.View          // latest published configuration
	publishSpread     time.Duration              // highest delay until a node receives a new configuration
	flows             map[currantturn.FlowKey]*session
	sessions          []*session
	report            report
	onOpeningSent     func(to *node)   // called for each opening packet that is sent to a node
	stickyBalancers   bool             // the network sends all packets of a flow to the same balancer
	longPartition     bool             // a partition lasted long enough for members to be declared dead
	vms               []currantturn.VM // the list of VMs that agents read
}

// report counts violations of the invariants and the figures of the test logs.
//   - opened: flows whose first packet the caller sent
//   - established: flows whose caller received an answer
//   - broken: flows with a packet at another backend server while their own one runs
//   - split: opening packets at a second backend server
//   - foreign: packets at a backend server of another service
//   - late: flows opened at a backend server more than 3 s after it began to leave
//   - violations: violated invariants, encoding errors and flows without progress
type report struct {
	opened, established, broken, split, foreign, late, violations int
	unmarked                                                      int      // flows without marks that broke in a run with a long partition; not in broken
	delivered, hops                                               int      // packets at a backend server; hops is unused
	problems                                                      []string // descriptions of the first 20 problems
}

// recordProblem increments *n, a counter of the report, and stores a description of
// the problem if it is among the first 20.
func (sim *simulation) recordProblem(n *int, format string, args ...any) {
	*n++
	if len(sim.report.problems) < 20 {
		sim.report.problems = append(sim.report.problems, fmt.Sprintf("%7.3fs ", sim.now.Sub(sim.startTime).Seconds())+fmt.Sprintf(format, args...))
	}
}

// addr returns the link address of node i in a group: the index of a service, 100
// for balancers, or 200 for the addresses of services.
func addr(group, i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(group), byte(i >> 8), byte(i)}), 7000)
}

// newSimulation starts the balancers and, for each number in sizes, a service with
// that many agents. All nodes have the first configuration.
func newSimulation(k routerKind, seed uint64, balancers int, sizes ...int) *simulation {
	sim := &simulation{
		kind:          k,
		rng:           rand.New(rand.NewPCG(seed, 1)),
		startTime:     time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC),
		nodes:         make(map[netip.AddrPort]*node),
		linkDelay:     3 * time.Millisecond,
		deadChannels:  make(map[[2]netip.AddrPort]bool),
		publishSpread: time.Second,
		flows:         make(map[currantturn.FlowKey]*session),
	}
	sim.now = sim.startTime
	for i, n := range sizes {
		sim.services = append(sim.services, currantturn.Service{
			Name: currantturn.ServiceName(fmt.Sprintf("service-%d", i)), Addresses: []netip.AddrPort{addr(200, i)},
		})
		for range n {
			sim.addBackend(i, 3, 1)
		}
	}
	for i := range balancers {
		n := &node{addr: addr(100, i)}
		sim.nodes[n.addr] = n
		sim.balancers = append(sim.balancers, n)
		sim.startProcess(n)
	}
	sim.publish()
	for _, n := range append(sim.agents[:len(sim.agents):len(sim.agents)], sim.balancers...) {
		sim.configure(n)
	}
	return sim
}

// addBackend adds a backend server to a service and starts its agent. The change
// takes effect with the next publish.
func (sim *simulation) addBackend(service, slots, weight int) *node {
	s := &sim.services[service]
	at := addr(service, len(s.Backends))
	id := currantturn.BackendID(fmt.Sprintf("b%d-%03d", service, len(s.Backends)))
	s.Backends = append(s.Backends, currantturn.BackendServer{
		ID: id, Agent: at, Slots: slots, Weight: weight, State: currantturn.BackendActive,
	})
	n := &node{addr: at, backend: &host{id: id, service: s.Name, index: service, slots: slots, sessions: make(map[currantturn.FlowKey]*session)}}
	sim.nodes[at] = n
	sim.agents = append(sim.agents, n)
	sim.startProcess(n)
	return n
}

// startProcess starts the process of a node with empty state.
func (sim *simulation) startProcess(n *node) {
	n.incarnation++
	n.running, n.pausedUntil, n.version = true, time.Time{}, 0
	n.controlBytesByKind = make(map[currantturn.Kind]int)
	seed := sim.rng.Uint64()
	switch {
	case n.backend == nil && sim.kind == modulo:
		n.router = baseline.NewModulo(key)
	case n.backend == nil && sim.kind == leastConnections:
		n.router = baseline.NewLeastConnections(key)
	case n.backend == nil:
		n.router = balancer.New(balancer.Options{Self: n.addr, Key: key, Seed: seed})
	case sim.kind != product:
		n.router = &baseline.Agent{}
	default:
		b := n.backend
		n.router = agent.New(agent.Options{
			ID: b.id, Service: b.service, Self: n.addr, Key: key, Seed: seed, Load: b.load, ReportViolations: true,
		})
	}
	incarnation := n.incarnation
	phase := time.Duration(sim.rng.Int64N(int64(currantturn.TickInterval)))
	sim.after(phase, func() { sim.tick(n, incarnation) })
}

// after schedules do in d.
func (sim *simulation) after(d time.Duration, do func()) {
	sim.seq++
	heap.Push(&sim.queue, action{sim.now.Add(d), sim.seq, do})
}

// run advances the simulated time by d and runs the actions due until then.
func (sim *simulation) run(d time.Duration) {
	end := sim.now.Add(d)
	for len(sim.queue) > 0 && !sim.queue[0].at.After(end) {
		next := heap.Pop(&sim.queue).(action)
		sim.now = next.at
		next.do()
	}
	sim.now = end
}

// tick ticks a node periodically until the given incarnation of it ends.
func (sim *simulation) tick(n *node, incarnation int) {
	if !n.running || n.incarnation != incarnation {
		return
	}
	if sim.now.Before(n.pausedUntil) {
		sim.after(n.pausedUntil.Sub(sim.now), func() { sim.tick(n, incarnation) })
		return
	}
	sim.execute(n, func(out *currantturn.Effects) { n.router.Tick(sim.now, out) })
	sim.after(currantturn.TickInterval, func() { sim.tick(n, incarnation) })
}

// publish makes the services the latest configuration. Each node receives it after a
// random delay of up to publishSpread.
func (sim *simulation) publish() {
	v := currantturn.Version(1)
	if sim.view != nil {
		v = sim.view.Version + 1
	}
	services := make([]currantturn.Service, len(sim.services))
	for i := range services {
		services[i] = sim.services[i]
		services[i].Backends = append([]currantturn.BackendServer(nil), sim.services[i].Backends...)
	}
	sim.view = currantturn.NewView(v, services)
	for _, n := range append(sim.balancers[:len(sim.balancers):len(sim.balancers)], sim.agents...) {
		sim.after(time.Duration(sim.rng.Int64N(int64(sim.publishSpread))), func() { sim.configure(n) })
	}
}

// configure gives a running node the latest configuration, delayed if the node is
// paused or its configuration is held back.
func (sim *simulation) configure(n *node) {
	v := sim.view
	switch {
	case !n.running || n.version >= v.Version:
	case sim.now.Before(n.configDelayedUntil):
		sim.after(n.configDelayedUntil.Sub(sim.now), func() { sim.configure(n) })
	case sim.now.Before(n.pausedUntil):
		sim.after(n.pausedUntil.Sub(sim.now), func() { sim.configure(n) })
	default:
		n.version = v.Version
		sim.execute(n, func(out *currantturn.Effects) { n.router.Configure(sim.now, v, out) })
	}
}

// execute calls f on behalf of a node and applies the effects. It encodes and
// decodes each control message and records violated invariants.
func (sim *simulation) execute(n *node, f func(*currantturn.Effects)) {
	var out currantturn.Effects
	f(&out)
	for i := range out.Deliveries {
		sim.deliver(n, out.Deliveries[i])
	}
	for i := range out.Answers {
		p := out.Answers[i]
		sim.transmit(sim.linkDelay, func() { sim.receiveAnswer(p) })
	}
	for i := range out.Forwards {
		sim.send(n, out.Forwards[i].To, out.Forwards[i].Envelope, nil)
	}
	for _, s := range out.Sends {
		b, err := message.Encode(s.Message)
		if err != nil {
			sim.recordProblem(&sim.report.violations, "%s: %v", n.addr, err)
			continue
		}
		m, err := message.Decode(b)
		if err != nil {
			sim.recordProblem(&sim.report.violations, "%s: %v", n.addr, err)
			continue
		}
		n.controlBytes += len(b)
		n.controlBytesByKind[s.Message.Kind()] += len(b)
		sim.send(n, s.To, currantturn.Envelope{}, m)
	}
	for _, peer := range out.SocketRenewals {
		delete(sim.deadChannels, [2]netip.AddrPort{n.addr, peer})
	}
	for _, e := range out.Events {
		if e.Number == 108 { // event.InvariantViolated
			sim.recordProblem(&sim.report.violations, "%s: %v", n.addr, e.Fields)
		}
	}
}

// transmit carries a packet over a link: it runs do after a random delay, not at all
// if the packet is lost, and twice if it is duplicated.
func (sim *simulation) transmit(delay time.Duration, do func()) {
	if sim.rng.Float64() < sim.loss {
		return
	}
	sim.after(delay/10+time.Duration(sim.rng.Int64N(int64(delay))), do)
	if sim.rng.Float64() < sim.duplication {
		sim.after(delay/10+time.Duration(sim.rng.Int64N(int64(40*delay))), do)
	}
}

// send sends an envelope, or a control message if m is not nil, to a node.
func (sim *simulation) send(n *node, to netip.AddrPort, e currantturn.Envelope, m currantturn.Message) {
	peer := sim.nodes[to]
	if m == nil && sim.onOpeningSent != nil && e.Packet.Mark == currantturn.MarkOpening && e.Direction == currantturn.ToBackend {
		sim.onOpeningSent(peer)
	}
	if peer == nil || n.partition != peer.partition || sim.deadChannels[[2]netip.AddrPort{n.addr, to}] {
		return
	}
	sim.transmit(sim.linkDelay, func() { sim.receive(n.addr, peer, peer.incarnation, e, m) })
}

// receive passes an envelope, or a control message if m is not nil, to the given
// incarnation of a node. A paused node processes it when the pause ends.
func (sim *simulation) receive(from netip.AddrPort, n *node, incarnation int, e currantturn.Envelope, m currantturn.Message) {
	if !n.running || n.incarnation != incarnation {
		return
	}
	if sim.now.Before(n.pausedUntil) {
		sim.after(n.pausedUntil.Sub(sim.now), func() { sim.receive(from, n, incarnation, e, m) })
		return
	}
	if *traceCaller != "" && *traceCaller == e.Packet.Flow.Caller.String() {
		fmt.Println(sim.now.Sub(sim.startTime), from, "->", n.addr, e.Intent, e.Hops, e.Ranks, e.Packet.Mark)
	}
	sim.execute(n, func(out *currantturn.Effects) {
		if m != nil {
			n.router.Handle(sim.now, from, m, out)
			return
		}
		n.router.Route(sim.now, from, &e, out)
	})
}

// backendServer returns the backend server of a node in the services that publish
// uses next.
func (sim *simulation) backendServer(n *node) *currantturn.BackendServer {
	s := &sim.services[n.backend.index]
	for i := range s.Backends {
		if s.Backends[i].ID == n.backend.id {
			return &s.Backends[i]
		}
	}
	return nil
}
