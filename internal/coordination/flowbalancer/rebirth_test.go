package flowbalancer_test

import (
	"time"

	"github.com/currantturn/currantturn"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// A backend server may start again under its ID, beside its running agent. Balancers may
// read that before or after its flows have bounced, or never.
var _ = Describe("a backend server that starts again under its ID", func() {
	const id = currantturn.BackendID("verify-02")

	DescribeTable("loses only its own flows, each with one reset, and gets new ones", func(seed uint64, publishAfter time.Duration, restartAll bool) {
		sim := startFleet(seed, 2, 4, 40)
		b := sim.backends[id]
		b.registration.StartedAt = sim.now
		sim.publish()
		sim.run(500 * time.Millisecond)
		held := map[*caller]bool{}
		for _, c := range sim.callers {
			held[c] = c.holder == b
		}
		b.crash()
		born := sim.now
		if restartAll {
			sim.restartAll()
		}
		sim.run(publishAfter)
		b.registration.StartedAt, b.registration.Sequence, b.registration.WarmUpRemaining = born, 1, 300*time.Millisecond
		sim.publish()
		sim.run(3 * time.Second)
		for c, lost := range held {
			Expect(c.failed).To(BeZero())
			Expect(c.resets == 1).To(Equal(lost), "%d resets", c.resets)
		}
		for range 200 {
			sim.addCaller(0)
			sim.run(10 * time.Millisecond)
		}
		sim.run(time.Second)
		Expect(sim.violations).To(BeEmpty())
		Expect(len(b.flows)).To(BeNumerically(">", 25), "of 200")
	},
		Entry("read at once", uint64(51), time.Duration(0), false),
		Entry("read after its flows have bounced", uint64(52), 800*time.Millisecond, false),
		Entry("read between", uint64(53), 150*time.Millisecond, false),
		Entry("with a restart of everything", uint64(54), time.Duration(0), true),
		Entry("with a restart of everything, read later", uint64(55), 400*time.Millisecond, true),
	)

	It("is not waited for by searches of flows that its earlier incarnation held at another address", func() {
		sim := startFleet(56, 2, 4, 40)
		b := sim.backends[id]
		sim.isolate(b.address.Addr())
		b.unresponsive, b.removedAt = true, sim.now
		moved := sim.addBackend(3)
		moved.registration.ID, moved.registration.StartedAt = id, sim.now
		sim.backends[id] = moved // of the registrations under one ID the store has one
		delete(sim.backends, "verify-04")
		sim.publish()
		sim.run(2 * time.Second)
		Expect(sim.violations).To(BeEmpty())
		for _, c := range sim.callers {
			Expect(c.failed).To(BeZero())
			if c.holder == b {
				Expect(c.resets).To(Equal(1))
			}
		}
	})
})
