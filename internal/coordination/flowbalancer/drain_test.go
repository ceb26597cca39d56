package flowbalancer_test

import (
	"net/netip"
	"time"

	"github.com/currantturn/currantturn"
	"github.com/currantturn/currantturn/internal/event"
	"github.com/currantturn/currantturn/internal/protocol/relay"
	"github.com/currantturn/currantturn/internal/state/drained"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// startDomains returns a simulation with backend servers in the failure domains a, b and c in
// turn.
func startDomains(seed uint64, balancers, backends int) *simulation {
	sim := newSimulation(seed)
	for range balancers {
		sim.addBalancer()
	}
	for n := range backends { // whose agents announce themselves to these balancers
		sim.addBackend(3).registration.FailureDomain = currantturn.FailureDomain("abc"[n%3 : n%3+1])
	}
	sim.publish()
	sim.run(500 * time.Millisecond)
	return sim
}

// drainDomains publishes the drained failure domains.
func (sim *simulation) drainDomains(names ...currantturn.FailureDomain) {
	sim.drained = nil
	for _, name := range names {
		sim.drained = append(sim.drained, drained.Entry{FailureDomain: name})
	}
	sim.publish()
}

// openings returns the number of opening packets that backend servers of a failure domain
// received.
func (sim *simulation) openings(name currantturn.FailureDomain) (n int) {
	for _, b := range sim.backends {
		if b.registration.FailureDomain == name {
			n += len(b.openings)
		}
	}
	return n
}

// openFlows opens flows, each with one request, and returns their callers.
func (sim *simulation) openFlows(n int, interval time.Duration) (all []*caller) {
	for range n {
		all = append(all, sim.addCaller(0))
		sim.run(interval)
	}
	return all
}

// expectServed expects each caller to have its answer within the objective.
func expectServed(callers []*caller) {
	GinkgoHelper()
	for _, c := range callers {
		Expect(c.refused + c.resets + c.failed).To(BeZero())
		Expect(c.answerTimes).To(HaveLen(1))
		Expect(c.answerTimes[0]).To(BeNumerically("<", 120*time.Millisecond))
	}
}

var _ = Describe("a drained failure domain", func() {
	It("gets no new flows, while its open flows go on, until it is taken back", func() {
		sim := startDomains(1, 3, 9)
		for range 60 {
			sim.addCaller(200 * time.Millisecond)
		}
		sim.run(time.Second)
		sim.drainDomains("a")
		before := sim.openings("a")
		callers := sim.openFlows(100, 10*time.Millisecond)
		sim.run(time.Second)
		Expect(sim.openings("a")).To(Equal(before))
		expectServed(callers)
		sim.drainDomains()
		sim.run(100 * time.Millisecond)
		callers = sim.openFlows(100, 10*time.Millisecond)
		sim.run(time.Second)
		Expect(sim.openings("a")-before).To(BeNumerically(">", 20), "of 100; its backend servers have fewer open flows")
		expectServed(callers)
		Expect(sim.violations).To(BeEmpty())
		for _, c := range sim.callers {
			Expect(c.resets + c.failed).To(BeZero())
		}
	})

	// All callers arrive at balancers of one failure domain, whose own backend servers are
	// the nearest ones.
	It("leaves its new flows to all other backend servers, not to the nearest ones", func() {
		sim := startDomains(2, 0, 18)
		for range 3 {
			sim.addBalancer().domain = "b"
			sim.restartBalancer(sim.balancers[len(sim.balancers)-1])
		}
		sim.drainDomains("a")
		callers := sim.openFlows(600, 3*time.Millisecond)
		sim.run(time.Second)
		expectServed(callers)
		Expect(sim.openings("a")).To(BeZero())
		Expect(sim.openings("b")).To(BeNumerically("<", 2*sim.openings("c")))
		for _, b := range sim.backends {
			if b.registration.FailureDomain != "a" {
				Expect(len(b.openings)).To(BeNumerically("<", 2*600/12), "at %s", b.registration.ID)
			}
		}
	})

	It("that alone has backend servers refuses new flows at once, and serves the open ones", func() {
		sim := startDomains(3, 2, 3)
		for _, b := range sim.backends {
			b.registration.FailureDomain = "a"
		}
		sim.publish()
		open := sim.addCaller(50 * time.Millisecond)
		sim.run(500 * time.Millisecond)
		sim.drainDomains("a", "nowhere")
		Expect(sim.balancers[0].balancer.Ready()).To(BeTrue())
		before := len(open.answerTimes)
		late := sim.addCaller(0)
		sim.run(20 * time.Millisecond)
		Expect(late.refused).To(Equal(1))
		sim.run(time.Second)
		Expect(len(open.answerTimes) - before).To(BeNumerically(">", 8))
		Expect(open.resets + open.failed).To(BeZero())
		sim.drainDomains()
		sim.run(time.Second)
		callers := sim.openFlows(20, 20*time.Millisecond)
		sim.run(time.Second)
		expectServed(callers)
	})

	// The link of a balancer to the store and to its peers is cut, and callers still arrive.
	It("declines the new flows of a balancer that does not know it, which places them elsewhere at once", func() {
		sim := startDomains(4, 3, 9)
		late := sim.balancers[0]
		late.late = true
		sim.drainDomains("a")
		sim.run(50 * time.Millisecond)
		before := sim.openings("a")
		callers := sim.openFlows(300, 10*time.Millisecond)
		sim.run(time.Second)
		Expect(sim.openings("a")).To(Equal(before))
		expectServed(callers)
		Expect(sim.eventCounts[event.FlowDeclined]).To(BeNumerically("<", 20), "the first agent that declines speaks for its failure domain")
		Expect(sim.eventCounts[event.BackendDrained]).To(Equal(3))
	})

	It("is told to an agent that restarts, and taken back at one that missed the end", func() {
		sim := startDomains(5, 3, 9)
		sim.balancers[0].late = true
		sim.drainDomains("a")
		sim.run(50 * time.Millisecond)
		for _, id := range sim.backendIDs() {
			sim.restartAgent(sim.backends[id], true)
		}
		sim.run(1100 * time.Millisecond)
		before := sim.openings("a")
		expectServedAfter(sim, sim.openFlows(100, 10*time.Millisecond))
		Expect(sim.openings("a")).To(Equal(before))
		// The balancers that knew of it are replaced by ones that start after its end, and so
		// send no notices.
		sim.drained = nil
		sim.revision++
		for _, b := range sim.balancers {
			sim.restartBalancer(b)
		}
		expectServedAfter(sim, sim.openFlows(200, 10*time.Millisecond))
		Expect(sim.openings("a") - before).To(BeNumerically(">", 30))
		Expect(sim.eventCounts[event.BackendRestored]).To(Equal(3))
	})

	It("is taken back at its agents at once", func() {
		sim := startDomains(6, 3, 9)
		sim.drainDomains("a")
		sim.run(time.Second)
		sim.drainDomains()
		sim.run(50 * time.Millisecond)
		Expect(sim.eventCounts[event.BackendRestored]).To(Equal(3))
		Expect(sim.eventCounts[event.FlowDeclined]).To(BeZero())
	})

	It("gets nothing from a balancer without a published state, since its agents remember", func() {
		sim := startDomains(7, 2, 9)
		for range 60 {
			sim.addCaller(200 * time.Millisecond)
		}
		sim.run(time.Second)
		sim.drainDomains("a")
		sim.run(100 * time.Millisecond)
		sim.storeDown = true
		for _, b := range sim.balancers {
			sim.restartBalancer(b)
		}
		sim.run(time.Second)
		before := sim.openings("a")
		callers := sim.openFlows(60, 20*time.Millisecond)
		sim.run(time.Second)
		Expect(sim.openings("a")).To(Equal(before))
		expectServed(callers)
	})

	// The backend server that got the opening packet does not answer, and its failure domain
	// is drained before the caller sends a copy.
	DescribeTable("gets no copy of an opening packet", func(others bool) {
		sim := startDomains(8, 1, 3)
		for _, b := range sim.backends {
			b.registration.FailureDomain = "a"
		}
		sim.publish()
		sim.drop = func(_, to netip.Addr) bool { return to.As4()[1] == 2 } // agents receive nothing
		c := sim.addCaller(0)
		sim.run(300 * time.Millisecond) // the third attempt is the last one
		if others {
			sim.addBackend(3).registration.FailureDomain = "b"
		}
		sim.drainDomains("a")
		sim.drop = nil
		sim.run(2 * time.Second)
		Expect(sim.openings("a")).To(BeZero())
		Expect(c.refused).To(BeZero(), "an earlier copy may have opened the flow")
		Expect(c.answerTimes).To(HaveLen(map[bool]int{true: 1}[others]))
	},
		Entry("while there are other backend servers", true),
		Entry("although there are no others", false),
	)

	// With half of the backend servers drained, new flows go to ones that rank lower among all.
	It("does not make searches for flows of the others longer", func() {
		sim := startDomains(9, 1, 30)
		sim.drainDomains("a", "b")
		for range 40 {
			sim.addCaller(500 * time.Millisecond)
		}
		sim.run(700 * time.Millisecond)
		sim.restartBalancer(sim.balancers[0])
		sim.run(2 * time.Second)
		Expect(sim.foundAfter).To(HaveLen(40))
		Expect(sim.foundAfter).To(HaveEach(BeNumerically("<", 15*time.Millisecond)), "the packet itself finds the holder")
		Expect(sim.violations).To(BeEmpty())
	})

	DescribeTable("costs each balancer few notices, however many backend servers it has", func(balancers, backends, perSecond int) {
		sim := startDomains(10, balancers, backends)
		sim.run(time.Second)
		before := sim.bytesSent[sim.balancers[0].address.Addr()]
		sim.drainDomains("a", "b", "c")
		sim.run(10 * time.Second)
		notice, err := relay.AppendMessage(nil, relay.Drained{Drained: true, Revision: sim.revision})
		Expect(err).NotTo(HaveOccurred())
		for _, b := range sim.balancers {
			sent := sim.bytesSent[b.address.Addr()] - before
			Expect(sent).To(BeNumerically("<=", 12*perSecond*len(notice)), "with some probes")
		}
		Expect(sim.eventCounts[event.BackendDrained]).To(Equal(backends), "each agent is told")
	},
		Entry("that most balancers leave to others", 9, 90, 2*20),
		Entry("of which some wait for the next interval", 1, 90, 64),
	)

	// The agent missed the end, and declines one new flow.
	It("does not leave its backend servers avoided after a declined flow", func() {
		sim := startDomains(11, 1, 2)
		sim.drainDomains("a")
		sim.run(100 * time.Millisecond)
		sim.drained = nil
		sim.revision++
		sim.restartBalancer(sim.balancers[0])
		for sim.eventCounts[event.FlowDeclined] == 0 {
			sim.openFlows(1, time.Millisecond)
		}
		sim.run(10 * time.Millisecond)
		before := sim.openings("a")
		sim.openFlows(20, 2*time.Millisecond)
		Expect(sim.openings("a") - before).To(BeNumerically(">", 4))
	})
})

// expectServedAfter waits a second and expects each caller to have its answer within the
// objective.
func expectServedAfter(sim *simulation, callers []*caller) {
	GinkgoHelper()
	sim.run(time.Second)
	expectServed(callers)
}
