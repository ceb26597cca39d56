package capacity_test

import (
	"encoding/binary"
	"fmt"
	"net/netip"
	"runtime"
	"testing"
	"time"

	"github.com/currantturn/currantturn"
	"github.com/currantturn/currantturn/internal/coordination/agent"
	"github.com/currantturn/currantturn/internal/coordination/balancer"
	"github.com/currantturn/currantturn/internal/coordination/membership"
	"github.com/currantturn/currantturn/internal/coordination/rank"
	"github.com/currantturn/currantturn/internal/protocol/message"
	"github.com/currantturn/currantturn/internal/state/hint"
)

var (
	start = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	key   = rank.Key{K0: 1, K1: 2}
)

// address returns the address of the host numbered n.
func address(n int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte(binary.BigEndian.AppendUint32(nil, uint32(10<<24+n)))), 7000)
}

// services returns count services with n backend servers each.
func services(count, n int) []currantturn.Service {
	var out []currantturn.Service
	for i := range count {
		s := currantturn.Service{
			Name:      currantturn.ServiceName(fmt.Sprintf("service-%03d", i)),
			Addresses: []netip.AddrPort{address(1<<20 + i)},
		}
		for j := range n {
			s.Backends = append(s.Backends, currantturn.BackendServer{
				ID: currantturn.BackendID(fmt.Sprintf("%s-%04d", s.Name, j)), FailureDomain: "kivukoni",
				Agent: address(i*n + j), Stream: address(i*n + j), Slots: 3, Weight: 1, State: currantturn.BackendActive,
			})
		}
		out = append(out, s)
	}
	return out
}

// heapBytes returns the size of the live heap. The second collection frees pooled
// objects, which survive the first one.
func heapBytes() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// BenchmarkView measures applying a configuration at a balancer: the memory that the
// configuration and the balancer's rankings use, and the time.
func BenchmarkView(b *testing.B) {
	for _, count := range []int{10, 100, 480} {
		b.Run(fmt.Sprintf("services=%d", count), func(b *testing.B) {
			hosts := float64(count * 20)
			var viewBytes, balancerBytes float64
			for b.Loop() {
				b.StopTimer()
				before := heapBytes()
				v := currantturn.NewView(1, services(count, 20))
				afterView := heapBytes()
				m := balancer.New(balancer.Options{Self: address(0), Key: key, MaxHints: 64})
				var out currantturn.Effects
				b.StartTimer()
				m.Configure(start, v, &out)
				b.StopTimer()
				viewBytes, balancerBytes = afterView-before, heapBytes()-afterView
				runtime.KeepAlive(v)
				runtime.KeepAlive(m)
				b.StartTimer()
			}
			b.ReportMetric(viewBytes/hosts, "view-B/host")
			b.ReportMetric(balancerBytes/hosts, "plan-B/host")
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/hosts, "ns/host")
		})
	}
}

// BenchmarkHints measures the memory of a hint at a balancer.
func BenchmarkHints(b *testing.B) {
	for _, n := range []int{1 << 14, 1 << 17} {
		b.Run(fmt.Sprintf("hints=%d", n), func(b *testing.B) {
			for b.Loop() {
				before := heapBytes()
				c := hint.New(n)
				for i := range uint64(2 * n) {
					c.Apply(hint.Hint{Hash: i * 0x9e3779b97f4a7c15, Holder: "service-001-0001"})
				}
				b.ReportMetric((heapBytes()-before)/float64(c.Len()), "B/hint")
				runtime.KeepAlive(c)
			}
		})
	}
}

// openingPacket returns an opening packet of the flow numbered n.
func openingPacket(n int) currantturn.Envelope {
	return currantturn.Envelope{
		Direction: currantturn.ToBackend,
		Packet: currantturn.Packet{
			Flow:    currantturn.FlowKey{Caller: address(1<<22 + n), Service: address(1 << 20)},
			Mark:    currantturn.MarkOpening,
			Payload: make([]byte, 1200),
		},
	}
}

