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

func address(n int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte(binary.BigEndian.AppendUint32(nil, uint32(10<<24+n)))), 7000)
}

// services returns the given number of services of n backend servers each.
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

func heap() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// BenchmarkView measures a configuration in force at a balancer: its memory and
// the time to prepare it.
func BenchmarkView(b *testing.B) {
	for _, count := range []int{10, 100, 480} {
		b.Run(fmt.Sprintf("services=%d", count), func(b *testing.B) {
			hosts := float64(count * 20)
			var view, plan float64
			for b.Loop() {
				b.StopTimer()
				before := heap()
				v := currantturn.NewView(1, services(count, 20))
				middle := heap()
				m := balancer.New(balancer.Options{Self: address(0), Key: key, Hints: 64})
				var out currantturn.Effects
				b.StartTimer()
				m.Configure(start, v, &out)
				b.StopTimer()
				view, plan = middle-before, heap()-middle
				runtime.KeepAlive(v)
				runtime.KeepAlive(m)
				b.StartTimer()
			}
			b.ReportMetric(view/hosts, "view-B/host")
			b.ReportMetric(plan/hosts, "plan-B/host")
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/hosts, "ns/host")
		})
	}
}

// BenchmarkHints measures the memory of a balancer's hint.
func BenchmarkHints(b *testing.B) {
	for _, n := range []int{1 << 14, 1 << 17} {
		b.Run(fmt.Sprintf("hints=%d", n), func(b *testing.B) {
			for b.Loop() {
				before := heap()
				c := hint.New(n)
				for i := range uint64(2 * n) {
					c.Put(hint.Hint{Hash: i * 0x9e3779b97f4a7c15, Holder: "service-001-0001"})
				}
				b.ReportMetric((heap()-before)/float64(c.Len()), "B/hint")
				runtime.KeepAlive(c)
			}
		})
	}
}

func packet(n int) currantturn.Envelope {
	return currantturn.Envelope{
		Direction: currantturn.ToBackend,
		Packet: currantturn.Packet{
			Flow:    currantturn.FlowKey{Caller: address(1<<22 + n), Service: address(1 << 20)},
			Mark:    currantturn.MarkOpening,
			Payload: make([]byte, 1200),
		},
	}
}

// BenchmarkRoute measures the decision on one packet at a balancer.
func BenchmarkRoute(b *testing.B) {
	for _, n := range []int{20, 1000} {
		b.Run(fmt.Sprintf("backends=%d", n), func(b *testing.B) {
			m := balancer.New(balancer.Options{Self: address(0), Key: key, Hints: 1 << 14})
			var out currantturn.Effects
			m.Configure(start, currantturn.NewView(1, services(1, n)), &out)
			e := packet(1)
			b.ReportAllocs()
			for b.Loop() {
				out.Reset()
				m.Route(start, netip.AddrPort{}, &e, &out)
			}
		})
	}
}

// group is all agents of one service, whose messages arrive at once.
type group struct {
	agents map[netip.AddrPort]*agent.Agent
	order  []netip.AddrPort
	now    time.Time
	bytes  int
	sent   int
	flows  int
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

func (g *group) carry(from netip.AddrPort, out *currantturn.Effects) {
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
		var more currantturn.Effects
		to.Handle(g.now, from, m, &more)
		g.carry(s.To, &more)
	}
	for i := range out.Forwards {
		f := &out.Forwards[i]
		to := g.agents[f.To]
		if to == nil {
			continue
		}
		var more currantturn.Effects
		to.Route(g.now, from, &f.Envelope, &more)
		g.carry(f.To, &more)
	}
}

func (g *group) run(d time.Duration) {
	var out currantturn.Effects
	for end := g.now.Add(d); g.now.Before(end); g.now = g.now.Add(currantturn.TickEvery) {
		for _, at := range g.order {
			out.Reset()
			g.agents[at].Tick(g.now, &out)
			g.carry(at, &out)
		}
	}
}

// warmUp lets the gossip of the start run out.
const warmUp = 60 * time.Second

// BenchmarkMembers measures what an agent without flows spends on its peers:
// decisions and codec, messages and their bytes before seal and headers.
func BenchmarkMembers(b *testing.B) {
	for _, n := range []int{20, 100, 1000} {
		b.Run(fmt.Sprintf("agents=%d", n), func(b *testing.B) {
			before := heap()
			g := newGroup(n)
			g.run(warmUp)
			after := heap()
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

// BenchmarkFlows measures the memory and time of a flow that an agent holds,
// and what its ticks cost in a second.
func BenchmarkFlows(b *testing.B) {
	for _, n := range []int{1000, 10000, 100000} {
		b.Run(fmt.Sprintf("flows=%d", n), func(b *testing.B) {
			var bytes float64
			var tick time.Duration
			for b.Loop() {
				b.StopTimer()
				g := newGroup(1)
				a := g.agents[g.order[0]]
				var out currantturn.Effects
				before := heap()
				b.StartTimer()
				for i := range n {
					e := packet(i)
					e.Service, e.Version, e.Balancer = "service-000", 1, address(1<<21)
					e.Ranks[0] = "service-000-0000"
					out.Reset()
					a.Route(g.now, e.Balancer, &e, &out)
				}
				b.StopTimer()
				out = currantturn.Effects{}
				bytes = heap() - before
				if c := a.Counters(); n > 0 && c == (agent.Counters{}) {
					b.Fatal("no flow was placed")
				}
				ticks := time.Now()
				g.run(time.Second)
				tick += time.Since(ticks)
				runtime.KeepAlive(g)
				b.StartTimer()
			}
			b.ReportMetric(float64(tick.Nanoseconds())/float64(b.N), "tick-ns/s")
			b.ReportMetric(bytes/float64(n), "B/flow")
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/float64(n), "ns/flow")
		})
	}
}

// BenchmarkNotices measures what a balancer spends on the news that a backend
// server died: ranking its service anew and telling other balancers.
func BenchmarkNotices(b *testing.B) {
	for _, n := range []int{20, 1000} {
		b.Run(fmt.Sprintf("backends=%d", n), func(b *testing.B) {
			m := balancer.New(balancer.Options{Self: address(0), Key: key, Hints: 64})
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

// BenchmarkPlacing measures the control messages that a new flow costs the
// agents of its service, at 10 new flows a second and agent.
func BenchmarkPlacing(b *testing.B) {
	const agents, flows = 20, 10
	g := newGroup(agents)
	front := balancer.New(balancer.Options{Self: address(1 << 21), Key: key, Hints: 1 << 10})
	var out currantturn.Effects
	front.Configure(start, currantturn.NewView(1, services(1, agents)), &out)
	second := func(n int) {
		for range 20 {
			for range n * agents / 20 {
				g.flows++
				e := packet(g.flows)
				var more currantturn.Effects
				front.Route(g.now, netip.AddrPort{}, &e, &more)
				g.carry(address(1<<21), &more)
			}
			g.run(currantturn.TickEvery)
		}
	}
	for range 60 {
		second(0)
	}
	g.bytes, g.sent = 0, 0
	for range 20 {
		second(0)
	}
	bytes, sent := float64(g.bytes), float64(g.sent)
	g.bytes, g.sent = 0, 0
	for b.Loop() {
		for range 20 {
			second(flows)
		}
	}
	n := float64(b.N)
	b.ReportMetric((float64(g.bytes)-n*bytes)/float64(g.flows), "B/flow")
	b.ReportMetric((float64(g.sent)-n*sent)/float64(g.flows), "messages/flow")
}
