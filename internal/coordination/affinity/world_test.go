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

// kind chooses the machines of a run.
type kind string

const (
	product kind = "currantturn"
	modulo  kind = "modulo hash"
	least   kind = "least connections per balancer"
)

var trace = flag.String("caller", "", "print the way of this caller's packets")

var key = rank.Key{K0: 17, K1: 4}

// node is one process and its socket.
type node struct {
	at       netip.AddrPort
	router   currantturn.Router
	backend  *host // of an agent
	running  bool
	boot     int
	paused   time.Time // until when
	group    int       // partition
	stale    time.Time // until when it gets no configuration
	version  currantturn.Version
	control  int // bytes sent
	controls map[currantturn.Kind]int
}

// item is something that happens at a time; seq orders equal times.
type item struct {
	at  time.Time
	seq int
	do  func()
}

type items []item

func (q items) Len() int { return len(q) }
func (q items) Less(i, j int) bool {
	return q[i].at.Before(q[j].at) || q[i].at.Equal(q[j].at) && q[i].seq < q[j].seq
}
func (q items) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *items) Push(x any)   { *q = append(*q, x.(item)) }
func (q *items) Pop() any {
	old := *q
	x := old[len(old)-1]
	*q = old[:len(old)-1]
	return x
}

// world runs machines over modelled time and links.
type world struct {
	kind      kind
	rng       *rand.Rand
	start     time.Time
	now       time.Time
	queue     items
	seq       int
	nodes     map[netip.AddrPort]*node
	balancers []*node
	agents    []*node
	loss, dup float64
	delay     time.Duration // largest of a link; the smallest is a tenth
	silent    map[[2]netip.AddrPort]bool
	services  []currantturn.Service
	view      *currantturn.View
	spread    time.Duration // within which a configuration reaches every node
	flows     map[currantturn.FlowKey]*session
	order     []*session
	report    report
	sent      func(to *node) // called for opening packets on their way
	sticky    bool           // the fabric gives each flow to one balancer
	apart     bool           // a partition outlasted the time to a verdict of death
	vms       []currantturn.VM
}

// report counts what the invariants forbid and what the tables show.
type report struct {
	opened, established, broken, split, foreign, late, violations int
	unmarked                                                      int // of the broken ones, flows without marks during a partition
	delivered, hops                                               int
	problems                                                      []string
}

func (w *world) problem(n *int, format string, args ...any) {
	*n++
	if len(w.report.problems) < 20 {
		w.report.problems = append(w.report.problems, fmt.Sprintf("%7.3fs ", w.now.Sub(w.start).Seconds())+fmt.Sprintf(format, args...))
	}
}

func addr(group, i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(group), byte(i >> 8), byte(i)}), 7000)
}

func newWorld(k kind, seed uint64, balancers int, sizes ...int) *world {
	w := &world{
		kind:   k,
		rng:    rand.New(rand.NewPCG(seed, 1)),
		start:  time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC),
		nodes:  make(map[netip.AddrPort]*node),
		delay:  3 * time.Millisecond,
		silent: make(map[[2]netip.AddrPort]bool),
		spread: time.Second,
		flows:  make(map[currantturn.FlowKey]*session),
	}
	w.now = w.start
	for i, n := range sizes {
		w.services = append(w.services, currantturn.Service{
			Name: currantturn.ServiceName(fmt.Sprintf("service-%d", i)), Addresses: []netip.AddrPort{addr(200, i)},
		})
		for range n {
			w.addBackend(i, 3, 1)
		}
	}
	for i := range balancers {
		n := &node{at: addr(100, i)}
		w.nodes[n.at] = n
		w.balancers = append(w.balancers, n)
		w.boot(n)
	}
	w.publish()
	for _, n := range append(w.agents[:len(w.agents):len(w.agents)], w.balancers...) {
		w.configure(n)
	}
	return w
}

// addBackend adds a backend server and its agent to a service.
func (w *world) addBackend(service, slots, weight int) *node {
	s := &w.services[service]
	at := addr(service, len(s.Backends))
	id := currantturn.BackendID(fmt.Sprintf("b%d-%03d", service, len(s.Backends)))
	s.Backends = append(s.Backends, currantturn.BackendServer{
		ID: id, Agent: at, Slots: slots, Weight: weight, State: currantturn.BackendActive,
	})
	n := &node{at: at, backend: &host{id: id, service: s.Name, index: service, slots: slots, sessions: make(map[currantturn.FlowKey]*session)}}
	w.nodes[at] = n
	w.agents = append(w.agents, n)
	w.boot(n)
	return n
}

// boot starts a process without any state.
func (w *world) boot(n *node) {
	n.boot++
	n.running, n.paused, n.version = true, time.Time{}, 0
	n.controls = make(map[currantturn.Kind]int)
	seed := w.rng.Uint64()
	switch {
	case n.backend == nil && w.kind == modulo:
		n.router = baseline.NewModulo(key)
	case n.backend == nil && w.kind == least:
		n.router = baseline.NewLeastConnections(key)
	case n.backend == nil:
		n.router = balancer.New(balancer.Options{Self: n.at, Key: key, Seed: seed})
	case w.kind != product:
		n.router = &baseline.Agent{}
	default:
		b := n.backend
		n.router = agent.New(agent.Options{
			ID: b.id, Service: b.service, Self: n.at, Key: key, Seed: seed, Load: b.load, Assert: true,
		})
	}
	boot := n.boot
	phase := time.Duration(w.rng.Int64N(int64(currantturn.TickEvery)))
	w.after(phase, func() { w.tick(n, boot) })
}

