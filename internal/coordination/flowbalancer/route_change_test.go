package flowbalancer_test

import (
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
	next := *sim.routing
	next.Version++
	next.Routes = []currantturn.FlowRoute{sim.routing.Routes[0]}
	next.Routes[0].Shares = []currantturn.Share{{Service: "verify", Weight: 1}}
	sim.routing = &next
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
