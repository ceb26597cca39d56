package flowbalancer_test

import (
	"time"

	"github.com/currantturn/currantturn"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("while the published state may come from a copy of the store", func() {
	It("open flows are served, new ones wait, and none is reset", func() {
		sim := startFleet(140, 1, 4, 20)
		sim.held = true
		sim.restartBalancer(sim.balancers[0])
		c := sim.addCaller(0)
		sim.run(300 * time.Millisecond)
		Expect(c.answerTimes).To(BeEmpty())
		answers, _ := sim.countAnswers(time.Second)
		sim.held = false
		sim.publish()
		sim.run(200 * time.Millisecond)
		Expect(c.answerTimes).To(HaveLen(1))
		after, _ := sim.countAnswers(time.Second)
		Expect(after).To(BeNumerically(">", answers))
		for _, c := range sim.callers {
			Expect(c.resets + c.failed + c.refused).To(BeZero())
		}
		Expect(sim.violations).To(BeEmpty())
	})

	It("a flow whose backend server and route the copy lacks is not reset", func() {
		sim := newSimulation(141)
		b := sim.addBackend(3)
		sim.addBalancer()
		sim.publish()
		c := sim.addCaller(5)
		sim.run(200 * time.Millisecond)
		known := sim.routing.Routes
		sim.held, b.registration.State = true, currantturn.BackendDraining
		sim.routing.Routes = nil
		sim.routing.Version++
		sim.restartBalancer(sim.balancers[0])
		sim.run(300 * time.Millisecond)
		sim.held, sim.routing.Routes = false, known
		sim.routing.Version++
		sim.publish()
		sim.run(2 * time.Second)
		Expect(c.resets + c.failed).To(BeZero())
		Expect(sim.violations).To(BeEmpty())
	})

	It("an address with two owners gets no new flows until the state is verified", func() {
		sim := newSimulation(142)
		first, second := sim.addBackend(3), sim.addBackend(3)
		other := sim.addBackend(3)
		second.registration.Address = first.registration.Address
		sim.addBalancer()
		sim.unverified = true
		sim.publish()
		for range 20 {
			sim.addCaller(0)
			sim.run(20 * time.Millisecond)
		}
		sim.run(time.Second)
		Expect(other.requestsRun).To(Equal(20))
		sim.unverified = false
		sim.publish()
		for range 20 {
			sim.addCaller(0)
			sim.run(20 * time.Millisecond)
		}
		sim.run(time.Second)
		Expect(other.requestsRun).To(BeNumerically("<", 40))
	})
})

// Guards against resets of flows on backend servers that an incomplete state lacks (review/4).
var _ = Describe("while the published state may lack backend servers", func() {
	It("a flow that no known one holds is not reset", func() {
		sim := newSimulation(143)
		b := sim.addBackend(3)
		sim.addBalancer()
		sim.publish()
		c := sim.addCaller(5)
		sim.run(200 * time.Millisecond)
		sim.addBackend(3)
		b.unlisted, sim.incomplete = true, true
		sim.restartBalancer(sim.balancers[0])
		sim.run(300 * time.Millisecond)
		b.unlisted, sim.incomplete = false, false
		sim.publish()
		sim.run(2 * time.Second)
		Expect(c.resets + c.failed).To(BeZero())
		Expect(len(c.answerTimes)).To(BeNumerically(">", 2))
		Expect(sim.violations).To(BeEmpty())
	})
})
