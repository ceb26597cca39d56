package flowbalancer_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// Guards against resets of open flows (review/6): copies of opening packets lie in the queue of a
// balancer's VM that stands still, and the agents restart before it forwards them.
var _ = Describe("late copies of the opening packets of open flows", func() {
	DescribeTable("do no harm after a restart of the agents", func(seed uint64, backends int) {
		sim := startFleet(seed, 2, backends, 60)
		sim.run(2 * time.Second)
		for _, b := range sim.backends {
			sim.restartAgent(b, false)
		}
		for _, c := range sim.callers {
			sim.sendFromCaller(c, encodePacket(c.address, serviceAddress, syn, c.initialSequence, 1, 0))
		}
		sim.run(200 * time.Millisecond)
		for _, b := range sim.balancers { // their records of holders are gone
			sim.restartBalancer(b)
		}
		sim.run(4 * time.Second)
		Expect(sim.violations).To(BeEmpty())
		for _, c := range sim.callers {
			Expect(c.resets + c.failed).To(BeZero())
		}
	},
		Entry("one backend server", uint64(61), 1),
		Entry("three", uint64(62), 3),
		Entry("twenty", uint64(63), 20),
	)
})
