package flowbalancer_test

import (
	"time"

	"github.com/currantturn/currantturn"
	"github.com/currantturn/currantturn/internal/event"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("new flows of a route that leads to two services", func() {
	// startSplit returns a simulation in which four backend servers of verify have a weight
	// of 90, and four of reports one of 10.
	startSplit := func(seed uint64, noOverflow bool) *simulation {
		sim := newSimulation(seed)
		sim.noOverflow = noOverflow
		for n := range 8 {
			sim.addBackendOf([]currantturn.ServiceName{"verify", "reports"}[n%2], 3)
		}
		sim.addBalancer()
		sim.routing.Routes[0].Shares = []currantturn.Share{{Service: "verify", Weight: 90}, {Service: "reports", Weight: 10}}
		sim.publish()
		return sim
	}
	// load opens flows with one request each, at intervals.
	load := func(sim *simulation, flows int, interval time.Duration) {
		for range flows {
			sim.addCaller(0)
			sim.run(interval)
		}
	}
	// requestsOf returns the number of requests that a service has run.
	requestsOf := func(sim *simulation, service currantturn.ServiceName) (n int) {
		for _, b := range sim.backends {
			if b.registration.Service == service {
				n += b.requestsRun
			}
		}
		return n
	}

	// 800 requests per second arrive; verify can run 600, and would get 720.
	It("leave the overloaded one for free slots of the other, and more are answered in time", func() {
		for seed := range uint64(3) {
			weighted, overflowing := startSplit(120+seed, true), startSplit(120+seed, false)
			for _, sim := range []*simulation{weighted, overflowing} {
				load(sim, 2400, 1250*time.Microsecond)
				sim.run(time.Second)
			}
			_, timely := overflowing.countAnswers(120 * time.Millisecond)
			_, timelyByWeight := weighted.countAnswers(120 * time.Millisecond)
			Expect(timely).To(BeNumerically(">", 2200), "of 2400")
			Expect(timelyByWeight).To(BeNumerically("<", timely-200))
			Expect(overflowing.eventCounts[event.FlowOverflowed]).To(BeNumerically(">", 50))
			Expect(weighted.eventCounts[event.FlowOverflowed]).To(BeZero())
		}
	})

	It("follow the weights again when the load has fallen", func() {
		sim := startSplit(130, false)
		load(sim, 1600, 1250*time.Microsecond)
		sim.run(2 * time.Second)
		before, overflowed := requestsOf(sim, "reports"), sim.eventCounts[event.FlowOverflowed]
		load(sim, 600, 5*time.Millisecond)
		sim.run(time.Second)
		Expect(requestsOf(sim, "reports") - before).To(BeNumerically("~", 60, 30))
		Expect(sim.eventCounts[event.FlowOverflowed]).To(Equal(overflowed))
	})

	It("follow the weights while neither service is overloaded", func() {
		sim := startSplit(131, false)
		load(sim, 1000, 4*time.Millisecond)
		sim.run(time.Second)
		Expect(sim.eventCounts[event.FlowOverflowed]).To(BeZero())
		Expect(requestsOf(sim, "reports")).To(BeNumerically("~", 100, 40))
	})

	It("go to the other one if the drawn service has no backend server for them, whatever the settings", func() {
		sim := startSplit(132, true)
		for _, b := range sim.backends {
			if b.registration.Service == "verify" {
				b.registration.State = currantturn.BackendDraining
			}
		}
		sim.publish()
		load(sim, 20, 20*time.Millisecond)
		sim.run(time.Second)
		Expect(requestsOf(sim, "reports")).To(Equal(20))
	})
})