// BenchmarkRoute measures how long a balancer takes to route an opening packet.
func BenchmarkRoute(b *testing.B) {
	for _, n := range []int{20, 1000} {
		b.Run(fmt.Sprintf("backends=%d", n), func(b *testing.B) {
			m := balancer.New(balancer.Options{Self: address(0), Key: key, MaxHints: 1 << 14})
			var out currantturn.Effects
			m.Configure(start, currantturn.NewView(1, services(1, n)), &out)
			e := openingPacket(1)
			b.ReportAllocs()
			for b.Loop() {
				out.Reset()
				m.Route(start, netip.AddrPort{}, &e, &out)
			}
		})
	}
}

// group holds all agents of a service. Their messages are delivered without delay.
type group struct {
	agents map[netip.AddrPort]*agent.Agent
	order  []netip.AddrPort
	now    time.Time
	bytes  int // of the messages sent
	sent   int // messages
	flows  int // opened so far
}

func newGroup(n int) *group {
	g := &group{agents: make(map[netip.AddrPort]*agent.Agent), now: start}
	v := currantturn.NewView(1, services(1, n))
	var out currantturn.Effects
	for i, s := range v.Services[0].Backends {
		a := agent.New(agent.Options{
			ID: s.ID, Service: v.Services[0].Name, Self: s.Agent, Key: key, Seed: uint64(i + 1),
			Load: func() currantturn.Load { return currantturn.Load{Running: 1, Slots: 3, Flows: 800} },
		})
		g.agents[s.Agent] = a
		g.order = append(g.order, s.Agent)
		a.Configure(g.now, v, &out)
	}
	return g
}

// deliver encodes and counts the messages in out, delivers them and the forwarded
// packets to their agents, and does the same with what the agents send in return.
// Other recipients are ignored.
func (g *group) deliver(from netip.AddrPort, out *currantturn.Effects) {
	for _, s := range out.Sends {
		p, err := message.Encode(s.Message)
		if err != nil {
			panic(err)
		}
		g.bytes += len(p)
		g.sent++
		to := g.agents[s.To]
		if to == nil {
			continue
		}
		m, err := message.Decode(p)
		if err != nil {
			panic(err)
		}
		var replies currantturn.Effects
		to.Handle(g.now, from, m, &replies)
		g.deliver(s.To, &replies)
	}
	for i := range out.Forwards {
		f := &out.Forwards[i]
		to := g.agents[f.To]
		if to == nil {
			continue
		}
		var replies currantturn.Effects
		to.Route(g.now, from, &f.Envelope, &replies)
		g.deliver(f.To, &replies)
	}
}

// run advances the clock by d and runs each agent's ticks.
func (g *group) run(d time.Duration) {
	var out currantturn.Effects
	for end := g.now.Add(d); g.now.Before(end); g.now = g.now.Add(currantturn.TickInterval) {
		for _, at := range g.order {
			out.Reset()
			g.agents[at].Tick(g.now, &out)
			g.deliver(at, &out)
		}
	}
}

// warmUp is long enough for the gossip about the start of all agents to end.
const warmUp = 60 * time.Second

// BenchmarkMembers measures what membership costs an agent without flows: time for
// decisions, encoding and decoding; messages and their bytes, without encryption
// overhead and packet headers; and memory.
func BenchmarkMembers(b *testing.B) {
	for _, n := range []int{20, 100, 1000} {
		b.Run(fmt.Sprintf("agents=%d", n), func(b *testing.B) {
			before := heapBytes()
			g := newGroup(n)
			g.run(warmUp)
			after := heapBytes()
			g.bytes, g.sent = 0, 0
			agentSeconds := 0.0
			for b.Loop() {
				g.run(time.Second)
				agentSeconds += float64(n)
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/agentSeconds, "ns/agent-s")
			b.ReportMetric(float64(g.bytes)/agentSeconds, "B/agent-s")
			b.ReportMetric(float64(g.sent)/agentSeconds, "messages/agent-s")
			b.ReportMetric((after-before)/float64(n)/1000, "kB/agent")
		})
	}
}

