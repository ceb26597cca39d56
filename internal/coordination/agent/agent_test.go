package agent_test

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/currantturn/currantturn"
	"github.com/currantturn/currantturn/internal/coordination/agent"
	"github.com/currantturn/currantturn/internal/coordination/membership"
	"github.com/currantturn/currantturn/internal/coordination/rank"
	"github.com/currantturn/currantturn/internal/suite"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestAgent(t *testing.T) { suite.Run(t, "agent") }

var (
	start        = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	serviceAddr  = netip.MustParseAddrPort("10.9.0.1:443")
	balancerAddr = netip.MustParseAddrPort("10.8.0.1:7000")
	key          = rank.Key{K0: 5}
)

func linkAddr(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 7000)
}

func id(i int) currantturn.BackendID { return currantturn.BackendID(fmt.Sprintf("b%04d", i)) }

func view(v currantturn.Version, n int) *currantturn.View {
	s := currantturn.Service{Name: "verify", Addresses: []netip.AddrPort{serviceAddr}}
	for i := range n {
		s.Backends = append(s.Backends, currantturn.BackendServer{
			ID: id(i), Agent: linkAddr(i), Slots: 3, Weight: 1, State: currantturn.BackendActive,
		})
	}
	return currantturn.NewView(v, []currantturn.Service{s})
}

func newAgent(i int, v *currantturn.View) *agent.Agent {
	a := agent.New(agent.Options{ID: id(i), Service: "verify", Self: linkAddr(i), Key: key, ReportViolations: true})
	a.Configure(start, v, new(currantturn.Effects))
	return a
}

func callerAddr(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{192, 168, byte(i >> 8), byte(i)}), 5000)
}

// flowWithHomes returns a flow whose home is before among few backend servers and
// after among more.
func flowWithHomes(few, more int, before, after currantturn.BackendID) currantturn.FlowKey {
	a, b := rank.NewTable(&view(1, few).Services[0]), rank.NewTable(&view(1, more).Services[0])
	for i := range 1 << 16 {
		f := currantturn.FlowKey{Caller: callerAddr(i), Service: serviceAddr}
		if a.Owner(key.HashFlow(f)).ID == before && b.Owner(key.HashFlow(f)).ID == after {
			return f
		}
	}
	panic("no flow has the given homes")
}

func packet(f currantturn.FlowKey, m currantturn.Mark, ranks ...currantturn.BackendID) *currantturn.Envelope {
	e := &currantturn.Envelope{
		Direction: currantturn.ToBackend, Service: "verify", Balancer: balancerAddr,
		Packet: currantturn.Packet{Flow: f, Mark: m, Payload: []byte{0}},
	}
	copy(e.Ranks[:], ranks)
	return e
}

// queriesIn returns the receivers of the queries in out, and the last query.
func queriesIn(out *currantturn.Effects) (to []netip.AddrPort, q agent.Query) {
	for _, s := range out.Sends {
		if m, ok := s.Message.(agent.Query); ok {
			to, q = append(to, s.To), m
		}
	}
	return to, q
}

var settled = start.Add(5 * time.Second) // the membership list is no longer stale after the start

