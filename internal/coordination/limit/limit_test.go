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
	start       = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	key         = rank.Key{K0: 1, K1: 2}
	smallLimits = limit.Limits{FlowsPerSecond: 2, FlowBurst: 4, CallerFlows: 6, CallerRequests: 3, HostFlows: 10}
)

func addr(n int) netip.Addr {
	return netip.AddrFrom4([4]byte(binary.BigEndian.AppendUint32(nil, uint32(10<<24+n))))
}

var _ = Describe("limiter", func() {
	open := func(limiter *limit.Limiter, now time.Time, caller netip.Addr, times int) (last limit.Verdict) {
		for range times {
			last = limiter.OpenFlow(now, caller)
		}
		return last
	}

	It("limits the open flows of one caller", func() {
		limiter := limit.New(smallLimits, key)
		for i := range 100 {
			open(limiter, start.Add(time.Duration(i)*time.Second), addr(1), 50)
		}
		Expect(limiter.Counters().Flows).To(BeEquivalentTo(smallLimits.CallerFlows))
		Expect(open(limiter, start, addr(2), 1)).To(Equal(limit.Allowed))
	})

	It("limits the open flows of all callers together and allows new ones after others close", func() {
		limiter := limit.New(smallLimits, key)
		for i := range smallLimits.HostFlows {
			Expect(open(limiter, start, addr(i), 1)).To(Equal(limit.Allowed))
		}
		Expect(open(limiter, start, addr(99), 1)).To(Equal(limit.HostFlows))
		limiter.AdoptFlow(addr(99))
		Expect(limiter.Counters().Flows).To(BeEquivalentTo(smallLimits.HostFlows + 1))
		limiter.CloseFlow(addr(99))
		limiter.CloseFlow(addr(3))
		Expect(open(limiter, start, addr(99), 1)).To(Equal(limit.Allowed))
	})

	DescribeTable("counts addresses of one caller together", func(a, b string, same bool) {
		limiter := limit.New(smallLimits, key)
		Expect(open(limiter, start, netip.MustParseAddr(a), smallLimits.FlowBurst+1)).To(Equal(limit.CallerRate))
		want := limit.Allowed
		if same {
			want = limit.CallerRate
		}
		Expect(open(limiter, start, netip.MustParseAddr(b), 1)).To(Equal(want))
	},
		Entry("IPv4", "192.0.2.1", "192.0.2.1", true),
		Entry("IPv4-mapped IPv6", "192.0.2.1", "::ffff:192.0.2.1", true),
		Entry("two IPv4", "192.0.2.1", "192.0.2.2", false),
		Entry("one /64", "2001:db8:0:1::1", "2001:db8:0:1:ffff::2", true),
		Entry("zone", "fe80::1%a", "fe80::1%b", true),
		Entry("two /64", "2001:db8:0:1::1", "2001:db8:0:2::1", false),
	)

	It("applies changed limits and keeps flows above them", func() {
		limiter := limit.New(smallLimits, key)
		open(limiter, start, addr(1), 4)
		reduced := smallLimits
		reduced.CallerFlows, reduced.FlowBurst, reduced.FlowsPerSecond = 2, 1, 1
		limiter.Configure(reduced)
		Expect(open(limiter, start.Add(time.Hour), addr(1), 1)).To(Equal(limit.CallerFlows))
		Expect(limiter.Counters().Flows).To(BeEquivalentTo(4))
		for range 4 {
			limiter.CloseFlow(addr(1))
		}
		Expect(open(limiter, start.Add(time.Hour), addr(1), 1)).To(Equal(limit.Allowed))
		Expect(open(limiter, start.Add(time.Hour), addr(1), 1)).To(Equal(limit.CallerRate))
		limiter.Configure(limit.Limits{})
		open(limiter, start.Add(2*time.Hour), addr(1), 1)
		later := start.Add(2*time.Hour + time.Second)
		Expect(open(limiter, later, addr(1), limit.DefaultFlowsPerSecond)).To(Equal(limit.Allowed))
		Expect(open(limiter, later, addr(1), 1)).To(Equal(limit.CallerRate))
	})

	It("stores a bounded number of idle callers and never drops one with open flows", func() {
		limiter := limit.New(smallLimits, key)
		open(limiter, start, addr(0), 4)
		for i := range limit.MaxIdleCallers * 2 {
			open(limiter, start, addr(1+i), 1)
			limiter.CloseFlow(addr(1 + i))
		}
		c := limiter.Counters()
		Expect(c.Idle).To(BeNumerically("<=", limit.MaxIdleCallers))
		Expect(c.Holding).To(Equal(1))
		Expect(open(limiter, start, addr(0), 1)).To(Equal(limit.CallerRate))
	})

	It("counts unmatched ends and keeps the totals at zero", func() {
		limiter := limit.New(smallLimits, key)
		limiter.CloseFlow(addr(1))
		limiter.EndRequest(addr(1))
		Expect(limiter.Counters()).To(Equal(limit.Counters{Unmatched: 2, Idle: 1}))
		open(limiter, start, addr(1), 1)
		Expect(limiter.Counters()).To(Equal(limit.Counters{Unmatched: 2, Allowed: 1, Flows: 1, Holding: 1}))
	})

	It("drops a caller's opening packets above the limit and passes on all other packets", func() {
		limiter := limit.New(limit.Limits{OpeningsPerSecond: 10}, key)
		r := &router{}
		guard := limit.NewGuard(r, limiter)
		var out currantturn.Effects
		route := func(mark currantturn.Mark, hops uint8, d currantturn.Direction, port uint16) {
			guard.Route(start, netip.AddrPort{}, &currantturn.Envelope{Direction: d, Hops: hops, Packet: currantturn.Packet{
				Mark: mark, Flow: currantturn.FlowKey{Caller: netip.AddrPortFrom(addr(1), port)},
			}}, &out)
		}
		for port := range uint16(1000) {
			route(currantturn.MarkOpening, 0, currantturn.ToBackend, port)
		}
		Expect(r.routed).To(Equal(10))
		Expect(limiter.Counters().CallerOpenings).To(Equal(uint64(990)))
		Expect(event.Check(out.Events[0])).To(Succeed())
		route(currantturn.MarkOpening, 1, currantturn.ToBackend, 1)
		route(currantturn.MarkData, 0, currantturn.ToBackend, 1)
		route(currantturn.MarkOpening, 0, currantturn.ToCaller, 1)
		Expect(r.routed).To(Equal(13))
	})

	It("gives the same verdicts as a reference model without eviction", func() { rapid.Check(GinkgoT(), compareWithModel) })
})