func (w *world) after(d time.Duration, do func()) {
	w.seq++
	heap.Push(&w.queue, item{w.now.Add(d), w.seq, do})
}

// run lets time pass.
func (w *world) run(d time.Duration) {
	end := w.now.Add(d)
	for len(w.queue) > 0 && !w.queue[0].at.After(end) {
		next := heap.Pop(&w.queue).(item)
		w.now = next.at
		next.do()
	}
	w.now = end
}

func (w *world) tick(n *node, boot int) {
	if !n.running || n.boot != boot {
		return
	}
	if w.now.Before(n.paused) {
		w.after(n.paused.Sub(w.now), func() { w.tick(n, boot) })
		return
	}
	w.decide(n, func(out *currantturn.Effects) { n.router.Tick(w.now, out) })
	w.after(currantturn.TickEvery, func() { w.tick(n, boot) })
}

// publish makes the services the newest configuration; nodes get it unevenly.
func (w *world) publish() {
	v := currantturn.Version(1)
	if w.view != nil {
		v = w.view.Version + 1
	}
	services := make([]currantturn.Service, len(w.services))
	for i := range services {
		services[i] = w.services[i]
		services[i].Backends = append([]currantturn.BackendServer(nil), w.services[i].Backends...)
	}
	w.view = currantturn.NewView(v, services)
	for _, n := range append(w.balancers[:len(w.balancers):len(w.balancers)], w.agents...) {
		w.after(time.Duration(w.rng.Int64N(int64(w.spread))), func() { w.configure(n) })
	}
}

func (w *world) configure(n *node) {
	v := w.view
	switch {
	case !n.running || n.version >= v.Version:
	case w.now.Before(n.stale):
		w.after(n.stale.Sub(w.now), func() { w.configure(n) })
	case w.now.Before(n.paused):
		w.after(n.paused.Sub(w.now), func() { w.configure(n) })
	default:
		n.version = v.Version
		w.decide(n, func(out *currantturn.Effects) { n.router.Configure(w.now, v, out) })
	}
}

// decide runs one decision of a node and carries out its effects.
func (w *world) decide(n *node, f func(*currantturn.Effects)) {
	var out currantturn.Effects
	f(&out)
	for i := range out.Delivers {
		w.deliver(n, out.Delivers[i])
	}
	for i := range out.Answers {
		p := out.Answers[i]
		w.link(w.delay, func() { w.answered(p) })
	}
	for i := range out.Forwards {
		w.send(n, out.Forwards[i].To, out.Forwards[i].Envelope, nil)
	}
	for _, s := range out.Sends {
		b, err := message.Encode(s.Message)
		if err != nil {
			w.problem(&w.report.violations, "%s: %v", n.at, err)
			continue
		}
		m, err := message.Decode(b)
		if err != nil {
			w.problem(&w.report.violations, "%s: %v", n.at, err)
			continue
		}
		n.control += len(b)
		n.controls[s.Message.Kind()] += len(b)
		w.send(n, s.To, currantturn.Envelope{}, m)
	}
	for _, peer := range out.Renews {
		delete(w.silent, [2]netip.AddrPort{n.at, peer})
	}
	for _, e := range out.Events {
		if e.Number == 108 {
			w.problem(&w.report.violations, "%s: %v", n.at, e.Fields)
		}
	}
}

// link carries something with loss, delay and duplication.
func (w *world) link(delay time.Duration, do func()) {
	if w.rng.Float64() < w.loss {
		return
	}
	w.after(delay/10+time.Duration(w.rng.Int64N(int64(delay))), do)
	if w.rng.Float64() < w.dup {
		w.after(delay/10+time.Duration(w.rng.Int64N(int64(40*delay))), do)
	}
}

// send carries an envelope or a message between two nodes.
func (w *world) send(n *node, to netip.AddrPort, e currantturn.Envelope, m currantturn.Message) {
	peer := w.nodes[to]
	if m == nil && w.sent != nil && e.Packet.Mark == currantturn.MarkOpening && e.Direction == currantturn.ToBackend {
		w.sent(peer)
	}
	if peer == nil || n.group != peer.group || w.silent[[2]netip.AddrPort{n.at, to}] {
		return
	}
	w.link(w.delay, func() { w.arrive(n.at, peer, peer.boot, e, m) })
}

func (w *world) arrive(from netip.AddrPort, n *node, boot int, e currantturn.Envelope, m currantturn.Message) {
	if !n.running || n.boot != boot {
		return
	}
	if w.now.Before(n.paused) {
		w.after(n.paused.Sub(w.now), func() { w.arrive(from, n, boot, e, m) })
		return
	}
	if *trace != "" && *trace == e.Packet.Flow.Caller.String() {
		fmt.Println(w.now.Sub(w.start), from, "->", n.at, e.Intent, e.Hops, e.Ranks, e.Packet.Mark)
	}
	w.decide(n, func(out *currantturn.Effects) {
		if m != nil {
			n.router.Handle(w.now, from, m, out)
			return
		}
		n.router.Route(w.now, from, &e, out)
	})
}

// index returns a backend server as published next.
func (w *world) server(n *node) *currantturn.BackendServer {
	s := &w.services[n.backend.index]
	for i := range s.Backends {
		if s.Backends[i].ID == n.backend.id {
			return &s.Backends[i]
		}
	}
	return nil
}
