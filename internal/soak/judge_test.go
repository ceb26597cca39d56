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

var _ = Describe("the judge", func() {
	const old, calm = -time.Hour, 10 * time.Second
	start := time.Unix(1_000_000, 0)
	id := flowID{caller: netip.MustParseAddrPort("127.32.4.1:20001"), service: movingService}
	var j *judge
	var b *instance
	// led publishes a version that leads new flows to a service.
	led := func(number uint64, acked time.Time, service int) {
		j.configured(version{number: number, acked: acked, routes: map[netip.AddrPort]int{movingService: service, steadyService: 0}})
	}
	verdict := func() string {
		v, _ := j.verdict()
		if len(v) == 0 {
			return ""
		}
		Expect(v).To(HaveLen(1))
		return v[0]
	}

	BeforeEach(func() {
		j = newJudge(func(int) int { return 1 })
		b = &instance{id: "i-1", name: "i-1", machine: 1, service: 0}
		led(1, start.Add(old), 0)
	})

	// Each promise is broken once, calmly and while what it depends on is disturbed.
	DescribeTable("sees a broken promise, and passes over one that a fault explains",
		func(promise string, excuse subject, scene func()) {
			scene()
			Expect(verdict()).To(ContainSubstring(" " + promise + ": "))
			if excuse == "" {
				return
			}
			j = newJudge(func(int) int { return 1 })
			led(1, start.Add(old), 0)
			j.disturb(excuse)
			scene()
			Expect(verdict()).To(BeEmpty())
		},
		Entry("an open flow is reset while its backend server holds it", "flow", backendSubject(1), func() {
			j.sent(start, id, 0)
			j.placed(start, id, b)
			j.opened(start, id, b)
			j.reset(start.Add(time.Second), id, balancerSubject(0), b, true)
		}),
		Entry("an open flow is reset by a balancer that was disturbed or not", "flow", balancerSubject(0), func() {
			j.sent(start, id, 0)
			j.opened(start, id, b)
			j.reset(start.Add(time.Second), id, balancerSubject(0), b, true)
		}),
		Entry("packets of an open flow reach others", "flow", backendSubject(1), func() {
			j.sent(start, id, 0)
			j.opened(start, id, b)
			for i := range 4 {
				j.strayed(start.Add(time.Duration(i)*time.Second), id)
			}
		}),
		Entry("an opening packet that nobody sent", "unasked", subject(""), func() { j.placed(start, id, b) }),
		Entry("a service that no configuration named", "route", subject(""), func() {
			j.sent(start, id, 0)
			j.placed(start, id, &instance{id: "i-2", service: 2})
		}),
		Entry("an old configuration after the bound", "config", balancerSubject(0), func() {
			led(2, start, 1)
			j.sent(start.Add(applyWithin+time.Millisecond), id, 0)
			j.placed(start.Add(applyWithin+2*time.Millisecond), id, b)
		}),
		Entry("a balancer that goes back", "regress", balancerSubject(0), func() {
			led(2, start, 1)
			j.sent(start.Add(time.Millisecond), id, 0)
			j.placed(start.Add(2*time.Millisecond), id, &instance{id: "i-2", service: 1})
			later := flowID{caller: id.caller, service: movingService}
			later.caller = netip.AddrPortFrom(id.caller.Addr(), 20002)
			j.sent(start.Add(time.Second), later, 0)
			j.placed(start.Add(time.Second), later, b)
		}),
		Entry("a new flow at a backend server that has left", "drain", storeSubject, func() {
			j.sent(start, id, 0)
			j.placed(start, id, &instance{id: "i-3", leaving: start.Add(-drainWithin - time.Millisecond)})
		}),
		Entry("a request that runs twice", "once", subject(""), func() {
			j.ran(start, "r", b)
			j.ran(start, "r", b)
		}),
		Entry("a new flow that is refused in calm", "service", backendSubject(7), func() { j.refused(start.Add(calm), id, "refused") }),
		Entry("a request without an answer in calm", "service", backendSubject(7), func() { j.unserved(start.Add(calm), id, "r") }),
	)

	It("takes what was open to doubt as allowed", func() {
		led(2, start, 1)
		j.sent(start.Add(applyWithin-time.Millisecond), id, 0) // before the bound
		j.placed(start.Add(applyWithin+time.Second), id, b)
		j.opened(start, id, b)
		j.reset(start, id, balancerSubject(0), b, false) // its backend server has ended
		for range 10 {
			j.strayed(start, id) // a burst, and then its own
		}
		j.arrived(start.Add(time.Second), id)
		Expect(verdict()).To(BeEmpty())
	})

	It("counts a subject as disturbed until it has settled", func() {
		end := j.disturb(balancerSubject(3))
		Expect(j.calm(start, balancerSubject(3))).To(BeFalse())
		end(start)
		Expect(j.calm(start.Add(settle-time.Millisecond), balancerSubject(3))).To(BeFalse())
		Expect(j.calm(start.Add(settle), balancerSubject(3))).To(BeTrue())
	})
})

var _ = Describe("a schedule", func() {
	It("is the same for the same seed, and another for another", func() {
		a := Schedule(7, 30*time.Second, 4, 8)
		Expect(Schedule(7, 30*time.Second, 4, 8)).To(Equal(a))
		Expect(Schedule(8, 30*time.Second, 4, 8)).NotTo(Equal(a))
		for _, f := range a {
			Expect(f.At + f.For).To(BeNumerically("<=", 30*time.Second))
			Expect(f.Balancer).To(BeNumerically("<", 4))
			Expect(f.Agent).To(BeNumerically("<", 8))
		}
	})

	It("has every kind of fault in some seed", func() {
		seen := map[Kind]bool{}
		for seed := range uint64(30) {
			for _, f := range Schedule(seed, 10*time.Second, 4, 8) {
				seen[f.Kind] = true
			}
		}
		Expect(seen).To(HaveLen(len(weights)))
	})
})

var _ = Describe("options", func() {
	DescribeTable("are refused", func(o Options) {
		_, err := Run(GinkgoT().Context(), o)
		Expect(err).To(MatchError(ErrOptions))
	},
		Entry("too few processes", Options{Processes: 3, Duration: time.Second, Binary: "."}),
		Entry("too many processes", Options{Processes: 2000, Duration: time.Second, Binary: "."}),
		Entry("too short", Options{Processes: 12, Duration: time.Millisecond, Binary: "."}),
		Entry("no program", Options{Processes: 12, Duration: time.Second, Binary: "absent"}),
	)
})