// router counts the packets that reach it.
type router struct {
	currantturn.Router
	routed int
}

func (r *router) Route(time.Time, netip.AddrPort, *currantturn.Envelope, *currantturn.Effects) {
	r.routed++
}

// callerModel is the state of one caller in the reference model, which evicts
// nothing.
type callerModel struct {
	flows, requests int
	tokens          float64
	last            time.Time
}

// compareWithModel runs random operations on a limiter and on the reference
// model and compares their verdicts and totals.
func compareWithModel(t *rapid.T) {
	limiter := limit.New(smallLimits, key)
	callers := map[netip.Addr]*callerModel{}
	now, total := start, 0
	caller := func(t *rapid.T) (netip.Addr, *callerModel) {
		a := addr(rapid.IntRange(0, 4).Draw(t, "caller"))
		if callers[a] == nil {
			callers[a] = &callerModel{tokens: float64(smallLimits.FlowBurst), last: now}
		}
		return a, callers[a]
	}
	t.Repeat(map[string]func(*rapid.T){
		"wait": func(t *rapid.T) {
			now = now.Add(time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms")) * time.Millisecond)
		},
		"open": func(t *rapid.T) {
			a, c := caller(t)
			tokens := min(float64(smallLimits.FlowBurst), c.tokens+now.Sub(c.last).Seconds()*float64(smallLimits.FlowsPerSecond))
			want := limit.Allowed
			switch {
			case total >= smallLimits.HostFlows:
				want = limit.HostFlows
			case c.flows >= smallLimits.CallerFlows:
				want = limit.CallerFlows
			case tokens < 1-1e-6:
				want = limit.CallerRate
			default:
				c.tokens, c.last = tokens-1, now
				c.flows++
				total++
			}
			if got := limiter.OpenFlow(now, a); got != want {
				t.Fatalf("OpenFlow(%s): got %s, want %s", a, got, want)
			}
		},
		"close": func(t *rapid.T) {
			a, c := caller(t)
			if c.flows == 0 {
				t.Skip()
			}
			limiter.CloseFlow(a)
			c.flows--
			total--
		},
		"begin": func(t *rapid.T) {
			a, c := caller(t)
			want := limit.CallerRequests
			if c.requests < smallLimits.CallerRequests {
				want = limit.Allowed
				c.requests++
			}
			if got := limiter.BeginRequest(a); got != want {
				t.Fatalf("BeginRequest(%s): got %s, want %s", a, got, want)
			}
		},
		"end": func(t *rapid.T) {
			a, c := caller(t)
			if c.requests == 0 {
				t.Skip()
			}
			limiter.EndRequest(a)
			c.requests--
		},
		"": func(t *rapid.T) {
			holding := 0
			for _, c := range callers {
				holding += min(1, c.flows+c.requests)
			}
			if c := limiter.Counters(); c.Flows != int64(total) || c.Holding != holding || c.Unmatched != 0 {
				t.Fatalf("got %+v, want %d flows of %d callers", c, total, holding)
			}
		},
	})
}

func BenchmarkOpenAndCloseFlow(b *testing.B) {
	limiter := limit.New(limit.Limits{FlowsPerSecond: 1 << 30, FlowBurst: 1 << 30}, key)
	b.ReportAllocs()
	for i := range b.N {
		limiter.OpenFlow(start, addr(i%8192))
		limiter.CloseFlow(addr(i % 8192))
	}
}

// BenchmarkCallers measures the memory per caller with one open flow each.
func BenchmarkCallers(b *testing.B) {
	const callers = 10000
	var before, after runtime.MemStats
	var limiter *limit.Limiter
	for b.Loop() {
		runtime.GC()
		runtime.ReadMemStats(&before)
		limiter = limit.New(limit.Limits{}, key)
		for i := range callers {
			limiter.OpenFlow(start, addr(i))
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
	}
	if limiter.Counters().Holding != callers {
		b.Fatal("callers with open flows were dropped")
	}
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/callers, "B/caller")
}
