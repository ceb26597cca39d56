package flowbalancer_test

import (
	"fmt"
	"time"

	"github.com/currantturn/currantturn"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("searches among agents without records", func() {
	// startOutage returns a simulation of 60 backend servers in three failure domains that
	// have just started, with agents that have no records, and of 100 callers whose flows
	// were open before.
	startOutage := func(seed uint64) *simulation {
		sim := newSimulation(seed)
		for n := range 60 {
			sim.addBackend(3).registration.FailureDomain = currantturn.FailureDomain(fmt.Sprint("hall-", n%3))
		}
		sim.addBalancer()
		sim.publish()
		for range 100 {
			sim.addCaller(300 * time.Millisecond)
		}
		sim.run(time.Second)
		for _, b := range sim.backends {
			clear(b.flows)
		}
		sim.restartAll()
		clear(sim.bytesSent)
		return sim
	}

	// A packet to each agent takes 60 times 100 bytes and more.
	It("take few bytes of the balancer's link, because agents forward packets in their failure domain", func() {
		for seed := range uint64(3) {
			sim := startOutage(80 + seed)
			sim.run(600 * time.Millisecond)
			for _, c := range sim.callers {
				Expect(c.resets).To(Equal(1))
			}
			Expect(sim.violations).To(BeEmpty())
			Expect(sim.bytesSent[sim.balancers[0].address.Addr()] / 100).To(BeNumerically("<", 4000))
		}
	})

	It("reach the other agents of a failure domain although one of them is unreachable", func() {
		sim := startOutage(90)
		unreachable := sim.backends["verify-03"]
		sim.isolate(unreachable.address.Addr())
		sim.run(time.Second)
		unreachable.removedAt = sim.now // until then it may hold the flows
		sim.publish()
		sim.run(time.Second)
		for _, c := range sim.callers {
			Expect(c.resets).To(Equal(1))
		}
		Expect(sim.violations).To(BeEmpty())
	})
})
