package flowbalancer_test

import (
	"time"

	"github.com/currantturn/currantturn"
	"github.com/currantturn/currantturn/internal/event"
	"github.com/currantturn/currantturn/internal/state/drained"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("new flows of a service whose cold backend servers bear 12 requests per second", func() {
	const (
		limit    = 23 // 12 x 1.5 + 5
		duration = 4 * time.Second
	)
	// startWarm returns a simulation in which all backend servers are warm.
	startWarm := func(seed uint64, rate float64) *simulation {
		sim := newSimulation(seed)
		for range 5 {
			sim.addBackend(3)
		}
		for range 3 {
			sim.addBalancer()
		}
		if rate > 0 {
			sim.routing.WarmUps = []currantturn.ServiceWarmUp{{Service: "verify", WarmUp: currantturn.WarmUp{Duration: duration, Rate: rate}}}
		}
		sim.publish()
		return sim
	}
	// load opens 500 flows per second, 100 for each backend server.
	load := func(sim *simulation, d time.Duration) {
		for range d / (2 * time.Millisecond) {
			sim.addCaller(0)
			sim.run(2 * time.Millisecond)
		}
	}
	// restart replaces the incarnation of a backend server by a new one.
	restart := func(sim *simulation, b *backendVM) {
		sim.run(10 * time.Millisecond) // answers on their way
		b.crash()
		b.openings = nil
		b.registration.StartedAt = sim.now
		b.registration.WarmUpRemaining = duration
	}
	// mostOpenings returns the most opening packets that arrived within any second after
	// the last restart, up to a time.
	mostOpenings := func(b *backendVM, until time.Time) (most int) {
		first := 0
		for i, at := range b.openings {
			if at.After(until) {
				break
			}
			for at.Sub(b.openings[first]) > time.Second {
				first++
			}
			most = max(most, i-first+1)
		}
		return most
	}
	ended := func(sim *simulation) (refused, failed int) {
		for _, c := range sim.callers {
			refused += c.refused
			failed += c.failed
		}
		return refused, failed
	}

	It("stay within the limit over all balancers, and go to others at once", func() {
		sim := startWarm(201, 12)
		load(sim, time.Second)
		b := sim.backends["verify-01"]
		restart(sim, b)
		sim.publish()
		cold := sim.now.Add(duration)
		load(sim, duration)
		Expect(mostOpenings(b, cold)).To(And(BeNumerically("<=", limit), BeNumerically(">=", limit/2)))
		load(sim, 3*time.Second)
		sim.run(time.Second)
		refused, failed := ended(sim)
		Expect(refused + failed).To(BeZero())
		Expect(sim.violations).To(BeEmpty())
		all, timely := sim.countAnswers(120 * time.Millisecond)
		Expect(timely).To(BeNumerically(">", all*99/100))
		// Warm again, it gets about the same as the others.
		late := 0
		for _, at := range b.openings {
			if at.After(cold.Add(time.Second)) {
				late++
			}
		}
		Expect(late).To(BeNumerically(">", 140), "of 200")
		Expect(sim.eventCounts[event.BackendCold]).To(Equal(1))
		Expect(sim.eventCounts[event.BackendSilent]).To(BeZero())
	})

	// The naive way: a recently started backend server merely counts as busier.
	It("exceed that limit where none is configured", func() {
		sim := startWarm(201, 0)
		load(sim, time.Second)
		b := sim.backends["verify-01"]
		restart(sim, b)
		sim.publish()
		load(sim, duration)
		Expect(mostOpenings(b, sim.now)).To(BeNumerically(">", limit))
		Expect(sim.eventCounts[event.BackendCold]).To(BeZero())
	})

	// Guards against cold backend servers without a limit after their failure domain is taken back
	// while all balancers restart: none of those that go on knows that it was drained.
	DescribeTable("stay within the limit when their failure domain is taken back while all balancers restart", func(seed uint64, drainedFor time.Duration) {
		sim := startWarm(seed, 12)
		for _, id := range sim.backendIDs()[:2] {
			sim.backends[id].registration.FailureDomain = "a"
		}
		sim.publish()
		for range 40 { // whose answers show that the backend servers are not silent
			sim.addCaller(400 * time.Millisecond)
		}
		load(sim, time.Second)
		sim.drained = []drained.Entry{{FailureDomain: "a"}}
		sim.publish()
		sim.run(drainedFor)
		for _, b := range sim.balancers {
			b.down = true
		}
		sim.run(500 * time.Millisecond)
		sim.drained = nil
		for _, b := range sim.balancers {
			sim.restartBalancer(b)
		}
		back := sim.now
		for _, id := range sim.backendIDs() {
			sim.backends[id].openings = nil
		}
		load(sim, duration)
		for _, id := range sim.backendIDs()[:2] {
			Expect(mostOpenings(sim.backends[id], back.Add(duration))).To(BeNumerically("<=", limit), "at %s", id)
		}
		load(sim, 3*time.Second)
		Expect(sim.violations).To(BeEmpty())
		for _, id := range sim.backendIDs()[:2] {
			Expect(mostOpenings(sim.backends[id], sim.now)).To(BeNumerically(">", limit), "warm again")
		}
	},
		Entry("shortly after it was drained", uint64(211), 2*time.Second),
		Entry("long after", uint64(212), 20*time.Second),
		Entry("after their rate was last received a minute ago", uint64(213), 70*time.Second),
	)

	// A balancer that is cut off from the store places by the registration before the
	// restart.
	It("stay within the limit when one balancer does not learn of the restart", func() {
		sim := startWarm(203, 12)
		load(sim, time.Second)
		b := sim.backends["verify-01"]
		restart(sim, b)
		sim.revision++
		for _, balancer := range sim.balancers[1:] {
			sim.publishTo(balancer)
		}
		load(sim, duration)
		Expect(mostOpenings(b, sim.now)).To(And(BeNumerically("<=", limit), BeNumerically(">=", limit/2)))
	})

	// The registration follows a second after the start, and until then every balancer
	// takes the backend server for the warm one before.
	It("stay within the limit before the registration of a restarted backend server is published", func() {
		sim := startWarm(204, 12)
		load(sim, time.Second)
		b := sim.backends["verify-01"]
		b.unresponsive = true
		load(sim, 500*time.Millisecond)
		b.unresponsive = false
		restart(sim, b)
		cold := sim.now.Add(duration)
		load(sim, time.Second)
		b.registration.WarmUpRemaining = cold.Sub(sim.now)
		sim.publish()
		load(sim, cold.Sub(sim.now))
		Expect(mostOpenings(b, cold)).To(And(BeNumerically("<=", limit), BeNumerically(">=", limit/2)))
	})

	// While the store is away, a backend server restarts to which no balancer sends anything.
	It("stay within the limit after a restart that no packet shows", func() {
		sim := startWarm(211, 12)
		load(sim, time.Second)
		b := sim.backends["verify-01"]
		sim.run(time.Second)
		restart(sim, b)
		sim.run(500 * time.Millisecond)
		cold := sim.now.Add(duration)
		load(sim, duration)
		Expect(mostOpenings(b, cold)).To(And(BeNumerically("<=", limit), BeNumerically(">=", limit/2)))
	})

	// A backend server that gets no new flows for a while, as of a drained failure domain,
	// may be cold afterwards, and its registration says so up to a heartbeat later.
	It("stay within the limit when a backend server is taken back before it is known to be cold", func() {
		sim := startWarm(209, 12)
		load(sim, time.Second)
		b := sim.backends["verify-01"]
		sim.drain(b)
		load(sim, time.Second)
		b.openings = nil
		b.registration.State = currantturn.BackendActive
		sim.publish()
		cold := sim.now.Add(duration)
		load(sim, time.Second)
		b.registration.WarmUpRemaining = cold.Sub(sim.now)
		sim.publish()
		load(sim, cold.Sub(sim.now))
		Expect(mostOpenings(b, cold)).To(And(BeNumerically("<=", limit), BeNumerically(">=", limit/2)))
	})

	// After a return from a copy nothing was placed on any of them, which says nothing of
	// their warmth.
	It("are not limited after placement was held back everywhere", func() {
		sim := startWarm(210, 12)
		load(sim, time.Second)
		sim.held = true
		sim.publish()
		sim.run(100 * time.Millisecond)
		sim.held = false
		sim.publish()
		load(sim, time.Second)
		refused, _ := ended(sim)
		Expect(refused).To(BeZero())
		Expect(sim.eventCounts[event.BackendCold]).To(BeZero())
	})

	It("stay within the limit when the agent restarts during the warm-up and loses its count", func() {
		sim := startWarm(205, 12)
		load(sim, time.Second)
		b := sim.backends["verify-01"]
		restart(sim, b)
		sim.publish()
		cold := sim.now.Add(duration)
		load(sim, 1500*time.Millisecond)
		sim.restartAgent(b, false)
		load(sim, cold.Sub(sim.now))
		Expect(mostOpenings(b, cold)).To(And(BeNumerically("<=", limit), BeNumerically(">=", limit/2)))
	})

	// After a loss of power all backend servers are cold: 500 flows per second arrive for
	// 115 that may be taken.
	It("are refused at once beyond the limit when the whole service is cold", func() {
		sim := startWarm(206, 12)
		sim.run(time.Second)
		for _, b := range sim.backends {
			restart(sim, b)
		}
		sim.publish()
		cold := sim.now.Add(duration)
		load(sim, duration)
		for _, b := range sim.backends {
			Expect(mostOpenings(b, cold)).To(And(BeNumerically("<=", limit), BeNumerically(">=", limit-3)))
		}
		refused, failed := ended(sim)
		Expect(failed).To(BeZero())
		Expect(refused).To(BeNumerically("~", 1600, 120))
		// Balancers that know of the limit do not try.
		Expect(sim.eventCounts[event.FlowDeclined]).To(BeNumerically("<", refused))
		load(sim, time.Second)
		all, _ := ended(sim)
		Expect(all-refused).To(BeNumerically("<", 20), "refused when warm")
	})

	// A balancer that has just started knows nothing of the limits that are reached.
	It("are refused after a few backend servers have declined them", func() {
		sim := startWarm(208, 12)
		for range 15 {
			sim.addBackend(3)
		}
		for _, b := range sim.backends {
			restart(sim, b)
		}
		sim.publish()
		for range 3 * 20 * limit {
			sim.addCaller(0)
		}
		sim.run(100 * time.Millisecond)
		for _, b := range sim.balancers {
			sim.restartBalancer(b)
		}
		declined := sim.eventCounts[event.FlowDeclined]
		c := sim.addCaller(0)
		sim.run(100 * time.Millisecond)
		Expect(c.refused).To(Equal(1))
		Expect(sim.eventCounts[event.FlowDeclined] - declined).To(BeNumerically("<=", 8))
	})

	It("rise with warmth", func() {
		sim := startWarm(207, 12)
		load(sim, time.Second)
		b := sim.backends["verify-01"]
		sim.routing.WarmUps[0].WarmUp.Duration = 8 * time.Second
		sim.routing.WarmUps[0].WarmUp.Rate = 40 // a limit of 65, above what placement sends at first
		sim.routing.Version++
		restart(sim, b)
		b.registration.WarmUpRemaining = 8 * time.Second
		sim.publish()
		var counts []int
		for range 4 {
			before := len(b.openings)
			load(sim, 2*time.Second)
			counts = append(counts, len(b.openings)-before)
		}
		Expect(counts[1]).To(BeNumerically(">", counts[0]), "%v", counts)
		Expect(counts[3]).To(BeNumerically(">", counts[1]), "%v", counts)
	})
})
