package flowbalancer_test

import (
	"net/netip"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("searches of a balancer behind a slow link", func() {
	// startOutage returns a simulation of 40 backend servers that have just started, with
	// agents that have no records, and of callers whose flows were open before. Half of the
	// callers' packets reach a balancer with a slow link.
	startOutage := func(seed uint64, delegates bool) *simulation {
		sim := startFleet(seed, 2, 40, 160)
		for _, b := range sim.backends {
			clear(b.flows)
		}
		slow, fast := sim.balancers[0], sim.balancers[1]
		slow.linkRate = 300e3 // bytes per second
		sim.restartAll()
		if delegates {
			slow.balancer.SetDelegates([]netip.AddrPort{fast.address})
		}
		return sim
	}
	// resets counts the flows that were reset.
	resets := func(sim *simulation) (n int) {
		for _, c := range sim.callers {
			n += c.resets
		}
		return n
	}

	It("are left to a balancer with a faster link, so that lost flows are reset sooner", func() {
		for seed := range uint64(5) {
			alone, helped := startOutage(60+seed, false), startOutage(60+seed, true)
			alone.run(600 * time.Millisecond)
			helped.run(600 * time.Millisecond)
			Expect(resets(helped)).To(BeNumerically(">", 150), "of 160 flows")
			Expect(resets(alone)).To(BeNumerically("<", 120), "of 160 flows")
			Expect(helped.violations).To(BeEmpty())
			Expect(alone.violations).To(BeEmpty())
		}
	})

	It("find flows whose backend server has kept them", func() {
		sim := startFleet(70, 2, 40, 160)
		sim.restartAll()
		sim.balancers[0].balancer.SetDelegates([]netip.AddrPort{sim.balancers[1].address})
		sim.run(2 * time.Second)
		Expect(sim.violations).To(BeEmpty())
		for _, c := range sim.callers {
			Expect(c.resets + c.failed).To(BeZero())
		}
		Expect(sim.balancers[0].balancer.Counters().Delegated).NotTo(BeZero())
	})

	It("are done by itself for packets that the other balancer has not delivered", func() {
		sim := startFleet(71, 2, 8, 40)
		sim.restartAll()
		unreachable := sim.balancers[1].address.Addr()
		sim.drop = func(from, to netip.Addr) bool { return from == unreachable || to == unreachable }
		sim.balancers[0].balancer.SetDelegates([]netip.AddrPort{sim.balancers[1].address})
		sim.balancers[1].down = true // callers' packets reach the other one
		sim.run(2 * time.Second)
		Expect(sim.violations).To(BeEmpty())
		for _, c := range sim.callers {
			Expect(c.resets + c.failed).To(BeZero())
			Expect(len(c.answerTimes)).To(BeNumerically(">", 2))
		}
	})
})
