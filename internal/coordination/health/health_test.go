package health_test

import (
	"testing"
	"time"

	"github.com/currantturn/currantturn"
	"github.com/currantturn/currantturn/internal/coordination/health"
	"github.com/currantturn/currantturn/internal/event"
	"github.com/currantturn/currantturn/internal/suite"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestHealth(t *testing.T) { suite.Run(t, "health") }

var start = time.Unix(1_700_000_000, 0)

var _ = Describe("health tracking", func() {
	DescribeTable("derives the state from the results of the probes",
		func(want health.State, probes ...health.ProbeResult) {
			tracker := health.New("verify-1")
			var out currantturn.Effects
			for i, result := range probes {
				tracker.RecordProbe(start.Add(time.Duration(i)*health.ProbeEvery), result, &out)
			}
			Expect(tracker.State()).To(Equal(want))
		},
		Entry("one failure", health.Up, health.Failed),
		Entry("two failures, a good probe and another failure", health.Up, health.Failed, health.Failed, health.Good, health.Failed),
		Entry("three failures", health.Down, health.Failed, health.Failed, health.Failed),
		Entry("one good probe after three failures", health.Down, health.Failed, health.Failed, health.Failed, health.Good),
		Entry("two good probes after three failures", health.Up,
			health.Failed, health.Failed, health.Failed, health.Good, health.Good),
		Entry("a drain", health.Leaving, health.Good, health.Draining),
		Entry("a drain followed by failures", health.Leaving,
			health.Draining, health.Failed, health.Failed, health.Failed, health.Failed),
		Entry("a drain followed by two good probes", health.Up, health.Draining, health.Good, health.Good),
	)

	It("gives answered requests precedence over failed probes", func() {
		tracker := health.New("verify-1")
		var out currantturn.Effects
		for i := range 10 {
			now := start.Add(time.Duration(i) * health.ProbeEvery)
			tracker.RecordRequest(now, true, &out)
			tracker.RecordProbe(now, health.Failed, &out)
		}
		Expect(tracker.State()).To(Equal(health.Up))
		for i := range 4 {
			tracker.RecordProbe(start.Add(time.Duration(10+i)*health.ProbeEvery), health.Failed, &out)
		}
		Expect(tracker.State()).To(Equal(health.Down))
		Expect(out.Events).To(HaveLen(1))
	})

	It("reports a wrong load once, and only when it lasts", func() {
		tracker := health.New("verify-1")
		var out currantturn.Effects
		for i := range 20 {
			tracker.CompareLoad(start.Add(time.Duration(i)*time.Second), 0, 9, &out)
		}
		Expect(out.Events).To(HaveLen(1))
		Expect(out.Events[0].Number).To(Equal(event.LoadReportDistrusted))
		tracker.CompareLoad(start.Add(30*time.Second), 8, 9, &out)
		tracker.CompareLoad(start.Add(31*time.Second), 0, 9, &out)
		tracker.CompareLoad(start.Add(32*time.Second), 0, 9, &out)
		Expect(out.Events).To(HaveLen(1))
	})

	It("reports whether the last probe is too old", func() {
		tracker := health.New("verify-1")
		var out currantturn.Effects
		tracker.RecordProbe(start, health.Good, &out)
		Expect(tracker.Stale(start.Add(time.Second))).To(BeFalse())
		Expect(tracker.Stale(start.Add(time.Minute))).To(BeTrue())
	})
})
