package flowbalancer_test

import (
	"net/netip"
	"time"

	"github.com/currantturn/currantturn"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// Another writer may publish registrations of services that no route leads to.
var _ = Describe("a registration of a service without a route", func() {
	It("does not displace the backend server that has the same address", func() {
		sim := startFleet(41, 2, 2, 20)
		for _, id := range []currantturn.BackendID{"verify-00", "verify-01"} {
			foreign := sim.addBackendOf("elsewhere", 3)
			foreign.registration.Address = sim.backends[id].registration.Address
			foreign.registration.CreatedRevision = 1000
			foreign.registration.StartedAt = sim.now
		}
		sim.publish()
		for range 20 {
			sim.addCaller(300 * time.Millisecond)
			sim.run(20 * time.Millisecond)
		}
		sim.restartAll()
		sim.run(2 * time.Second)
		Expect(sim.violations).To(BeEmpty())
		for _, c := range sim.callers {
			Expect(c.refused + c.resets + c.failed).To(BeZero())
			Expect(c.answerTimes).NotTo(BeEmpty())
		}
	})

	// Guards against resets of open flows (review/11): a balancer that has just started reads
	// the other writer's entry first, and the backend server's own one as a conflicting one.
	It("does not hide the backend server that has registered under the same ID", func() {
		sim := startFleet(43, 2, 3, 30)
		b := sim.backends["verify-01"]
		own := b.registration
		b.replacement = &own
		b.registration.Service, b.registration.Address = "elsewhere", netip.MustParseAddrPort("10.9.9.9:9")
		sim.publish()
		sim.restartBalancer(sim.balancers[0])
		sim.run(2 * time.Second)
		Expect(sim.violations).To(BeEmpty())
		for _, c := range sim.callers {
			Expect(c.resets + c.failed).To(BeZero())
		}
	})

	// Nothing at its address answers, which proves nothing of a backend server that may
	// hold flows.
	It("is not waited for by searches once it is known which services the routes led to", func() {
		sim := startFleet(42, 2, 4, 20)
		foreign := sim.addBackendOf("elsewhere", 3)
		sim.isolate(foreign.address.Addr())
		sim.recorded = time.Minute
		sim.publish()
		sim.run(time.Second)
		for _, b := range sim.backends {
			b.crash()
		}
		sim.restartAll()
		sim.run(time.Second)
		for _, c := range sim.callers {
			Expect(c.resets).To(Equal(1))
		}
		Expect(sim.searchedFor["elsewhere"]).To(BeZero())
	})
})

var _ = Describe("a backend server whose registration can't be read", func() {
	// Guards against resets of open flows (review/12): its agent is restarted as planned, and
	// answers nothing meanwhile.
	DescribeTable("is not taken for ended while its agent is silent", func(unusable bool) {
		sim := startFleet(44, 2, 3, 30)
		b := sim.backends["verify-01"]
		sim.run(time.Second)
		b.removedAt, b.unusable = sim.now, unusable
		sim.publish()
		sim.isolate(b.address.Addr())
		sim.run(1200 * time.Millisecond)
		sim.drop = nil
		sim.restartAgent(b, false)
		sim.run(3 * time.Second)
		Expect(len(sim.violations) == 0).To(Equal(unusable), "%v", sim.violations)
	},
		Entry("since something else stands under its ID", true),
		Entry("unlike one whose registration is gone, and whose agent does not answer", false),
	)
})
