package flowbalancer_test

import (
	"bytes"
	"container/heap"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"strings"
	"time"

	"github.com/currantturn/currantturn"
	"github.com/currantturn/currantturn/internal/coordination/flowagent"
	"github.com/currantturn/currantturn/internal/coordination/flowbalancer"
	"github.com/currantturn/currantturn/internal/coordination/statesync"
	"github.com/currantturn/currantturn/internal/protocol/relay"
	"github.com/currantturn/currantturn/internal/state/roster"
	"github.com/currantturn/currantturn/platform"
	"github.com/currantturn/currantturn/platform/platformtest"
)

// Ports and times of the world; all delays are modelled time.
const (
	linkPort = 7120
	hopDelay = time.Millisecond
	// datagramHeader is what IP and UDP add to a frame.
	datagramHeader = 28
	tickPeriod     = 10 * time.Millisecond
	repeatFirst    = 200 * time.Millisecond
	attemptEnd     = 1400 * time.Millisecond
)

var serviceAddress = netip.MustParseAddrPort("198.18.0.1:443")

type step struct {
	at  time.Time
	seq int
	do  func()
}

type agenda []step

func (a agenda) Len() int { return len(a) }
func (a agenda) Less(i, j int) bool {
	return a[i].at.Before(a[j].at) || a[i].at.Equal(a[j].at) && a[i].seq < a[j].seq
}
func (a agenda) Swap(i, j int) { a[i], a[j] = a[j], a[i] }
func (a *agenda) Push(x any)   { *a = append(*a, x.(step)) }
func (a *agenda) Pop() any {
	old := *a
	x := old[len(old)-1]
	*a = old[:len(old)-1]
	return x
}

// world plays balancers, agents, backend servers and callers in modelled time.
type world struct {
	now       time.Time
	seq       int
	agenda    agenda
	rng       *rand.Rand
	codec     platform.Packets
	balancers []*balancerVM
	backends  map[currantturn.BackendID]*backendVM
	callers   map[netip.AddrPort]*caller
	routing   *currantturn.Routing
	revision  uint64
	lost      func(from, to netip.Addr) bool // drops packets between VMs

	broken []string // rules that were broken
	events map[int]int
}

type balancerVM struct {
	at      netip.AddrPort
	down    bool
	rate    float64   // of its link, bytes a second; 0 without a bound
	idle    time.Time // when the link has sent all that waits
	machine *flowbalancer.Balancer
}

// backendVM is a backend server with its agent.
type backendVM struct {
	reg    currantturn.Registration
	gone   time.Time // registration removed
	at     netip.AddrPort
	agent  *flowagent.Agent
	silent bool // the backend server takes nothing and sends nothing
	flows  map[netip.AddrPort]*held
	work   time.Duration
	queue  []func()
	busy   int
	ran    int // requests
}

type held struct{ iss, next uint32 }

func newWorld(seed uint64) *world {
	w := &world{
		now: time.Unix(1_000_000, 0), rng: rand.New(rand.NewPCG(seed, 1)),
		backends: map[currantturn.BackendID]*backendVM{}, callers: map[netip.AddrPort]*caller{},
		events: map[int]int{},
		routing: &currantturn.Routing{Version: 1, Routes: []currantturn.FlowRoute{{
			Address: serviceAddress, Shares: []currantturn.Share{{Service: "verify", Weight: 1}},
			LatencyObjective: 120 * time.Millisecond, Timeout: 800 * time.Millisecond,
		}}},
	}
	w.every(tickPeriod, w.tick)
	return w
}

func (w *world) after(d time.Duration, do func()) {
	w.seq++
	heap.Push(&w.agenda, step{at: w.now.Add(d), seq: w.seq, do: do})
}

func (w *world) every(d time.Duration, do func()) {
	w.after(d, func() { do(); w.every(d, do) })
}

func (w *world) run(d time.Duration) {
	end := w.now.Add(d)
	for len(w.agenda) > 0 && !w.agenda[0].at.After(end) {
		s := heap.Pop(&w.agenda).(step)
		w.now = s.at
		s.do()
	}
	w.now = end
}

func (w *world) tick() {
	for _, b := range w.balancers {
		if !b.down {
			w.decide(b.at.Addr(), nil, b.machine.Tick)
		}
	}
	for _, id := range w.ids() {
		b := w.backends[id]
		w.decide(b.at.Addr(), b, b.agent.Tick)
	}
}

// ids lists the backend servers in a fixed order.
func (w *world) ids() []currantturn.BackendID {
	var ids []currantturn.BackendID
	for n := range 100 {
		if id := currantturn.BackendID(fmt.Sprintf("verify-%02d", n)); w.backends[id] != nil {
			ids = append(ids, id)
		}
	}
	return ids
}

