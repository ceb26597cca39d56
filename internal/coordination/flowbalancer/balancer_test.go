package flowbalancer_test

import (
	"net/netip"
	"testing"
	"time"

	"github.com/currantturn/currantturn"
	"github.com/currantturn/currantturn/internal/event"
	"github.com/currantturn/currantturn/internal/suite"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

func TestFlowBalancer(t *testing.T) { suite.Run(t, "flowbalancer") }

// startFleet returns a simulation that has run for a second without faults.
func startFleet(seed uint64, balancers, backends, callers int) *simulation {
	sim := newSimulation(seed)
	for range backends {
		sim.addBackend(3)
	}
	for range balancers {
		sim.addBalancer()
	}
	sim.publish()
	for range callers {
		sim.addCaller(300 * time.Millisecond)
	}
	sim.run(time.Second)
	return sim
}

var _ = Describe("opaque flows", func() {
	It("are answered within the objective and spread over the backend servers when nothing fails", func() {
		sim := startFleet(1, 3, 5, 60)
		sim.run(4 * time.Second)
		Expect(sim.violations).To(BeEmpty())
		all, timely := sim.countAnswers(120 * time.Millisecond)
		Expect(all).To(BeNumerically(">", 600))
		Expect(timely).To(Equal(all))
		for _, b := range sim.backends {
			Expect(len(b.flows)).To(BeNumerically("~", 12, 3))
		}
	})

	It("keep their backend server when every balancer is replaced", func() {
		sim := startFleet(2, 3, 5, 40)
		for _, b := range sim.balancers {
			b.down = true
			sim.run(300 * time.Millisecond)
			sim.restartBalancer(b)
			sim.run(300 * time.Millisecond)
		}
		sim.run(time.Second)
		Expect(sim.violations).To(BeEmpty())
		for _, c := range sim.callers {
			Expect(c.resets + c.failed).To(BeZero())
		}
	})

	It("keep their backend server when it drains and is deregistered while it still serves", func() {
		sim := startFleet(3, 3, 4, 40)
		b := sim.backends["verify-01"]
		sim.drain(b)
		sim.run(500 * time.Millisecond)
		b.removedAt = sim.now
		sim.publish()
		for _, balancer := range sim.balancers {
			sim.restartBalancer(balancer)
		}
		sim.run(2 * time.Second)
		Expect(sim.violations).To(BeEmpty())
		for _, c := range sim.callers {
			Expect(c.resets + c.failed).To(BeZero())
		}
	})

	It("are reset soon after their backend server and its VM are removed", func() {
		sim := startFleet(13, 2, 4, 40)
		b := sim.backends["verify-01"]
		sim.removeBackend(b)
		sim.run(3 * time.Second)
		reset := 0
		for _, c := range sim.callers {
			reset += c.resets
			if c.holder == b {
				Expect(c.resets).To(Equal(1))
			}
		}
		Expect(reset).To(BeNumerically(">", 5))
		Expect(sim.violations).To(BeEmpty())
	})

	It("are not reset by a balancer that was disconnected from all agents for a while", func() {
		sim := startFleet(15, 1, 4, 40)
		b := sim.backends["verify-01"]
		sim.drain(b)
		b.removedAt = sim.now
		sim.publish()
		for _, d := range []time.Duration{400 * time.Millisecond, 1300 * time.Millisecond, 3 * time.Second} {
			sim.run(500 * time.Millisecond)
			sim.drop = func(_, _ netip.Addr) bool { return true }
			sim.run(d)
			sim.drop = nil
			sim.run(3 * time.Second)
		}
		Expect(sim.violations).To(BeEmpty())
	})

	It("are not reset when a backend server ends that also answered the opening packet but is not the holder", func() {
		sim := startFleet(16, 1, 2, 0)
		first := sim.backends["verify-00"]
		// Messages from the first VM to the balancer are lost, so that both backend
		// servers get the opening packet.
		firstVM := first.address.Addr()
		sim.drop = func(from, _ netip.Addr) bool { return from == firstVM }
		for range 40 {
			sim.addCaller(400 * time.Millisecond)
		}
		sim.run(80 * time.Millisecond)
		sim.drop = nil
		sim.run(20 * time.Millisecond)
		second := sim.backends["verify-01"]
		sim.removeBackend(second)
		sim.run(3 * time.Second)
		Expect(sim.violations).To(BeEmpty())
	})

	It("are left to other balancers by a balancer that receives no answers from agents", func() {
		sim := startFleet(17, 2, 3, 20)
		b := sim.balancers[0]
		Expect(b.balancer.Isolated(sim.now)).To(BeFalse())
		sim.isolate(b.address.Addr())
		sim.run(700 * time.Millisecond)
		Expect(b.balancer.Isolated(sim.now)).To(BeTrue())
		Expect(sim.balancers[1].balancer.Isolated(sim.now)).To(BeFalse())
		sim.drop = nil
		sim.run(200 * time.Millisecond)
		Expect(b.balancer.Isolated(sim.now)).To(BeFalse())
	})

	It("are not placed on a draining backend server", func() {
		sim := startFleet(4, 2, 3, 0)
		b := sim.backends["verify-01"]
		sim.drain(b)
		for range 60 {
			sim.addCaller(0)
		}
		sim.run(time.Second)
		Expect(b.flows).To(BeEmpty())
		all, _ := sim.countAnswers(time.Second)
		Expect(all).To(Equal(60))
	})

	It("are found again after all processes restart and agents have no records of them", func() {
		sim := startFleet(5, 2, 4, 30)
		sim.restartAll()
		sim.run(3 * time.Second)
		Expect(sim.violations).To(BeEmpty())
		for _, c := range sim.callers {
			Expect(c.resets + c.failed).To(BeZero())
		}
	})

	// The store's data may be of any age: a registration that was last written while
	// its backend server warmed up does not show that the backend server has just
	// started.
	It("are found again after all processes restart and registrations still show a warm-up", func() {
		sim := startFleet(25, 2, 4, 30)
		for _, b := range sim.backends {
			b.registration.WarmUpRemaining = 2 * time.Second
		}
		sim.restartAll()
		sim.run(3 * time.Second)
		Expect(sim.violations).To(BeEmpty())
		for _, c := range sim.callers {
			Expect(c.resets + c.failed).To(BeZero())
		}
	})

	It("are reset at once when their backend server has restarted and rejects their packets", func() {
		sim := startFleet(6, 2, 4, 40)
		b := sim.backends["verify-02"]
		clear(b.flows)
		sim.run(time.Second)
		Expect(sim.violations).To(BeEmpty())
		reset := 0
		for _, c := range sim.callers {
			reset += c.resets
			Expect(c.failed).To(BeZero())
		}
		Expect(reset).To(BeNumerically(">", 5))
		Expect(sim.eventCounts[event.FlowForgotten]).To(Equal(reset))
	})

	It("are reset once every agent has denied holding them after all processes restarted", func() {
		sim := startFleet(7, 2, 4, 20)
		for _, b := range sim.backends {
			clear(b.flows)
		}
		sim.restartAll()
		sim.run(time.Second)
		for _, c := range sim.callers {
			Expect(c.resets).To(Equal(1))
		}
		Expect(sim.violations).To(BeEmpty())
	})

	// The silence of a VM does not show that its backend server has lost its flows.
	It("are not reset while a VM that may hold them is only silent", func() {
		sim := startFleet(17, 2, 8, 30)
		sim.isolate(sim.backends["verify-03"].address.Addr())
		sim.restartAll()
		sim.run(1500 * time.Millisecond)
		sim.drop = nil
		sim.run(3 * time.Second)
		for _, c := range sim.callers {
			Expect(c.resets).To(BeZero())
		}
		Expect(sim.violations).To(BeEmpty())
	})

	It("are reset soon after all processes restarted once the registration of an unreachable VM is gone", func() {
		sim := startFleet(18, 2, 8, 30)
		for _, b := range sim.backends {
			b.crash()
		}
		unreachable := sim.backends["verify-03"]
		sim.isolate(unreachable.address.Addr())
		sim.restartAll()
		sim.run(time.Second)
		for _, c := range sim.callers {
			Expect(c.resets).To(BeZero())
		}
		unreachable.removedAt = sim.now
		sim.publish()
		sim.run(500 * time.Millisecond)
		for _, c := range sim.callers {
			Expect(c.resets).To(Equal(1))
		}
		Expect(sim.violations).To(BeEmpty())
		Expect(sim.eventCounts[event.AgentSilent]).To(Equal(2), "once at each balancer")
		unreachable.removedAt = time.Time{}
		sim.publish()
		sim.drop = nil
		sim.run(time.Second)
		for range 40 {
			sim.addCaller(0)
			sim.run(20 * time.Millisecond)
		}
		Expect(sim.eventCounts[event.AgentHeard]).To(Equal(2))
	})

	// The balancer must not wait anew, for each flow, for the agents of VMs that are gone.
	It("are reset at once seconds after all processes restarted while a VM is gone", func() {
		sim := newSimulation(19)
		for range 8 {
			sim.addBackend(3)
		}
		sim.addBalancer()
		sim.publish()
		soon := sim.addCaller(100 * time.Millisecond)
		var later []*caller
		for n := range 20 {
			later = append(later, sim.addCaller(2*time.Second+time.Duration(n)*200*time.Millisecond))
		}
		sim.run(time.Second)
		for _, b := range sim.backends {
			b.crash()
		}
		gone := sim.backends["verify-03"]
		gone.removedAt = sim.now
		sim.isolate(gone.address.Addr())
		sim.restartAll()
		sim.run(time.Second)
		Expect(soon.resets).To(Equal(1))
		waited := make(map[*caller]time.Duration)
		for range 600 {
			sim.run(10 * time.Millisecond)
			for _, c := range later {
				if !c.closed && !c.requestSent.IsZero() {
					waited[c] = sim.now.Sub(c.requestSent)
				}
			}
		}
		for _, c := range later {
			Expect(c.resets).To(Equal(1))
			Expect(waited[c]).To(BeNumerically("<", 150*time.Millisecond))
		}
	})

	// Guards against searches that fill a slow link after all processes restart: each
	// flow is searched for, and no agent has records of its flows.
	It("are found again soon after all processes restart behind a slow link", func() {
		for seed := range uint64(5) {
			sim := startFleet(30+seed, 1, 40, 80)
			before, _ := sim.countAnswers(time.Second)
			sim.balancers[0].linkRate = 400e3 // bytes per second, a few times what the callers' packets need
			sim.restartAll()
			sim.run(2 * time.Second)
			all, timely := sim.countAnswers(time.Second)
			Expect(sim.violations).To(BeEmpty())
			Expect(timely-before).To(BeNumerically(">", 3*80), "answers within a second, of %d", all-before)
		}
	})

	It("go to the newer of two registrations with the same address", func() {
		sim := startFleet(19, 1, 2, 0)
		old := sim.backends["verify-00"]
		next := sim.addBackend(3)
		next.registration.Address, next.registration.CreatedRevision, next.registration.Service = old.registration.Address, 50, "other"
		sim.routing.Routes = append(sim.routing.Routes, currantturn.FlowRoute{
			Address: netip.MustParseAddrPort("198.18.0.9:443"), Shares: []currantturn.Share{{Service: "other", Weight: 1}},
		})
		sim.publish()
		for range 20 {
			sim.addCaller(0)
		}
		sim.run(time.Second)
		Expect(old.flows).To(BeEmpty())
		all, _ := sim.countAnswers(time.Second)
		Expect(all).To(Equal(20))
	})

	It("are not reset while an agent that may hold them is briefly unreachable", func() {
		sim := startFleet(8, 2, 4, 20)
		unreachable := sim.backends["verify-00"].address.Addr()
		sim.drop = func(from, to netip.Addr) bool { return from == unreachable || to == unreachable }
		for _, b := range sim.balancers {
			sim.restartBalancer(b)
		}
		sim.run(500 * time.Millisecond)
		sim.drop = nil
		sim.run(3 * time.Second)
		Expect(sim.violations).To(BeEmpty())
		for _, c := range sim.callers {
			Expect(c.resets + c.failed).To(BeZero())
		}
	})

	It("are not reset by a balancer that has not yet received their backend server's registration", func() {
		sim := startFleet(14, 2, 3, 0)
		sim.addBackend(3)
		sim.revision++
		sim.publishTo(sim.balancers[0])
		sim.balancers[1].down = true // until the flows are placed
		for range 30 {
			sim.addCaller(300 * time.Millisecond)
		}
		sim.run(500 * time.Millisecond)
		Expect(sim.backends["verify-03"].flows).NotTo(BeEmpty())
		sim.balancers[0].down, sim.balancers[1].down = true, false
		sim.run(500 * time.Millisecond)
		Expect(sim.violations).To(BeEmpty())
		sim.publish()
		sim.run(2 * time.Second)
		Expect(sim.violations).To(BeEmpty())
		for _, c := range sim.callers {
			Expect(c.resets + c.failed).To(BeZero())
			Expect(len(c.answerTimes)).To(BeNumerically(">", 4))
		}
	})

	It("are placed elsewhere within the objective when a backend server or its VM does not respond", func() {
		sim := startFleet(9, 2, 4, 0)
		sim.backends["verify-00"].unresponsive = true
		unreachable := sim.backends["verify-01"].address.Addr()
		sim.drop = func(from, to netip.Addr) bool { return from == unreachable || to == unreachable }
		for range 200 {
			sim.addCaller(0)
			sim.run(10 * time.Millisecond)
		}
		sim.run(time.Second)
		all, _ := sim.countAnswers(time.Second)
		Expect(all).To(Equal(200))
		retransmitted := 0
		for _, c := range sim.callers {
			if c.openingsSent > 1 {
				retransmitted++
			}
		}
		// Only callers whose flows were tried at both unresponsive backend servers may
		// have needed to retransmit.
		Expect(retransmitted).To(BeNumerically("<", 20))
	})

	It("avoid a slow backend server, which is logged, until it is fast again", func() {
		sim := startFleet(24, 1, 5, 0)
		slow := sim.backends["verify-01"]
		slow.serviceTime = 150 * time.Millisecond
		for range 200 {
			sim.addCaller(0)
			sim.run(10 * time.Millisecond)
		}
		Expect(sim.eventCounts[event.BackendSlow]).To(Equal(1))
		Expect(slow.requestsRun).To(BeNumerically("<", 20), "half of an even share of 200")
		slow.serviceTime = 20 * time.Millisecond
		for range 300 {
			sim.addCaller(0)
			sim.run(10 * time.Millisecond)
		}
		Expect(sim.eventCounts[event.BackendUsual]).To(Equal(1))
		Expect(sim.eventCounts[event.BackendSlow]).To(Equal(1))
	})

	It("are refused at once without a route or an available backend server", func() {
		sim := startFleet(10, 1, 1, 0)
		b := sim.backends["verify-00"]
		b.registration.State = currantturn.BackendDraining
		sim.addBackend(3).registration.Service = "other"
		sim.publish()
		c := sim.addCaller(0)
		sim.run(50 * time.Millisecond)
		Expect(c.refused).To(Equal(1))
		sim.routing = &currantturn.Routing{Version: 2}
		sim.publish()
		c = sim.addCaller(0)
		sim.run(50 * time.Millisecond)
		Expect(c.refused).To(Equal(1))
	})

	It("are never routed by an older configuration than the one in force", func() {
		sim := startFleet(11, 1, 2, 0)
		old := sim.routing
		sim.routing = &currantturn.Routing{Version: 5}
		sim.publish()
		sim.routing = old
		sim.publish()
		c := sim.addCaller(0)
		sim.run(50 * time.Millisecond)
		Expect(c.refused).To(Equal(1))
	})

	It("are buffered until the first configuration arrives", func() {
		sim := startFleet(12, 0, 2, 0)
		routing := sim.routing
		sim.routing = nil
		sim.addBalancer()
		c := sim.addCaller(0)
		sim.run(20 * time.Millisecond)
		sim.routing = routing
		sim.publish()
		sim.run(100 * time.Millisecond)
		Expect(c.answerTimes).To(HaveLen(1))
		Expect(c.openingsSent).To(Equal(uint32(1)))
	})
})

// TestRandomPlannedWork runs random maintenance: balancers stop and start, VMs are
// added, backend servers drain and are deregistered, in any order. No open flow may
// be reset or reach another backend server while its own still holds it.
func TestRandomPlannedWork(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := startFleet(rapid.Uint64().Draw(t, "seed"), 3, 5, 25)
		for range rapid.IntRange(1, 12).Draw(t, "steps") {
			balancer := sim.balancers[rapid.IntRange(0, len(sim.balancers)-1).Draw(t, "balancer")]
			ids := sim.backendIDs()
			b := sim.backends[ids[rapid.IntRange(0, len(ids)-1).Draw(t, "backend")]]
			switch rapid.SampledFrom([]string{"stop", "start", "add balancer", "add backend", "drain", "vanish", "wait"}).Draw(t, "step") {
			case "stop":
				balancer.down = true
			case "start":
				if balancer.down {
					sim.restartBalancer(balancer)
				}
			case "add balancer":
				if len(sim.balancers) < 6 {
					sim.addBalancer()
				}
			case "add backend":
				if len(sim.backends) < 9 {
					sim.addBackend(3)
					sim.publish()
				}
			case "drain":
				if len(ids) > 2 && b.registration.ID != ids[0] {
					b.registration.State = currantturn.BackendDraining
					sim.publish()
				}
			case "vanish":
				if b.registration.State == currantturn.BackendDraining && b.removedAt.IsZero() {
					b.removedAt = sim.now
					sim.publish()
				}
			}
			sim.run(time.Duration(rapid.IntRange(0, 600).Draw(t, "ms")) * time.Millisecond)
		}
		if len(sim.violations) > 0 {
			t.Fatal(sim.violations)
		}
	})
}
