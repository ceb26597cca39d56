package limit_test

import (
	"encoding/binary"
	"net/netip"
	"runtime"
	"testing"
	"time"

	"github.com/currantturn/currantturn"
	"github.com/currantturn/currantturn/internal/coordination/limit"
	"github.com/currantturn/currantturn/internal/coordination/rank"
	"github.com/currantturn/currantturn/internal/event"
	"github.com/currantturn/currantturn/internal/suite"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

func TestLimit(t *testing.T) { suite.Run(t, "limit") }

var (
	start = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	key   = rank.Key{K0: 1, K1: 2}
	few   = limit.Limits{FlowsPerSecond: 2, FlowBurst: 4, CallerFlows: 6, CallerRequests: 3, HostFlows: 10}
)

func addr(n int) netip.Addr {
	return netip.AddrFrom4([4]byte(binary.BigEndian.AppendUint32(nil, uint32(10<<24+n))))
}

var _ = Describe("limiter", func() {
	open := func(m *limit.Limiter, now time.Time, caller netip.Addr, times int) (last limit.Verdict) {
		for range times {
			last = m.OpenFlow(now, caller)
		}
		return last
	}

	It("keeps one caller from filling a host", func() {
		m := limit.New(few, key)
		for i := range 100 {
			open(m, start.Add(time.Duration(i)*time.Second), addr(1), 50)
		}
		Expect(m.Counters().Flows).To(BeEquivalentTo(few.CallerFlows))
		Expect(open(m, start, addr(2), 1)).To(Equal(limit.Allowed))
	})

	It("bounds the flows of all callers together and frees them again", func() {
		m := limit.New(few, key)
		for i := range few.HostFlows {
			Expect(open(m, start, addr(i), 1)).To(Equal(limit.Allowed))
		}
		Expect(open(m, start, addr(99), 1)).To(Equal(limit.HostFlows))
		m.AdoptFlow(addr(99))
		Expect(m.Counters().Flows).To(BeEquivalentTo(few.HostFlows + 1))
		m.CloseFlow(addr(99))
		m.CloseFlow(addr(3))
		Expect(open(m, start, addr(99), 1)).To(Equal(limit.Allowed))
	})

	DescribeTable("takes addresses of one caller together", func(a, b string, same bool) {
		m := limit.New(few, key)
		Expect(open(m, start, netip.MustParseAddr(a), few.FlowBurst+1)).To(Equal(limit.CallerRate))
		want := limit.Allowed
		if same {
			want = limit.CallerRate
		}
		Expect(open(m, start, netip.MustParseAddr(b), 1)).To(Equal(want))
	},
		Entry("IPv4", "192.0.2.1", "192.0.2.1", true),
		Entry("IPv4 in IPv6", "192.0.2.1", "::ffff:192.0.2.1", true),
		Entry("neighbour", "192.0.2.1", "192.0.2.2", false),
		Entry("one /64", "2001:db8:0:1::1", "2001:db8:0:1:ffff::2", true),
		Entry("zone", "fe80::1%a", "fe80::1%b", true),
		Entry("two /64", "2001:db8:0:1::1", "2001:db8:0:2::1", false),
	)

	It("applies changed limits and breaks nothing above them", func() {
		m := limit.New(few, key)
		open(m, start, addr(1), 4)
		less := few
		less.CallerFlows, less.FlowBurst, less.FlowsPerSecond = 2, 1, 1
		m.Configure(less)
		Expect(open(m, start.Add(time.Hour), addr(1), 1)).To(Equal(limit.CallerFlows))
		Expect(m.Counters().Flows).To(BeEquivalentTo(4))
		for range 4 {
			m.CloseFlow(addr(1))
		}
		Expect(open(m, start.Add(time.Hour), addr(1), 1)).To(Equal(limit.Allowed))
		Expect(open(m, start.Add(time.Hour), addr(1), 1)).To(Equal(limit.CallerRate))
		m.Configure(limit.Limits{})
		open(m, start.Add(2*time.Hour), addr(1), 1)
		later := start.Add(2*time.Hour + time.Second)
		Expect(open(m, later, addr(1), limit.DefaultFlowsPerSecond)).To(Equal(limit.Allowed))
		Expect(open(m, later, addr(1), 1)).To(Equal(limit.CallerRate))
	})

	It("remembers a bounded number of callers and never forgets a holder", func() {
		m := limit.New(few, key)
		open(m, start, addr(0), 4)
		for i := range limit.MaxIdleCallers * 2 {
			open(m, start, addr(1+i), 1)
			m.CloseFlow(addr(1 + i))
		}
		c := m.Counters()
		Expect(c.Idle).To(BeNumerically("<=", limit.MaxIdleCallers))
		Expect(c.Holding).To(Equal(1))
		Expect(open(m, start, addr(0), 1)).To(Equal(limit.CallerRate))
	})

	It("counts ends without a beginning and stays at zero", func() {
		m := limit.New(few, key)
		m.CloseFlow(addr(1))
		m.EndRequest(addr(1))
		Expect(m.Counters()).To(Equal(limit.Counters{Unmatched: 2, Idle: 1}))
		open(m, start, addr(1), 1)
		Expect(m.Counters()).To(Equal(limit.Counters{Unmatched: 2, Allowed: 1, Flows: 1, Holding: 1}))
	})

	It("keeps a caller's opening packets from filling the router's table", func() {
		m := limit.New(limit.Limits{Openings: 10}, key)
		r := &router{}
		g := limit.NewGuard(r, m)
		var out currantturn.Effects
		route := func(mark currantturn.Mark, hops uint8, d currantturn.Direction, port uint16) {
			g.Route(start, netip.AddrPort{}, &currantturn.Envelope{Direction: d, Hops: hops, Packet: currantturn.Packet{
				Mark: mark, Flow: currantturn.FlowKey{Caller: netip.AddrPortFrom(addr(1), port)},
			}}, &out)
		}
		for port := range uint16(1000) {
			route(currantturn.MarkOpening, 0, currantturn.ToBackend, port)
		}
		Expect(r.routed).To(Equal(10))
		Expect(m.Counters().CallerOpenings).To(Equal(uint64(990)))
		Expect(event.Check(out.Events[0])).To(Succeed())
		route(currantturn.MarkOpening, 1, currantturn.ToBackend, 1)
		route(currantturn.MarkData, 0, currantturn.ToBackend, 1)
		route(currantturn.MarkOpening, 0, currantturn.ToCaller, 1)
		Expect(r.routed).To(Equal(13))
	})

	It("decides like a naive map", func() { rapid.Check(GinkgoT(), differ) })
})

// router counts what reaches it.
type router struct {
	currantturn.Router
	routed int
}

func (r *router) Route(time.Time, netip.AddrPort, *currantturn.Envelope, *currantturn.Effects) {
	r.routed++
}

// naive is one caller of the naive limiter, which forgets nothing.
type naive struct {
	flows, requests int
	tokens          float64
	last            time.Time
}

func differ(t *rapid.T) {
	m := limit.New(few, key)
	callers := map[netip.Addr]*naive{}
	now, total := start, 0
	caller := func(t *rapid.T) (netip.Addr, *naive) {
		a := addr(rapid.IntRange(0, 4).Draw(t, "caller"))
		if callers[a] == nil {
			callers[a] = &naive{tokens: float64(few.FlowBurst), last: now}
		}
		return a, callers[a]
	}
	t.Repeat(map[string]func(*rapid.T){
		"wait": func(t *rapid.T) {
			now = now.Add(time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms")) * time.Millisecond)
		},
		"open": func(t *rapid.T) {
			a, c := caller(t)
			tokens := min(float64(few.FlowBurst), c.tokens+now.Sub(c.last).Seconds()*float64(few.FlowsPerSecond))
			want := limit.Allowed
			switch {
			case total >= few.HostFlows:
				want = limit.HostFlows
			case c.flows >= few.CallerFlows:
				want = limit.CallerFlows
			case tokens < 1-1e-6:
				want = limit.CallerRate
			default:
				c.tokens, c.last = tokens-1, now
				c.flows++
				total++
			}
			if got := m.OpenFlow(now, a); got != want {
				t.Fatalf("%s: %s, not %s", a, got, want)
			}
		},
		"close": func(t *rapid.T) {
			a, c := caller(t)
			if c.flows == 0 {
				t.Skip()
			}
			m.CloseFlow(a)
			c.flows--
			total--
		},
		"begin": func(t *rapid.T) {
			a, c := caller(t)
			want := limit.CallerRequests
			if c.requests < few.CallerRequests {
				want = limit.Allowed
				c.requests++
			}
			if got := m.BeginRequest(a); got != want {
				t.Fatalf("%s: %s, not %s", a, got, want)
			}
		},
		"end": func(t *rapid.T) {
			a, c := caller(t)
			if c.requests == 0 {
				t.Skip()
			}
			m.EndRequest(a)
			c.requests--
		},
		"": func(t *rapid.T) {
			holding := 0
			for _, c := range callers {
				holding += min(1, c.flows+c.requests)
			}
			if c := m.Counters(); c.Flows != int64(total) || c.Holding != holding || c.Unmatched != 0 {
				t.Fatalf("%+v, not %d flows of %d callers", c, total, holding)
			}
		},
	})
}

func BenchmarkOpenAndCloseFlow(b *testing.B) {
	m := limit.New(limit.Limits{FlowsPerSecond: 1 << 30, FlowBurst: 1 << 30}, key)
	b.ReportAllocs()
	for i := range b.N {
		m.OpenFlow(start, addr(i%8192))
		m.CloseFlow(addr(i % 8192))
	}
}

// BenchmarkCallers measures the memory of callers that hold one flow each.
func BenchmarkCallers(b *testing.B) {
	const callers = 10000
	var before, after runtime.MemStats
	var m *limit.Limiter
	for b.Loop() {
		runtime.GC()
		runtime.ReadMemStats(&before)
		m = limit.New(limit.Limits{}, key)
		for i := range callers {
			m.OpenFlow(start, addr(i))
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
	}
	if m.Counters().Holding != callers {
		b.Fatal("callers were dropped")
	}
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/callers, "B/caller")
}
