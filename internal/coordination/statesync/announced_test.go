package statesync_test

import (
	"net/netip"
	"strings"
	"time"

	"github.com/currantturn/currantturn"
	"github.com/currantturn/currantturn/internal/coordination/statesync"
	"github.com/currantturn/currantturn/internal/protocol/relay"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// agentAt returns the link address of the n-th agent.
func agentAt(n int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(n >> 16), byte(n >> 8), byte(n)}), 7120)
}

var _ = Describe("announced agents", func() {
	announce := relay.Announce{Service: "verify", FailureDomain: "hall-a"}

	It("reach all balancers while the store does not answer", func() {
		f := newFleet(4)
		f.readRefused = func(int) bool { return true }
		f.run(time.Second)
		for n := range 5 {
			Expect(f.balancers[0].feed.HandleAnnounce(f.now, agentAt(n), announce)).To(BeTrue())
		}
		Expect(f.balancers[0].feed.HandleAnnounce(f.now, agentAt(1), announce)).To(BeFalse(), "it is known")
		f.run(time.Second)
		for _, b := range f.balancers {
			s := b.feed.State(f.now)
			Expect(s.Routing).To(BeNil())
			Expect(s.Announced).To(HaveLen(5))
			Expect(s.Announced[1].Agent).To(Equal(agentAt(1)))
			Expect(s.Announced[1].Service).To(Equal(announce.Service))
		}
		pulls := f.pulls
		f.run(5 * time.Second)
		Expect(f.pulls).To(Equal(pulls), "all balancers have the same agents")
	})

	It("are dropped when they do not announce themselves again", func() {
		f := newFleet(1)
		f.readRefused = func(int) bool { return true }
		f.balancers[0].feed.HandleAnnounce(f.now, agentAt(1), announce)
		f.run(10 * time.Second)
		Expect(f.balancers[0].feed.State(f.now).Announced).To(HaveLen(1))
		f.run(10 * time.Second)
		Expect(f.balancers[0].feed.State(f.now).Announced).To(BeEmpty())
	})

	// A registration that lapsed in an outage is back within about two seconds. An agent
	// without one after that has no backend server, and must not delay the reset of lost
	// flows.
	It("are part of a published state only soon after it was read, and while they are not registered", func() {
		f := newFleet(1)
		f.servers[0].Address = netip.AddrPortFrom(agentAt(1).Addr(), 8080)
		f.run(time.Second)
		Expect(f.balancers[0].feed.HandleAnnounce(f.now, agentAt(1), announce)).To(BeFalse())
		Expect(f.balancers[0].feed.HandleAnnounce(f.now, agentAt(2), announce)).To(BeTrue())
		s := f.balancers[0].feed.State(f.now)
		Expect(s.Announced).To(HaveLen(1))
		Expect(s.Announced[0].Agent).To(Equal(agentAt(2)))
		f.run(2 * time.Second)
		Expect(f.balancers[0].feed.State(f.now).Announced).To(BeEmpty())
		Expect(f.balancers[0].feed.HandleAnnounce(f.now, agentAt(3), announce)).To(BeFalse())
		f.readRefused = func(int) bool { return true }
		f.run(2 * time.Second)
		f.readRefused = nil
		f.run(2 * time.Second)
		Expect(f.balancers[0].feed.State(f.now).Announced).To(HaveLen(2))
	})

	It("are ignored if their names are missing or too long", func() {
		f := newFleet(1)
		for _, service := range []currantturn.ServiceName{"", currantturn.ServiceName(strings.Repeat("x", 64))} {
			Expect(f.balancers[0].feed.HandleAnnounce(f.now, agentAt(1), relay.Announce{Service: service})).To(BeFalse())
		}
		Expect(f.balancers[0].feed.State(f.now).Announced).To(BeEmpty())
	})

	It("are bounded in number", func() {
		feed := statesync.New(time.Unix(1_000_000, 0), statesync.Options{ApplyWithin: applyWithin})
		now := time.Unix(1_000_001, 0)
		for n := range 1<<14 + 100 {
			feed.HandleAnnounce(now, agentAt(n), relay.Announce{Service: currantturn.ServiceName("verify")})
		}
		Expect(feed.State(now).Announced).To(HaveLen(1 << 14))
		Expect(feed.Counters(now).Announced).To(BeEquivalentTo(1<<14 + 100))
	})
})
