package flowbalancer_test

import (
	"net/netip"
	"time"

	"github.com/currantturn/currantturn"
	"github.com/currantturn/currantturn/internal/state/routehistory"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// startSplitFleet returns a simulation with 80 backend servers, more than a search
// always covers, of which a quarter serves reports and another quarter a service
// without a route. The route leads to verify and reports until the flows are open, and
// then to verify alone.
func startSplitFleet(seed uint64) *simulation {
	sim := newSimulation(seed)
	for n := range 80 {
		sim.addBackendOf([]currantturn.ServiceName{"verify", "reports", "verify", "images"}[n%4], 3)
	}
	for range 2 {
		sim.addBalancer()
	}
	sim.routing.Routes[0].Shares = []currantturn.Share{{Service: "verify", Weight: 1}, {Service: "reports", Weight: 1}}
	sim.publish()
	for range 60 {
		sim.addCaller(300 * time.Millisecond)
	}
	sim.run(time.Second)
	sim.routeTo("verify")
	return sim
}

var _ = Describe("flows that were placed by an earlier configuration", func() {
	expectNoReset := func(sim *simulation) {
		GinkgoHelper()
		Expect(sim.violations).To(BeEmpty())
		for _, c := range sim.callers {
			Expect(c.resets + c.failed).To(BeZero())
		}
	}

	// A balancer that started after the change has no record of where the route led
	// to before.
	It("are found by balancers that do not know the earlier configuration", func() {
		sim := startSplitFleet(41)
		for _, b := range sim.balancers {
			sim.restartBalancer(b)
		}
		sim.run(3 * time.Second)
		expectNoReset(sim)
	})

	It("are found with queries to the recorded services alone", func() {
		sim := startSplitFleet(42)
		sim.recorded, sim.earlier = time.Minute, []routehistory.Entry{{Address: serviceAddress, Service: "reports"}}
		for _, b := range sim.balancers {
			sim.restartBalancer(b)
		}
		sim.run(3 * time.Second)
		expectNoReset(sim)
		Expect(sim.searchedFor["reports"]).NotTo(BeZero())
		Expect(sim.searchedFor["images"]).To(BeZero())
	})

	It("are reset, when no agent holds them, only after agents of every service have denied that", func() {
		sim := startSplitFleet(43)
		for _, b := range sim.backends {
			clear(b.flows)
		}
		sim.restartAll()
		sim.run(1500 * time.Millisecond)
		Expect(sim.violations).To(BeEmpty())
		for _, c := range sim.callers {
			Expect(c.resets).To(Equal(1))
		}
	})
})

// Guards against new flows at a service that their route has left (review/7): the agents of the
// service do not answer, the route moves, and the callers send copies of their opening packets.
var _ = Describe("an opening packet without an answer, whose route moves to another service", func() {
	DescribeTable("is not sent again to the former service", func(others bool) {
		sim := newSimulation(71)
		for n := range 6 {
			sim.addBackendOf([]currantturn.ServiceName{"verify", "reports"}[n%2], 3)
		}
		sim.addBalancer()
		sim.publish()
		isFormer := func(b *backendVM) bool { return b.registration.Service == "verify" }
		sim.drop = func(_, to netip.Addr) bool { return to.As4()[1] == 2 } // agents receive nothing
		var callers []*caller
		for range 30 {
			callers = append(callers, sim.addCaller(0))
		}
		sim.run(300 * time.Millisecond)
		sim.routeTo("reports")
		if !others {
			for _, b := range sim.backends {
				b.unlisted = !isFormer(b)
			}
		}
		sim.publish()
		sim.drop = nil
		sim.run(2 * time.Second)
		Expect(sim.violations).To(BeEmpty())
		for _, b := range sim.backends {
			if isFormer(b) {
				Expect(b.openings).To(BeEmpty(), "at %s", b.registration.ID)
			}
		}
		for _, c := range callers {
			Expect(c.refused).To(BeZero(), "an earlier copy may have opened the flow")
			Expect(c.answerTimes).To(HaveLen(map[bool]int{true: 1}[others]))
		}
	},
		Entry("while the new one has backend servers", true),
		Entry("while the new one has none", false),
	)

	// The backend server's answer is lost, and the caller's copy makes it repeat the answer.
	It("still opens the flow at a backend server that had it before", func() {
		sim := newSimulation(72)
		sim.addBackendOf("verify", 3).openDelay = 250 * time.Millisecond
		sim.addBackendOf("reports", 3)
		sim.addBalancer()
		sim.publish()
		c := sim.addCaller(0)
		sim.run(230 * time.Millisecond)
		sim.routeTo("reports")
		sim.publish()
		sim.run(2 * time.Second)
		Expect(sim.violations).To(BeEmpty())
		Expect(c.refused + c.resets + c.failed).To(BeZero())
		Expect(c.answerTimes).To(HaveLen(1))
	})
})
