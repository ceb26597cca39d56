package flowbalancer_test

import (
	"time"

	"github.com/currantturn/currantturn"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// A service may be down to one backend server, or all of its backend servers may be slow
// to answer, while a VM is paused or overloaded for a moment.
var _ = Describe("new flows that no other backend server can take", func() {
	// A reset would end an attempt that the backend server is about to answer, and may
	// cross its answer, so that an open flow is reset.
	DescribeTable("wait for a backend server that has not answered yet", func(backends int, openDelay time.Duration, copies uint32) {
		sim := startFleet(31, 2, backends, 0)
		for _, b := range sim.backends {
			b.openDelay = openDelay
		}
		for range 10 {
			sim.addCaller(0)
			sim.run(250 * time.Millisecond)
		}
		sim.run(time.Second)
		Expect(sim.violations).To(BeEmpty())
		for _, c := range sim.callers {
			Expect(c.refused + c.resets + c.failed).To(BeZero())
			Expect(c.answerTimes).To(HaveLen(1))
			Expect(c.openingsSent).To(Equal(copies))
		}
	},
		Entry("later than its agent waits", 1, 50*time.Millisecond, uint32(1)),
		Entry("later than the balancer waits", 1, 80*time.Millisecond, uint32(1)),
		Entry("after the caller's first copy", 1, 300*time.Millisecond, uint32(2)),
		Entry("and a second one that has not either", 2, 300*time.Millisecond, uint32(2)),
	)

	It("are opened by the caller's copy if the packet to the only backend server was lost", func() {
		sim := startFleet(32, 2, 1, 0)
		sim.isolate(sim.backends["verify-00"].address.Addr())
		c := sim.addCaller(0)
		sim.run(150 * time.Millisecond)
		sim.drop = nil
		sim.run(time.Second)
		Expect(c.refused + c.failed).To(BeZero())
		Expect(c.openingsSent).To(Equal(uint32(2)))
		Expect(c.answerTimes).To(HaveLen(1))
	})

	It("wait for the one that has not answered while the other one refuses", func() {
		sim := startFleet(33, 1, 2, 0)
		sim.backends["verify-00"].openDelay = 250 * time.Millisecond
		sim.backends["verify-01"].full = true
		for range 10 {
			sim.addCaller(0)
			sim.run(500 * time.Millisecond)
		}
		sim.run(time.Second)
		for _, c := range sim.callers {
			Expect(c.refused + c.failed).To(BeZero())
			Expect(c.answerTimes).To(HaveLen(1))
		}
	})

	It("are refused at once when every backend server has refused them", func() {
		sim := startFleet(34, 1, 2, 0)
		for _, b := range sim.backends {
			b.full = true
		}
		c := sim.addCaller(0)
		sim.run(20 * time.Millisecond)
		Expect(c.refused).To(Equal(1))
	})

	It("are refused at once when the backend server refuses what it did not answer before", func() {
		sim := startFleet(35, 1, 1, 0)
		b := sim.backends["verify-00"]
		b.unresponsive = true
		c := sim.addCaller(0)
		sim.run(150 * time.Millisecond)
		Expect(c.refused).To(BeZero())
		b.unresponsive, b.full = false, true
		sim.run(70 * time.Millisecond) // the caller's copy arrives
		Expect(c.refused).To(Equal(1))
	})

	It("are refused at once while the backend server is unresponsive, but for those that it was sent", func() {
		sim := startFleet(36, 1, 1, 0)
		sim.backends["verify-00"].unresponsive = true
		refusedAtOnce, waiting := 0, 0
		for range 50 {
			c := sim.addCaller(0)
			sim.run(20 * time.Millisecond)
			if c.refused > 0 {
				refusedAtOnce++
			} else {
				waiting++
			}
		}
		Expect(refusedAtOnce).To(BeNumerically(">", 40))
		sim.run(2 * time.Second)
		refused := 0
		for _, c := range sim.callers {
			refused += c.refused
		}
		Expect(refused).To(Equal(refusedAtOnce))
		Expect(waiting).To(BeNumerically("<", 10))
	})

	It("are reset once the registration of a backend server that is silent is gone", func() {
		sim := startFleet(37, 1, 2, 0)
		silent := sim.backends["verify-00"]
		sim.backends["verify-01"].registration.State = currantturn.BackendDraining
		sim.isolate(silent.address.Addr())
		sim.publish()
		c := sim.addCaller(0)
		sim.run(100 * time.Millisecond)
		Expect(c.refused).To(BeZero())
		silent.removedAt = sim.now
		sim.publish()
		sim.run(1200 * time.Millisecond)
		Expect(c.refused).To(Equal(1))
		Expect(c.failed).To(BeZero())
	})
})