var _ = Describe("agent", func() {
	var out *currantturn.Effects
	BeforeEach(func() { out = new(currantturn.Effects) })

	It("queries the earlier home before it places a flow, and forwards to the holder in its reply", func() {
		f := flowWithHomes(3, 4, id(1), id(3))
		a := newAgent(3, view(1, 3))
		a.Configure(settled, view(2, 4), out)
		a.Route(settled, balancerAddr, packet(f, currantturn.MarkOpening, id(3)), out)
		to, q := queriesIn(out)
		Expect(to).To(Equal([]netip.AddrPort{linkAddr(1)}))
		Expect(q.Opening).To(BeTrue())
		Expect(out.Forwards).To(BeEmpty())
		Expect(out.Deliveries).To(BeEmpty())

		out.Reset()
		a.Handle(settled, linkAddr(1), agent.Reply{From: id(1), Key: q.Key, Holder: id(2)}, out)
		Expect(out.Forwards).To(HaveLen(1))
		Expect(out.Forwards[0].To).To(Equal(linkAddr(2)))
		Expect(out.Forwards[0].Envelope.Intent).To(Equal(currantturn.IntentHeld))
	})

	It("queries every agent for the holder of an unknown flow before it delivers a packet to be reset", func() {
		f := flowWithHomes(5, 5, id(0), id(0))
		a := newAgent(0, view(1, 5))
		queried := map[netip.AddrPort]bool{}
		a.Route(settled, balancerAddr, packet(f, currantturn.MarkData, id(0)), out)
		for len(queried) < 4 {
			Expect(out.Deliveries).To(BeEmpty())
			to, q := queriesIn(out)
			Expect(to).NotTo(BeEmpty())
			out.Reset()
			for _, peer := range to {
				queried[peer] = true
				i := int(peer.Addr().As4()[3])
				a.Handle(settled, peer, agent.Reply{From: id(i), Key: q.Key}, out)
			}
		}
		Expect(out.Deliveries).To(HaveLen(1))
	})

	It("announces a held flow to its ranks, and to the new ranks of a later configuration", func() {
		a := newAgent(0, view(1, 3))
		e := packet(flowWithHomes(3, 4, id(1), id(3)), currantturn.MarkOpening)
		e.Intent = currantturn.IntentPlace
		a.Route(settled, linkAddr(1), e, out)
		Expect(out.Deliveries).To(HaveLen(1))
		Expect(announcedTo(a, settled)).To(ContainElement(linkAddr(1)))
		a.Configure(settled, view(2, 4), out)
		Expect(announcedTo(a, settled.Add(time.Second))).To(ContainElement(linkAddr(3)))
	})

	It("forwards new work as soon as it is leaving", func() {
		a := newAgent(0, view(1, 3))
		a.SetLeaving(settled, true, out)
		for i := range 50 {
			e := packet(currantturn.FlowKey{Caller: callerAddr(i), Service: serviceAddr}, currantturn.MarkOpening)
			e.Intent = currantturn.IntentPlace
			a.Route(settled, linkAddr(1), e, out)
		}
		Expect(out.Deliveries).To(BeEmpty())
		Expect(out.Forwards).To(HaveLen(50))
		Expect(a.Counters().Violations).To(BeZero())
	})

	It("drops packets of other services and packets that passed too many agents", func() {
		a := newAgent(0, view(1, 3))
		e := packet(flowWithHomes(3, 3, id(0), id(0)), currantturn.MarkOpening)
		e.Service = "reports"
		a.Route(settled, balancerAddr, e, out)
		e.Service, e.Hops = "verify", 8
		a.Route(settled, balancerAddr, e, out)
		Expect(out.Deliveries).To(BeEmpty())
		Expect(out.Forwards).To(BeEmpty())
		Expect(a.Counters().ForeignService).To(BeEquivalentTo(1))
		Expect(a.Counters().HopLimit).To(BeEquivalentTo(1))
	})

	It("keeps the flow table within its limit", func() {
		a := agent.New(agent.Options{ID: id(0), Service: "verify", Self: linkAddr(0), Key: key, MaxRecords: 64})
		a.Configure(start, view(1, 1), out)
		for i := range 1000 {
			a.Route(settled, balancerAddr, packet(currantturn.FlowKey{Caller: callerAddr(i), Service: serviceAddr}, currantturn.MarkOpening, id(0)), out)
		}
		Expect(a.Counters().Records).To(BeNumerically("<=", 64))
		Expect(a.Counters().TableFull).To(BeNumerically(">", 900))
	})

	It("sends answers through recently active balancers, and not through unresponsive ones", func() {
		a := newAgent(0, view(1, 1))
		other := netip.MustParseAddrPort("10.8.0.2:7000")
		third := netip.MustParseAddrPort("10.8.0.3:7000")
		f := flowWithHomes(1, 1, id(0), id(0))
		for i, b := range []netip.AddrPort{balancerAddr, other, third} {
			e := packet(f, currantturn.MarkOpening, id(0))
			e.Balancer = b
			a.Route(settled.Add(time.Duration(i)*10*time.Second), b, e, out)
		}
		now := settled.Add(21 * time.Second)
		answers := map[netip.AddrPort]int{}
		for step := range 40 {
			now = now.Add(currantturn.TickInterval)
			out.Reset()
			a.Tick(now, out)
			for _, s := range out.Sends {
				if echo, ok := s.Message.(membership.Echo); ok && s.To != balancerAddr {
					a.Handle(now, s.To, membership.EchoReply{Seq: echo.Seq}, new(currantturn.Effects))
				}
			}
			out.Reset()
			a.Answer(now, &currantturn.Packet{Flow: f}, out)
			if step >= 10 {
				answers[out.Forwards[0].To]++
			}
		}
		Expect(answers).NotTo(HaveKey(balancerAddr))
		Expect(answers).To(HaveLen(2))
	})
})

// announcedTo ticks the agent for a second and returns the receivers of its
// announcements.
func announcedTo(a *agent.Agent, now time.Time) (to []netip.AddrPort) {
	for range 20 {
		now = now.Add(currantturn.TickInterval)
		out := new(currantturn.Effects)
		a.Tick(now, out)
		for _, s := range out.Sends {
			if _, ok := s.Message.(agent.Announce); ok {
				to = append(to, s.To)
			}
		}
	}
	return to
}
