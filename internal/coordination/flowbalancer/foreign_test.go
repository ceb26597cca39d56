package flowbalancer_test

import (
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