// BenchmarkFlows measures the memory of a flow at its agent, the time to place it, and
// the time that the agent's ticks take per second.
func BenchmarkFlows(b *testing.B) {
	for _, n := range []int{1000, 10000, 100000} {
		b.Run(fmt.Sprintf("flows=%d", n), func(b *testing.B) {
			var bytes float64
			var tickTime time.Duration
			for b.Loop() {
				b.StopTimer()
				g := newGroup(1)
				a := g.agents[g.order[0]]
				var out currantturn.Effects
				before := heapBytes()
				b.StartTimer()
				for i := range n {
					e := openingPacket(i)
					e.Service, e.Version, e.Balancer = "service-000", 1, address(1<<21)
					e.Ranks[0] = "service-000-0000"
					out.Reset()
					a.Route(g.now, e.Balancer, &e, &out)
				}
				b.StopTimer()
				out = currantturn.Effects{}
				bytes = heapBytes() - before
				if c := a.Counters(); n > 0 && c == (agent.Counters{}) {
					b.Fatal("no flow was placed")
				}
				tickStart := time.Now()
				g.run(time.Second)
				tickTime += time.Since(tickStart)
				runtime.KeepAlive(g)
				b.StartTimer()
			}
			b.ReportMetric(float64(tickTime.Nanoseconds())/float64(b.N), "tick-ns/s")
			b.ReportMetric(bytes/float64(n), "B/flow")
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/float64(n), "ns/flow")
		})
	}
}

// BenchmarkNotices measures how long a balancer takes to handle a notice that a
// backend server died: it ranks the service again and notifies other balancers.
func BenchmarkNotices(b *testing.B) {
	for _, n := range []int{20, 1000} {
		b.Run(fmt.Sprintf("backends=%d", n), func(b *testing.B) {
			m := balancer.New(balancer.Options{Self: address(0), Key: key, MaxHints: 64})
			var out currantturn.Effects
			m.Configure(start, currantturn.NewView(1, services(1, n)), &out)
			incarnation := uint64(0)
			for b.Loop() {
				incarnation++
				out.Reset()
				m.Handle(start, address(1), membership.Notice{Service: "service-000", Update: membership.Update{
					ID: "service-000-0001", State: membership.Dead, Incarnation: incarnation,
				}}, &out)
			}
		})
	}
}

// BenchmarkPlacing measures the control messages that the agents of a service send for
// a new flow, at 10 new flows per second and agent.
func BenchmarkPlacing(b *testing.B) {
	const agents, flows = 20, 10
	g := newGroup(agents)
	lb := balancer.New(balancer.Options{Self: address(1 << 21), Key: key, MaxHints: 1 << 10})
	var out currantturn.Effects
	lb.Configure(start, currantturn.NewView(1, services(1, agents)), &out)
	// runSecond simulates a second in which each agent gets n new flows, spread over 20 ticks.
	runSecond := func(n int) {
		for range 20 {
			for range n * agents / 20 {
				g.flows++
				e := openingPacket(g.flows)
				var effects currantturn.Effects
				lb.Route(g.now, netip.AddrPort{}, &e, &effects)
				g.deliver(address(1<<21), &effects)
			}
			g.run(currantturn.TickInterval)
		}
	}
	for range 60 { // warm-up
		runSecond(0)
	}
	g.bytes, g.sent = 0, 0
	for range 20 {
		runSecond(0)
	}
	idleBytes, idleSent := float64(g.bytes), float64(g.sent)
	g.bytes, g.sent = 0, 0
	for b.Loop() {
		for range 20 {
			runSecond(flows)
		}
	}
	n := float64(b.N)
	b.ReportMetric((float64(g.bytes)-n*idleBytes)/float64(g.flows), "B/flow")
	b.ReportMetric((float64(g.sent)-n*idleSent)/float64(g.flows), "messages/flow")
}