func (w *world) addBalancer() *balancerVM {
	b := &balancerVM{at: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, 0, byte(len(w.balancers) + 1)}), linkPort)}
	w.balancers = append(w.balancers, b)
	w.restartBalancer(b)
	return b
}

func (w *world) restartBalancer(b *balancerVM) {
	b.down = false
	b.machine = flowbalancer.New(flowbalancer.Options{Codec: w.codec, AgentPort: linkPort, Seed: w.rng.Uint64(), LinkRate: b.rate})
	w.publishTo(b)
}

func (w *world) addBackend(slots int) *backendVM {
	n := len(w.backends)
	at := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 2, 0, byte(n + 1)}), linkPort)
	b := &backendVM{
		at: at, flows: map[netip.AddrPort]*held{}, work: 20 * time.Millisecond,
		reg: currantturn.Registration{
			ID: currantturn.BackendID(fmt.Sprintf("verify-%02d", n)), Service: "verify",
			Address: netip.AddrPortFrom(at.Addr(), 8080), Slots: slots, State: currantturn.BackendActive,
		},
	}
	w.backends[b.reg.ID] = b
	w.restartAgent(b, true)
	return b
}

func (w *world) restartAgent(b *backendVM, fresh bool) {
	b.agent = flowagent.New(flowagent.Options{
		Codec: w.codec, Service: "verify", Backend: b.reg.ID, LinkPort: linkPort, Started: w.now, Fresh: fresh,
	})
}

// restartAll restarts every process; no agent knows its flows then.
func (w *world) restartAll() {
	for _, b := range w.backends {
		w.restartAgent(b, false)
	}
	for _, b := range w.balancers {
		w.restartBalancer(b)
	}
}

// cutOff loses every packet from and to a VM.
func (w *world) cutOff(vm netip.Addr) {
	w.lost = func(from, to netip.Addr) bool { return from == vm || to == vm }
}

// drain lets a backend server say that it leaves.
func (w *world) drain(b *backendVM) {
	b.reg.State = currantturn.BackendDraining
	w.publish()
}

// leave ends a backend server that drains, with its VM.
func (w *world) leave(b *backendVM) {
	w.drain(b)
	b.silent, b.gone = true, w.now
	w.cutOff(b.at.Addr())
	w.publish()
}

// publish puts the present registrations in force everywhere.
func (w *world) publish() {
	w.revision++
	for _, b := range w.balancers {
		if !b.down {
			w.publishTo(b)
		}
	}
}

func (w *world) publishTo(b *balancerVM) {
	s := statesync.State{Revision: w.revision, Routing: w.routing}
	for _, id := range w.ids() {
		x := w.backends[id]
		s.Servers = append(s.Servers, roster.Entry{
			Registration: x.reg, Gone: x.gone, Left: !x.gone.IsZero() && x.reg.State == currantturn.BackendDraining,
		})
	}
	w.decide(b.at.Addr(), nil, func(now time.Time, out *currantturn.Effects) { b.machine.Publish(now, s, out) })
}

// decide runs a machine at an address and carries out its effects.
func (w *world) decide(at netip.Addr, b *backendVM, f func(time.Time, *currantturn.Effects)) {
	var out currantturn.Effects
	f(w.now, &out)
	for i := range out.Delivers {
		packet := bytes.Clone(out.Delivers[i].Payload)
		w.after(0, func() { w.toBackend(b, packet) })
	}
	for i := range out.Answers {
		packet := bytes.Clone(out.Answers[i].Payload)
		w.after(hopDelay, func() { w.toCaller(at, packet) })
	}
	for i := range out.Forwards {
		to, frame := out.Forwards[i].To, relay.AppendPacket(nil, &out.Forwards[i].Envelope)
		w.carry(at, to, frame)
	}
	for _, s := range out.Sends {
		frame, err := relay.AppendMessage(nil, s.Message)
		if err != nil {
			panic(err)
		}
		w.carry(at, s.To, frame)
	}
	for _, e := range out.Events {
		w.events[e.Number]++
	}
}

func (w *world) carry(from netip.Addr, to netip.AddrPort, frame []byte) {
	if w.lost != nil && w.lost(from, to.Addr()) {
		return
	}
	w.after(hopDelay+w.queued(from, len(frame)), func() { w.receive(netip.AddrPortFrom(from, linkPort), to, frame) })
}

// queued is how long a frame waits for the link of its balancer.
func (w *world) queued(from netip.Addr, size int) time.Duration {
	for _, b := range w.balancers {
		if b.at.Addr() == from && b.rate > 0 {
			if b.idle.Before(w.now) {
				b.idle = w.now
			}
			b.idle = b.idle.Add(time.Duration(float64(size+datagramHeader) / b.rate * float64(time.Second)))
			return b.idle.Sub(w.now)
		}
	}
	return 0
}

