package flowbalancer_test

import (
	"time"

	"github.com/currantturn/currantturn/internal/event"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("after a restart of all processes while the store does not answer", func() {
	// startOutage returns a simulation in which all processes have just restarted while
	// their backend servers ran on, and nothing is published.
	startOutage := func(seed uint64) *simulation {
		sim := startFleet(seed, 2, 8, 40)
		sim.storeDown = true
		sim.restartAll()
		return sim
	}

	It("open flows are served again", func() {
		for seed := range uint64(5) {
			sim := startOutage(100 + seed)
			sim.run(time.Second)
			before, _ := sim.countAnswers(time.Second)
			sim.run(2 * time.Second)
			after, timely := sim.countAnswers(time.Second)
			Expect(sim.eventCounts[event.AgentsAnnounced]).To(Equal(2), "once at each balancer")
			Expect(after-before).To(BeNumerically(">", 40*5), "answers in two seconds, of some 250")
			Expect(timely).To(BeNumerically(">", after-45))
			Expect(sim.violations).To(BeEmpty())
			for _, c := range sim.callers {
				Expect(c.resets + c.failed).To(BeZero())
			}
		}
	})

	It("new flows go to backend servers that hold flows of their address", func() {
		sim := startOutage(110)
		sim.run(time.Second)
		for range 20 {
			c := sim.addCaller(0)
			sim.run(200 * time.Millisecond)
			Expect(c.answerTimes).To(HaveLen(1))
		}
		Expect(sim.violations).To(BeEmpty())
	})

	It("new flows of an address that no known backend server has flows of are refused after a short time", func() {
		sim := startFleet(111, 2, 8, 0)
		sim.storeDown = true
		sim.restartAll()
		c := sim.addCaller(0)
		sim.run(900 * time.Millisecond)
		Expect(c.refused).To(BeZero())
		sim.run(200 * time.Millisecond)
		Expect(c.refused).To(Equal(1))
	})

	It("flows are not reset although all known agents deny them, since others may be unknown", func() {
		sim := startFleet(112, 2, 8, 40)
		for _, b := range sim.backends {
			b.crash()
		}
		sim.storeDown = true
		sim.restartAll()
		sim.run(2 * time.Second)
		for _, c := range sim.callers {
			Expect(c.resets).To(BeZero())
		}
	})

	It("flows keep their backend server when the state is published again", func() {
		sim := startOutage(113)
		sim.run(2 * time.Second)
		sim.storeDown = false
		sim.publish()
		sim.run(2 * time.Second)
		Expect(sim.violations).To(BeEmpty())
		for _, c := range sim.callers {
			Expect(c.resets + c.failed).To(BeZero())
		}
		c := sim.addCaller(0)
		sim.run(200 * time.Millisecond)
		Expect(c.answerTimes).To(HaveLen(1))
	})
})
