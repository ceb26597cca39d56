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

// routerKind chooses the machines of a run.
type routerKind string

const (
	product          routerKind = "currantturn"
	modulo           routerKind = "modulo hash"
	leastConnections routerKind = "least connections per balancer"
)

var traceCaller = flag.String("caller", "", "print the way of this caller's packets")

var key = rank.Key{K0: 17, K1: 4}

// node is one process and its socket.
type node struct {
	addr               netip.AddrPort
	router             currantturn.Router
	backend            *host // of an agent
	running            bool
	incarnation        int
	pausedUntil        time.Time // until when
	partition          int       // partition
	configDelayedUntil time.Time // until when it gets no configuration
	version            currantturn.Version
	controlBytes       int // bytes sent
	controlBytesByKind map[currantturn.Kind]int
}

// action is something that happens at a time; seq orders equal times.
type action struct {
	at  time.Time
	seq int
	do  func()
}

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

// simulation runs machines over modelled time and links.
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
	maxDelay          time.Duration // largest of a link; the smallest is a tenth
	deadChannels      map[[2]netip.AddrPort]bool
	services          []currantturn.Service
	view              *currantturn.View
	publishSpread     time.Duration // within which a configuration reaches every node
	flows             map[currantturn.FlowKey]*session
	sessions          []*session
	report            report
	onOpeningSent     func(to *node) // called for opening packets on their way
	stickyBalancers   bool           // the fabric gives each flow to one balancer
	longPartition     bool           // a partition outlasted the time to a verdict of death
	vms               []currantturn.VM
}

// report counts what the invariants forbid and what the tables show.
type report struct {
	opened, established, broken, split, foreign, late, violations int
	unmarked                                                      int // of the broken ones, flows without marks during a partition
	delivered, hops                                               int
	problems                                                      []string
}

func (sim *simulation) recordProblem(n *int, format string, args ...any) {
	*n++
	if len(sim.report.problems) < 20 {
		sim.report.problems = append(sim.report.problems, fmt.Sprintf("%7.3fs ", sim.now.Sub(sim.startTime).Seconds())+fmt.Sprintf(format, args...))
	}
}

func addr(group, i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(group), byte(i >> 8), byte(i)}), 7000)
}

func newSimulation(k routerKind, seed uint64, balancers int, sizes ...int) *simulation {
	sim := &simulation{
		kind:          k,
		rng:           rand.New(rand.NewPCG(seed, 1)),
		startTime:     time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC),
		nodes:         make(map[netip.AddrPort]*node),
		maxDelay:      3 * time.Millisecond,
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

// addBackend adds a backend server and its agent to a service.
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

// startProcess starts a process without any state.
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
			ID: b.id, Service: b.service, Self: n.addr, Key: key, Seed: seed, Load: b.load, Assert: true,
		})
	}
	incarnation := n.incarnation
	phase := time.Duration(sim.rng.Int64N(int64(currantturn.TickEvery)))
	sim.after(phase, func() { sim.tick(n, incarnation) })
}

func (sim *simulation) after(d time.Duration, do func()) {
	sim.seq++
	heap.Push(&sim.queue, action{sim.now.Add(d), sim.seq, do})
}

// run lets time pass.
func (sim *simulation) run(d time.Duration) {
	end := sim.now.Add(d)
	for len(sim.queue) > 0 && !sim.queue[0].at.After(end) {
		next := heap.Pop(&sim.queue).(action)
		sim.now = next.at
		next.do()
	}
	sim.now = end
}

func (sim *simulation) tick(n *node, incarnation int) {
	if !n.running || n.incarnation != incarnation {
		return
	}
	if sim.now.Before(n.pausedUntil) {
		sim.after(n.pausedUntil.Sub(sim.now), func() { sim.tick(n, incarnation) })
		return
	}
	sim.execute(n, func(out *currantturn.Effects) { n.router.Tick(sim.now, out) })
	sim.after(currantturn.TickEvery, func() { sim.tick(n, incarnation) })
}

// publish makes the services the newest configuration; nodes get it unevenly.
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

// execute runs one decision of a node and carries out its effects.
func (sim *simulation) execute(n *node, f func(*currantturn.Effects)) {
	var out currantturn.Effects
	f(&out)
	for i := range out.Delivers {
		sim.deliver(n, out.Delivers[i])
	}
	for i := range out.Answers {
		p := out.Answers[i]
		sim.transmit(sim.maxDelay, func() { sim.receiveAnswer(p) })
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
	for _, peer := range out.Renews {
		delete(sim.deadChannels, [2]netip.AddrPort{n.addr, peer})
	}
	for _, e := range out.Events {
		if e.Number == 108 {
			sim.recordProblem(&sim.report.violations, "%s: %v", n.addr, e.Fields)
		}
	}
}

// transmit carries something with loss, delay and duplication.
func (sim *simulation) transmit(delay time.Duration, do func()) {
	if sim.rng.Float64() < sim.loss {
		return
	}
	sim.after(delay/10+time.Duration(sim.rng.Int64N(int64(delay))), do)
	if sim.rng.Float64() < sim.duplication {
		sim.after(delay/10+time.Duration(sim.rng.Int64N(int64(40*delay))), do)
	}
}

// send carries an envelope or a message between two nodes.
func (sim *simulation) send(n *node, to netip.AddrPort, e currantturn.Envelope, m currantturn.Message) {
	peer := sim.nodes[to]
	if m == nil && sim.onOpeningSent != nil && e.Packet.Mark == currantturn.MarkOpening && e.Direction == currantturn.ToBackend {
		sim.onOpeningSent(peer)
	}
	if peer == nil || n.partition != peer.partition || sim.deadChannels[[2]netip.AddrPort{n.addr, to}] {
		return
	}
	sim.transmit(sim.maxDelay, func() { sim.receive(n.addr, peer, peer.incarnation, e, m) })
}

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

// index returns a backend server as published next.
func (sim *simulation) backendServer(n *node) *currantturn.BackendServer {
	s := &sim.services[n.backend.index]
	for i := range s.Backends {
		if s.Backends[i].ID == n.backend.id {
			return &s.Backends[i]
		}
	}
	return nil
}
