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

func calm(seed uint64, balancers, backends, callers int) *world {
	w := newWorld(seed)
	for range backends {
		w.addBackend(3)
	}
	for range balancers {
		w.addBalancer()
	}
	w.publish()
	for range callers {
		w.addCaller(300 * time.Millisecond)
	}
	w.run(time.Second)
	return w
}

var _ = Describe("opaque flows", func() {
	It("are served on a calm day, spread over the backend servers", func() {
		w := calm(1, 3, 5, 60)
		w.run(4 * time.Second)
		Expect(w.broken).To(BeEmpty())
		all, timely := w.answered(120 * time.Millisecond)
		Expect(all).To(BeNumerically(">", 600))
		Expect(timely).To(Equal(all))
		for _, b := range w.backends {
			Expect(len(b.flows)).To(BeNumerically("~", 12, 3))
		}
	})

	It("keep their backend server when every balancer is replaced", func() {
		w := calm(2, 3, 5, 40)
		for _, b := range w.balancers {
			b.down = true
			w.run(300 * time.Millisecond)
			w.restartBalancer(b)
			w.run(300 * time.Millisecond)
		}
		w.run(time.Second)
		Expect(w.broken).To(BeEmpty())
		for _, c := range w.callers {
			Expect(c.resets + c.failed).To(BeZero())
		}
	})

	It("keep their backend server when it drains and its registration vanishes while it still serves", func() {
		w := calm(3, 3, 4, 40)
		b := w.backends["verify-01"]
		w.drain(b)
		w.run(500 * time.Millisecond)
		b.gone = w.now
		w.publish()
		for _, x := range w.balancers {
			w.restartBalancer(x)
		}
		w.run(2 * time.Second)
		Expect(w.broken).To(BeEmpty())
		for _, c := range w.callers {
			Expect(c.resets + c.failed).To(BeZero())
		}
	})

	It("are reset soon when their backend server has left with its VM", func() {
		w := calm(13, 2, 4, 40)
		b := w.backends["verify-01"]
		w.leave(b)
		w.run(3 * time.Second)
		reset := 0
		for _, c := range w.callers {
			reset += c.resets
			if c.holder == b {
				Expect(c.resets).To(Equal(1))
			}
		}
		Expect(reset).To(BeNumerically(">", 5))
		Expect(w.broken).To(BeEmpty())
	})

	It("are not reset by a balancer that was cut off from all agents for a while", func() {
		w := calm(15, 1, 4, 40)
		b := w.backends["verify-01"]
		w.drain(b)
		b.gone = w.now
		w.publish()
		for _, d := range []time.Duration{400 * time.Millisecond, 1300 * time.Millisecond, 3 * time.Second} {
			w.run(500 * time.Millisecond)
			w.lost = func(_, _ netip.Addr) bool { return true }
			w.run(d)
			w.lost = nil
			w.run(3 * time.Second)
		}
		Expect(w.broken).To(BeEmpty())
	})

	It("are not reset when a backend server ends that answered too, but was not chosen", func() {
		w := calm(16, 1, 2, 0)
		first := w.backends["verify-00"]
		// Answers of the first come too late, so that both get the opening packet.
		slow := first.at.Addr()
		w.lost = func(from, _ netip.Addr) bool { return from == slow }
		for range 40 {
			w.addCaller(400 * time.Millisecond)
		}
		w.run(80 * time.Millisecond)
		w.lost = nil
		w.run(20 * time.Millisecond)
		second := w.backends["verify-01"]
		w.leave(second)
		w.run(3 * time.Second)
		Expect(w.broken).To(BeEmpty())
	})

	It("are left to other balancers by one that no agent answers", func() {
		w := calm(17, 2, 3, 20)
		b := w.balancers[0]
		Expect(b.machine.Isolated(w.now)).To(BeFalse())
		w.cutOff(b.at.Addr())
		w.run(700 * time.Millisecond)
		Expect(b.machine.Isolated(w.now)).To(BeTrue())
		Expect(w.balancers[1].machine.Isolated(w.now)).To(BeFalse())
		w.lost = nil
		w.run(200 * time.Millisecond)
		Expect(b.machine.Isolated(w.now)).To(BeFalse())
	})

	It("do not start at a draining backend server", func() {
		w := calm(4, 2, 3, 0)
		b := w.backends["verify-01"]
		w.drain(b)
		for range 60 {
			w.addCaller(0)
		}
		w.run(time.Second)
		Expect(b.flows).To(BeEmpty())
		all, _ := w.answered(time.Second)
		Expect(all).To(Equal(60))
	})

	It("find their holder again when its agent restarts and knows nothing", func() {
		w := calm(5, 2, 4, 30)
		w.restartAll()
		w.run(3 * time.Second)
		Expect(w.broken).To(BeEmpty())
		for _, c := range w.callers {
			Expect(c.resets + c.failed).To(BeZero())
		}
	})

	It("are reset at once, on proof, when their backend server restarts and holds nothing", func() {
		w := calm(6, 2, 4, 40)
		b := w.backends["verify-02"]
		clear(b.flows)
		w.run(time.Second)
		Expect(w.broken).To(BeEmpty())
		reset := 0
		for _, c := range w.callers {
			reset += c.resets
			Expect(c.failed).To(BeZero())
		}
		Expect(reset).To(BeNumerically(">", 5))
		Expect(w.events[event.FlowForgotten]).To(Equal(reset))
	})

	It("are reset once every agent has denied them after everything restarted", func() {
		w := calm(7, 2, 4, 20)
		for _, b := range w.backends {
			clear(b.flows)
		}
		w.restartAll()
		w.run(time.Second)
		for _, c := range w.callers {
			Expect(c.resets).To(Equal(1))
		}
		Expect(w.broken).To(BeEmpty())
	})

	It("are reset soon after everything restarted but one VM, which nobody hears", func() {
		w := calm(18, 2, 8, 30)
		for _, b := range w.backends {
			clear(b.flows)
		}
		w.cutOff(w.backends["verify-03"].at.Addr())
		w.restartAll()
		w.run(1500 * time.Millisecond)
		for _, c := range w.callers {
			Expect(c.resets).To(Equal(1))
		}
		Expect(w.broken).To(BeEmpty())
		Expect(w.events[event.AgentSilent]).To(Equal(2), "once at each balancer")
		w.lost = nil
		w.run(time.Second)
		for range 40 {
			w.addCaller(0)
			w.run(20 * time.Millisecond)
		}
		Expect(w.events[event.AgentHeard]).To(Equal(2))
	})

	// Everything restarts: each flow is searched for, and no agent knows its flows.
	It("are found again soon after everything restarted behind a thin link", func() {
		for seed := range uint64(5) {
			w := calm(30+seed, 1, 40, 80)
			before, _ := w.answered(time.Second)
			w.balancers[0].rate = 400e3 // bytes a second, a few times what the callers' packets need
			w.restartAll()
			w.run(2 * time.Second)
			all, timely := w.answered(time.Second)
			Expect(w.broken).To(BeEmpty())
			Expect(timely-before).To(BeNumerically(">", 3*80), "answers within a second, of %d", all-before)
		}
	})

	It("go to the newer registration of an address that has two", func() {
		w := calm(19, 1, 2, 0)
		old := w.backends["verify-00"]
		next := w.addBackend(3)
		next.reg.Address, next.reg.Created, next.reg.Service = old.reg.Address, 50, "other"
		w.publish()
		for range 20 {
			w.addCaller(0)
		}
		w.run(time.Second)
		Expect(old.flows).To(BeEmpty())
		all, _ := w.answered(time.Second)
		Expect(all).To(Equal(20))
	})

	It("are not reset while an agent that may hold them does not answer for a moment", func() {
		w := calm(8, 2, 4, 20)
		mute := w.backends["verify-00"].at.Addr()
		w.lost = func(from, to netip.Addr) bool { return from == mute || to == mute }
		for _, b := range w.balancers {
			w.restartBalancer(b)
		}
		w.run(500 * time.Millisecond)
		w.lost = nil
		w.run(3 * time.Second)
		Expect(w.broken).To(BeEmpty())
		for _, c := range w.callers {
			Expect(c.resets + c.failed).To(BeZero())
		}
	})

	It("are not reset by a balancer that does not know their backend server yet", func() {
		w := calm(14, 2, 3, 0)
		w.addBackend(3)
		w.revision++
		w.publishTo(w.balancers[0])
		w.balancers[1].down = true // until the flows are placed
		for range 30 {
			w.addCaller(300 * time.Millisecond)
		}
		w.run(500 * time.Millisecond)
		Expect(w.backends["verify-03"].flows).NotTo(BeEmpty())
		w.balancers[0].down, w.balancers[1].down = true, false
		w.run(500 * time.Millisecond)
		Expect(w.broken).To(BeEmpty())
		w.publish()
		w.run(2 * time.Second)
		Expect(w.broken).To(BeEmpty())
		for _, c := range w.callers {
			Expect(c.resets + c.failed).To(BeZero())
			Expect(len(c.answers)).To(BeNumerically(">", 4))
		}
	})

	It("start elsewhere within the objective when a backend server or its VM is silent", func() {
		w := calm(9, 2, 4, 0)
		w.backends["verify-00"].silent = true
		mute := w.backends["verify-01"].at.Addr()
		w.lost = func(from, to netip.Addr) bool { return from == mute || to == mute }
		for range 200 {
			w.addCaller(0)
			w.run(10 * time.Millisecond)
		}
		w.run(time.Second)
		all, _ := w.answered(time.Second)
		Expect(all).To(Equal(200))
		slow := 0
		for _, c := range w.callers {
			if c.copies > 1 {
				slow++
			}
		}
		// Only those that tried both silent ones may have needed their own copy.
		Expect(slow).To(BeNumerically("<", 20))
	})

	It("keep away from a slow backend server, which the log names, until it is fast again", func() {
		w := calm(24, 1, 5, 0)
		slow := w.backends["verify-01"]
		slow.work = 150 * time.Millisecond
		for range 200 {
			w.addCaller(0)
			w.run(10 * time.Millisecond)
		}
		Expect(w.events[event.BackendSlow]).To(Equal(1))
		Expect(slow.ran).To(BeNumerically("<", 20), "half of an even share of 200")
		slow.work = 20 * time.Millisecond
		for range 300 {
			w.addCaller(0)
			w.run(10 * time.Millisecond)
		}
		Expect(w.events[event.BackendUsual]).To(Equal(1))
		Expect(w.events[event.BackendSlow]).To(Equal(1))
	})

	It("are refused at once without a route or a backend server", func() {
		w := calm(10, 1, 1, 0)
		b := w.backends["verify-00"]
		b.reg.State = currantturn.BackendDraining
		w.addBackend(3).reg.Service = "other"
		w.publish()
		c := w.addCaller(0)
		w.run(50 * time.Millisecond)
		Expect(c.refused).To(Equal(1))
		w.routing = &currantturn.Routing{Version: 2}
		w.publish()
		c = w.addCaller(0)
		w.run(50 * time.Millisecond)
		Expect(c.refused).To(Equal(1))
	})

	It("never go back to an older configuration", func() {
		w := calm(11, 1, 2, 0)
		old := w.routing
		w.routing = &currantturn.Routing{Version: 5}
		w.publish()
		w.routing = old
		w.publish()
		c := w.addCaller(0)
		w.run(50 * time.Millisecond)
		Expect(c.refused).To(Equal(1))
	})

	It("wait for the first configuration instead of being lost", func() {
		w := calm(12, 0, 2, 0)
		held := w.routing
		w.routing = nil
		w.addBalancer()
		c := w.addCaller(0)
		w.run(20 * time.Millisecond)
		w.routing = held
		w.publish()
		w.run(100 * time.Millisecond)
		Expect(c.answers).To(HaveLen(1))
		Expect(c.copies).To(Equal(uint32(1)))
	})
})

