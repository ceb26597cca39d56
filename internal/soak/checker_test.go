package soak

import (
	"net/netip"
	"testing"
	"time"

	"github.com/currantturn/currantturn/internal/suite"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestSoak(t *testing.T) { suite.Run(t, "soak") }

var _ = Describe("the checker", func() {
	const longAgo, later = -time.Hour, 10 * time.Second
	start := time.Unix(1_000_000, 0)
	id := flowID{caller: netip.MustParseAddrPort("127.32.4.1:20001"), service: reroutedService}
	var c *checker
	var b *instance
	// addVersion records a version that routes new flows to a service.
	addVersion := func(number uint64, acked time.Time, service int) {
		c.recordVersion(version{number: number, acknowledged: acked, routes: map[netip.AddrPort]int{reroutedService: service, fixedService: 0}})
	}
	violation := func() string {
		v, _ := c.results()
		if len(v) == 0 {
			return ""
		}
		Expect(v).To(HaveLen(1))
		return v[0]
	}

	BeforeEach(func() {
		c = newChecker(func(int) int { return 1 })
		b = &instance{id: "i-1", name: "i-1", vm: 1, service: 0}
		addVersion(1, start.Add(longAgo), 0)
	})

	// Each guarantee is violated once without a fault, and once while a fault acts on a
	// subject that the guarantee depends on.
	DescribeTable("reports a violation, unless a fault explains it",
		func(guarantee string, disturbed subject, trigger func()) {
			trigger()
			Expect(violation()).To(ContainSubstring(" " + guarantee + ": "))
			if disturbed == "" {
				return
			}
			c = newChecker(func(int) int { return 1 })
			addVersion(1, start.Add(longAgo), 0)
			c.beginDisturbance(disturbed)
			trigger()
			Expect(violation()).To(BeEmpty())
		},
		Entry("an open flow is reset while its backend server is undisturbed and holds it", "flow", backendSubject(1), func() {
			c.recordSent(start, id, 0)
			c.checkPlacement(start, id, b)
			c.recordOpened(start, id, b)
			c.checkReset(start.Add(time.Second), id, balancerSubject(0), b, true)
		}),
		Entry("an open flow is reset by an undisturbed balancer while its backend server holds it", "flow", balancerSubject(0), func() {
			c.recordSent(start, id, 0)
			c.recordOpened(start, id, b)
			c.checkReset(start.Add(time.Second), id, balancerSubject(0), b, true)
		}),
		Entry("packets of an open flow reach other backend servers", "flow", backendSubject(1), func() {
			c.recordSent(start, id, 0)
			c.recordOpened(start, id, b)
			for i := range 4 {
				c.checkStray(start.Add(time.Duration(i)*time.Second), id)
			}
		}),
		Entry("an opening packet arrives that no caller sent", "unasked", subject(""), func() { c.checkPlacement(start, id, b) }),
		Entry("a new flow goes to a service that no configuration routes to", "route", subject(""), func() {
			c.recordSent(start, id, 0)
			c.checkPlacement(start, id, &instance{id: "i-2", service: 2})
		}),
		Entry("a new flow is routed by an old configuration after applyWithin", "config", balancerSubject(0), func() {
			addVersion(2, start, 1)
			c.recordSent(start.Add(applyWithin+time.Millisecond), id, 0)
			c.checkPlacement(start.Add(applyWithin+2*time.Millisecond), id, b)
		}),
		Entry("a balancer returns to an older configuration", "regress", balancerSubject(0), func() {
			addVersion(2, start, 1)
			c.recordSent(start.Add(time.Millisecond), id, 0)
			c.checkPlacement(start.Add(2*time.Millisecond), id, &instance{id: "i-2", service: 1})
			second := flowID{caller: id.caller, service: reroutedService}
			second.caller = netip.AddrPortFrom(id.caller.Addr(), 20002)
			c.recordSent(start.Add(time.Second), second, 0)
			c.checkPlacement(start.Add(time.Second), second, b)
		}),
		Entry("a backend server receives a new flow after drainWithin", "drain", storeSubject, func() {
			c.recordSent(start, id, 0)
			c.checkPlacement(start, id, &instance{id: "i-3", drainingSince: start.Add(-drainWithin - time.Millisecond)})
		}),
		Entry("a backend server of a drained failure domain receives a new flow after drainWithin", "drain_domain", storeSubject, func() {
			c.beginDrain(failureDomain(b.vm))
			c.recordDrained(start.Add(-drainWithin-time.Millisecond), failureDomain(b.vm))
			c.recordSent(start, id, 0)
			c.checkPlacement(start, id, b)
		}),
		Entry("the same behind an undisturbed agent", "drain_domain", backendSubject(1), func() {
			c.beginDrain(failureDomain(b.vm))
			c.recordDrained(start.Add(-drainWithin-time.Millisecond), failureDomain(b.vm))
			c.recordSent(start, id, 0)
			c.checkPlacement(start, id, b)
		}),
		Entry("a request is executed twice", "once", subject(""), func() {
			c.checkExecution(start, "r", b)
			c.checkExecution(start, "r", b)
		}),
		Entry("a new flow is refused without a fault", "service", backendSubject(7), func() { c.checkNotOpened(start.Add(later), id, "refused") }),
		Entry("a request is not answered without a fault", "service", backendSubject(7), func() { c.checkUnanswered(start.Add(later), id, "r") }),
	)

	It("does not report what may be correct", func() {
		c.beginDrain(failureDomain(b.vm))
		c.recordDrained(start.Add(-drainWithin), failureDomain(b.vm))
		Expect(c.beginDrain(failureDomain(b.vm))).To(BeFalse())
		c.recordSent(start, flowID{caller: id.caller, service: fixedService}, 0)
		c.checkPlacement(start, flowID{caller: id.caller, service: fixedService}, b) // within the bound
		c.endDrain(failureDomain(b.vm))
		addVersion(2, start, 1)
		c.recordSent(start.Add(applyWithin-time.Millisecond), id, 0) // before version 2 must be in force
		c.checkPlacement(start.Add(applyWithin+time.Second), id, b)
		c.recordOpened(start, id, b)
		c.checkReset(start, id, balancerSubject(0), b, false) // its backend server no longer holds it
		for range 10 {
			c.checkStray(start, id) // a burst, followed by a packet at its holder
		}
		c.recordAtHolder(start.Add(time.Second), id)
		Expect(violation()).To(BeEmpty())
	})

	It("checks what an earlier build does not know only after it has been replaced", func() {
		c.unknownBefore = []string{"drain_domain"}
		b.drainingSince = start.Add(-drainWithin - time.Millisecond) // another guarantee, which it knows
		c.beginDrain(failureDomain(b.vm))
		c.recordDrained(start.Add(-drainWithin-time.Millisecond), failureDomain(b.vm))
		place := func(at time.Duration) (violations int) {
			c.recordSent(start.Add(at), id, 0)
			c.checkPlacement(start.Add(at), id, b)
			v, _ := c.results()
			return len(v)
		}
		Expect(place(0)).To(Equal(1))
		c.recordUpgraded(start)
		Expect(place(settleTime - time.Millisecond)).To(Equal(2))
		Expect(place(settleTime)).To(Equal(4))
	})

	It("counts a subject as disturbed until settleTime after its last fault", func() {
		end := c.beginDisturbance(balancerSubject(3))
		Expect(c.undisturbedLocked(start, balancerSubject(3))).To(BeFalse())
		end(start)
		Expect(c.undisturbedLocked(start.Add(settleTime-time.Millisecond), balancerSubject(3))).To(BeFalse())
		Expect(c.undisturbedLocked(start.Add(settleTime), balancerSubject(3))).To(BeTrue())
	})
})

var _ = Describe("a schedule", func() {
	It("is the same for the same seed and differs between seeds", func() {
		a := Schedule(7, 30*time.Second, 4, 8)
		Expect(Schedule(7, 30*time.Second, 4, 8)).To(Equal(a))
		Expect(Schedule(8, 30*time.Second, 4, 8)).NotTo(Equal(a))
		for _, f := range a {
			Expect(f.At + f.Duration).To(BeNumerically("<=", 30*time.Second))
			Expect(f.Balancer).To(BeNumerically("<", 4))
			Expect(f.Agent).To(BeNumerically("<", 8))
		}
	})

	It("is followed by each sequence for some seed", func() {
		seen := map[Sequence]int{}
		for seed := range uint64(40) {
			seen[sequenceOf(seed)]++
		}
		Expect(seen).To(Equal(map[Sequence]int{NoSequence: 10, CrowdedAnswer: 10, SilentStorm: 10, LateOpenings: 10}))
	})

	It("contains every kind of fault for some seed", func() {
		seen := map[Kind]bool{}
		for seed := range uint64(30) {
			for _, f := range Schedule(seed, 10*time.Second, 4, 8) {
				seen[f.Kind] = true
			}
		}
		Expect(seen).To(HaveLen(len(kindWeights)+1+len(laterKinds)), "the weighted kinds, RestoreStore and the later ones")
	})
})

var _ = Describe("an upgrade", func() {
	const balancers, agents = 4, 8
	It("replaces every process, and takes half of them back for every second seed", func() {
		orders := map[bool]bool{} // whether the first one replaced is a balancer
		for seed := range uint64(12) {
			earlier, last := 0, map[int]bool{}
			at := time.Duration(0)
			for _, step := range scheduleUpgrade(seed, 10*time.Second, balancers, agents) {
				Expect(step.at).To(BeNumerically(">", at))
				at, last[step.process] = step.at, step.earlier
				if step.earlier {
					earlier++
				}
			}
			Expect(at).To(BeNumerically("<", 10*time.Second))
			Expect(last).To(HaveLen(balancers + agents))
			Expect(last).NotTo(ContainElement(true))
			Expect(earlier).To(Equal(int(seed%2) * (balancers + agents) / 2))
			orders[scheduleUpgrade(seed, time.Second, balancers, agents)[0].process < balancers] = true
		}
		Expect(orders).To(HaveLen(2))
	})
})

var _ = Describe("a run", func() {
	DescribeTable("rejects invalid options", func(o Options) {
		_, err := Run(GinkgoT().Context(), o)
		Expect(err).To(MatchError(ErrOptions))
	},
		Entry("too few processes", Options{Processes: 3, Duration: time.Second, Binary: "."}),
		Entry("too many processes", Options{Processes: 2000, Duration: time.Second, Binary: "."}),
		Entry("too short a duration", Options{Processes: 12, Duration: time.Millisecond, Binary: "."}),
		Entry("a missing program", Options{Processes: 12, Duration: time.Second, Binary: "absent"}),
		Entry("an earlier build that does not start", Options{Processes: 12, Duration: time.Second, Binary: "/bin/true", Previous: "/bin/false"}),
		Entry("an unknown guarantee of the earlier build", Options{
			Processes: 12, Duration: time.Second, Binary: "/bin/true", Previous: "/bin/true", PreviousLacks: []string{"speed"},
		}),
		Entry("guarantees of no earlier build", Options{Processes: 12, Duration: time.Second, Binary: "/bin/true", PreviousLacks: []string{"flow"}}),
	)
})