// receive hands a frame to the process at an address.
func (w *world) receive(from, to netip.AddrPort, frame []byte) {
	e := currantturn.Envelope{Direction: currantturn.ToBackend}
	m, err := relay.Decode(frame, "verify", &e)
	if err != nil {
		panic(err)
	}
	if m == nil {
		if err := w.codec.Decode(e.Packet.Payload, currantturn.ToBackend, &e.Packet); err != nil {
			panic(err)
		}
	}
	for _, b := range w.balancers {
		if b.at == to && !b.down {
			w.decide(to.Addr(), nil, func(now time.Time, out *currantturn.Effects) {
				if m != nil {
					b.machine.Handle(now, from, m, out)
					return
				}
				b.machine.Route(now, from, &e, out)
			})
		}
	}
	for _, b := range w.backends {
		if b.at == to {
			w.decide(to.Addr(), b, func(now time.Time, out *currantturn.Effects) {
				if m != nil {
					b.agent.Handle(now, from, m, out)
					return
				}
				b.agent.Route(now, from, &e, out)
			})
		}
	}
}

// fromCaller sends a caller's packet to the balancer that the fabric chooses.
func (w *world) fromCaller(c *caller, packet []byte) {
	w.after(hopDelay, func() {
		var up []*balancerVM
		for _, b := range w.balancers {
			if !b.down {
				up = append(up, b)
			}
		}
		if len(up) == 0 {
			return
		}
		b := up[int(c.at.Port())%len(up)]
		e := currantturn.Envelope{Direction: currantturn.ToBackend}
		if err := w.codec.Decode(packet, currantturn.ToBackend, &e.Packet); err != nil {
			panic(err)
		}
		w.decide(b.at.Addr(), nil, func(now time.Time, out *currantturn.Effects) {
			b.machine.Route(now, netip.AddrPort{}, &e, out)
		})
	})
}

// packetOf encodes a packet as either end writes it.
func packetOf(from, to netip.AddrPort, flags byte, seq, ack uint32, data int) []byte {
	p := platformtest.Packet{From: from, To: to, Flags: flags, Sequence: seq, Acked: ack, Data: strings.Repeat("x", data)}
	return p.Encode()
}

const (
	syn = platformtest.Open
	ack = platformtest.Ack
)

// toBackend is a backend server that takes a packet.
func (w *world) toBackend(b *backendVM, packet []byte) {
	var p currantturn.Packet
	if err := w.codec.Decode(packet, currantturn.ToBackend, &p); err != nil {
		panic(err)
	}
	if b.silent {
		return
	}
	if c := w.callers[p.Flow.Caller]; c != nil && p.Mark != currantturn.MarkOpening {
		c.reached(w, b)
	}
	f := b.flows[p.Flow.Caller]
	switch {
	case p.Mark == currantturn.MarkOpening:
		if f == nil {
			f = &held{iss: w.rng.Uint32(), next: p.Sequence + 1}
			b.flows[p.Flow.Caller] = f
		}
		w.outbound(b, packetOf(serviceAddress, p.Flow.Caller, syn|ack, f.iss, f.next, 0))
	case f == nil || p.Acked-f.iss > 1<<24:
		platformtest.Bounce(packet)
		w.outbound(b, packet)
	case p.DataSize > 0 && p.Sequence == f.next:
		f.next += uint32(p.DataSize)
		w.work(b, func() {
			b.ran++
			w.outbound(b, packetOf(serviceAddress, p.Flow.Caller, ack, f.iss+1, f.next, 100))
		})
	}
}

// work runs a request in a slot, or queues it in order of arrival.
func (w *world) work(b *backendVM, done func()) {
	if b.busy >= b.reg.Slots {
		b.queue = append(b.queue, done)
		return
	}
	b.busy++
	w.after(b.work, func() {
		b.busy--
		if !b.silent {
			done()
		}
		if len(b.queue) > 0 {
			next := b.queue[0]
			b.queue = b.queue[1:]
			w.work(b, next)
		}
	})
}

func (w *world) outbound(b *backendVM, packet []byte) {
	var p currantturn.Packet
	if err := w.codec.Decode(packet, currantturn.ToCaller, &p); err != nil {
		panic(err)
	}
	w.decide(b.at.Addr(), b, func(now time.Time, out *currantturn.Effects) { b.agent.Answer(now, &p, out) })
}

func (w *world) toCaller(from netip.Addr, packet []byte) {
	var p currantturn.Packet
	if err := w.codec.Decode(packet, currantturn.ToCaller, &p); err != nil {
		panic(err)
	}
	if c := w.callers[p.Flow.Caller]; c != nil {
		c.receive(w, from, &p)
	}
}