// TestRandomPlannedWork plays random planned work: balancers and agents come
// and go in any order, backend servers drain and leave. No open flow may be
// reset or reach another backend server while its own holds it.
func TestRandomPlannedWork(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := calm(rapid.Uint64().Draw(t, "seed"), 3, 5, 25)
		for range rapid.IntRange(1, 12).Draw(t, "steps") {
			balancer := w.balancers[rapid.IntRange(0, len(w.balancers)-1).Draw(t, "balancer")]
			ids := w.ids()
			b := w.backends[ids[rapid.IntRange(0, len(ids)-1).Draw(t, "backend")]]
			switch rapid.SampledFrom([]string{"stop", "start", "add balancer", "add backend", "drain", "vanish", "wait"}).Draw(t, "step") {
			case "stop":
				balancer.down = true
			case "start":
				if balancer.down {
					w.restartBalancer(balancer)
				}
			case "add balancer":
				if len(w.balancers) < 6 {
					w.addBalancer()
				}
			case "add backend":
				if len(w.backends) < 9 {
					w.addBackend(3)
					w.publish()
				}
			case "drain":
				if len(ids) > 2 && b.reg.ID != ids[0] {
					b.reg.State = currantturn.BackendDraining
					w.publish()
				}
			case "vanish":
				if b.reg.State == currantturn.BackendDraining && b.gone.IsZero() {
					b.gone = w.now
					w.publish()
				}
			}
			w.run(time.Duration(rapid.IntRange(0, 600).Draw(t, "ms")) * time.Millisecond)
		}
		if len(w.broken) > 0 {
			t.Fatal(w.broken)
		}
	})
}
