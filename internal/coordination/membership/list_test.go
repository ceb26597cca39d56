package membership_test

import (
	"fmt"
	"net/netip"
	"time"

	"github.com/currantturn/currantturn"
	"github.com/currantturn/currantturn/internal/coordination/membership"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func id(i int) currantturn.BackendID { return currantturn.BackendID(fmt.Sprintf("b%d", i)) }

func link(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 7000)
}

func service(n int) *currantturn.Service {
	s := &currantturn.Service{Name: "verify"}
	for i := range n {
		s.Backends = append(s.Backends, currantturn.BackendServer{
			ID: id(i), Agent: link(i), Slots: 3, Weight: 1, State: currantturn.BackendActive,
		})
	}
	return s
}

func alive(i int, incarnation uint64) membership.Update {
	return membership.Update{ID: id(i), State: membership.Alive, Incarnation: incarnation}
}

var _ = Describe("membership", func() {
	var l *membership.List
	var out *currantturn.Effects
	now := start
	BeforeEach(func() {
		l = membership.New(membership.Options{ID: id(0), Service: "verify", Seed: 1})
		l.Configure(start, 1, service(4))
		out = new(currantturn.Effects)
		now = start
	})
	// run ticks for the given time; all peers except the unresponsive one reply to probes.
	run := func(d time.Duration, unresponsive int) (renewed bool) {
		for end := now.Add(d); now.Before(end); now = now.Add(currantturn.TickInterval) {
			out.Reset()
			l.Tick(now, currantturn.Load{}, out)
			renewed = renewed || len(out.SocketRenewals) > 0
			for _, s := range out.Sends {
				i := int(s.To.Addr().As4()[3])
				if p, ok := s.Message.(membership.Ping); ok && i != unresponsive {
					l.Handle(now, s.To, membership.Ack{Seq: p.Seq, Version: 1, From: alive(i, 1<<20)}, new(currantturn.Effects))
				}
			}
		}
		return renewed
	}
	state := func(i int) membership.State {
		m, _ := l.Get(id(i))
		return m.State
	}

	It("renews the channel of an unresponsive peer, suspects it, then declares it dead", func() {
		states := []membership.State{}
		renewed := false
		for range 200 {
			renewed = run(currantturn.TickInterval, 2) || renewed
			s := state(2)
			if s != membership.Alive {
				Expect(renewed).To(BeTrue(), "suspected before the channel was renewed")
			}
			if len(states) == 0 || states[len(states)-1] != s {
				states = append(states, s)
			}
		}
		Expect(states).To(Equal([]membership.State{membership.Alive, membership.Suspect, membership.Dead}))
		Expect(state(1)).To(Equal(membership.Alive))
		Expect(l.Gone()).To(HaveLen(1))
	})

	It("suspects no peer after a pause of its own process", func() {
		run(time.Second, -1)
		now = now.Add(time.Minute)
		run(currantturn.TickInterval, -1)
		Expect(l.Stale(now)).To(BeTrue())
		Expect(l.Counters().Suspicions).To(BeZero())
		Expect(l.Counters().Pauses).To(BeEquivalentTo(1))
		run(membership.StaleFor+time.Second, -1)
		Expect(l.Stale(now)).To(BeFalse())
	})

	It("refutes a suspicion about itself with a higher incarnation", func() {
		u := membership.Update{ID: id(0), State: membership.Suspect, Incarnation: 1 << 62}
		l.Handle(now, link(1), membership.Ping{Seq: 1, From: alive(1, 1), Updates: []membership.Update{u}}, out)
		ack := out.Sends[0].Message.(membership.Ack)
		Expect(ack.From.State).To(Equal(membership.Alive))
		Expect(ack.From.Incarnation).To(BeNumerically(">", u.Incarnation))
	})

	DescribeTable("orders updates about a member", func(u, old membership.Update, want bool) {
		Expect(u.Newer(old)).To(Equal(want))
	},
		Entry("higher incarnation", alive(1, 3), membership.Update{State: membership.Dead, Incarnation: 2}, true),
		Entry("lower incarnation", membership.Update{State: membership.Dead, Incarnation: 1}, alive(1, 2), false),
		Entry("worse state", membership.Update{State: membership.Suspect, Incarnation: 2}, alive(1, 2), true),
		Entry("better state", alive(1, 2), membership.Update{State: membership.Suspect, Incarnation: 2}, false),
		Entry("leaving", membership.Update{State: membership.Alive, Leaving: true, Incarnation: 2}, alive(1, 2), true),
		Entry("the same", alive(1, 2), alive(1, 2), false),
	)

	It("leaves when it is draining in a peer's newer version, until it has a newer version itself", func() {
		l.Handle(now, link(1), membership.Ping{Seq: 1, Version: 2, From: alive(1, 1), Draining: true}, out)
		Expect(l.Leaving()).To(BeTrue())
		l.Configure(now, 3, service(4))
		Expect(l.Leaving()).To(BeFalse())
	})

	It("treats many deaths at once as a partition", func() {
		run(time.Second, -1)
		for i := 1; i < 4; i++ {
			u := membership.Update{ID: id(i), State: membership.Dead, Incarnation: 1 << 21}
			l.Handle(now, link(1), membership.Ping{From: alive(9, 1), Updates: []membership.Update{u}}, out)
			later := now.Add(membership.DeadGrace)
			Expect(l.Lost(later, id(1))).To(Equal(i == 1), fmt.Sprint(i, " dead"))
		}
		Expect(l.PartitionLikely(now)).To(BeTrue())
	})
})
