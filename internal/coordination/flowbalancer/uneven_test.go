package flowbalancer_test

import (
	"time"

	"github.com/currantturn/currantturn"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("new flows for backend servers of three speeds", func() {
	// 400 requests per second arrive.
	It("go by speed, and nearly all are answered in time", func() {
		sim := startFleet(31, 1, 6, 0)
		times := []time.Duration{12 * time.Millisecond, 20 * time.Millisecond, 50 * time.Millisecond}
		names := []string{"verify-00", "verify-01", "verify-02", "verify-03", "verify-04", "verify-05"}
		requests := func(i int) int {
			return sim.backends[currantturn.BackendID(names[i])].requestsRun + sim.backends[currantturn.BackendID(names[i+3])].requestsRun
		}
		for i, name := range names {
			sim.backends[currantturn.BackendID(name)].serviceTime = times[i%3]
		}
		for range 2000 {
			sim.addCaller(0)
			sim.run(2500 * time.Microsecond)
		}
		sim.run(time.Second)
		Expect(requests(0)).To(BeNumerically(">", requests(1)*12/10))
		Expect(requests(1)).To(BeNumerically(">", requests(2)*15/10))
		_, timely := sim.countAnswers(120 * time.Millisecond)
		Expect(timely).To(BeNumerically(">", 1950))
	})

	// Three in eight requests of one backend server fail at once, which looks fast.
	It("go to one that fails requests at once less than to others", func() {
		sim := startFleet(32, 1, 6, 0)
		failing := sim.backends["verify-00"]
		for n := range 2000 {
			failing.serviceTime = 20 * time.Millisecond
			if n%16 < 6 {
				failing.serviceTime = 500 * time.Microsecond
			}
			sim.addCaller(0)
			sim.run(2500 * time.Microsecond)
		}
		sim.run(time.Second)
		Expect(failing.requestsRun).To(BeNumerically("<", 2000/6*7/10))
		Expect(failing.requestsRun).To(BeNumerically(">", 2000/6/20))
	})
})
