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

var _ = Describe("the judge", func() {
	DescribeTable("ends in the state that the probes show",
		func(want health.State, probes ...health.Answer) {
			j := health.New("verify-1")
			var out currantturn.Effects
			for i, a := range probes {
				j.Probe(start.Add(time.Duration(i)*health.ProbeEvery), a, &out)
			}
			Expect(j.State()).To(Equal(want))
		},
		Entry("one failure", health.Up, health.Failed),
		Entry("two failures and a success", health.Up, health.Failed, health.Failed, health.Good, health.Failed),
		Entry("three failures", health.Down, health.Failed, health.Failed, health.Failed),
		Entry("one good probe after three failures", health.Down, health.Failed, health.Failed, health.Failed, health.Good),
		Entry("two good probes after three failures", health.Up,
			health.Failed, health.Failed, health.Failed, health.Good, health.Good),
		Entry("a drain", health.Leaving, health.Good, health.Draining),
		Entry("a drain whose endpoint goes quiet", health.Leaving,
			health.Draining, health.Failed, health.Failed, health.Failed, health.Failed),
		Entry("a drain taken back", health.Up, health.Draining, health.Good, health.Good),
	)

	It("believes answered requests more than a broken endpoint", func() {
		j := health.New("verify-1")
		var out currantturn.Effects
		for i := range 10 {
			now := start.Add(time.Duration(i) * health.ProbeEvery)
			j.Request(now, true, &out)
			j.Probe(now, health.Failed, &out)
		}
		Expect(j.State()).To(Equal(health.Up))
		for i := range 4 {
			j.Probe(start.Add(time.Duration(10+i)*health.ProbeEvery), health.Failed, &out)
		}
		Expect(j.State()).To(Equal(health.Down))
		Expect(out.Events).To(HaveLen(1))
	})

	It("reports a load that misleads once, and only when it lasts", func() {
		j := health.New("verify-1")
		var out currantturn.Effects
		for i := range 20 {
			j.Load(start.Add(time.Duration(i)*time.Second), 0, 9, &out)
		}
		Expect(out.Events).To(HaveLen(1))
		Expect(out.Events[0].Number).To(Equal(event.LoadReportDistrusted))
		j.Load(start.Add(30*time.Second), 8, 9, &out)
		j.Load(start.Add(31*time.Second), 0, 9, &out)
		j.Load(start.Add(32*time.Second), 0, 9, &out)
		Expect(out.Events).To(HaveLen(1))
	})

	It("says when the endpoint has been silent for too long", func() {
		j := health.New("verify-1")
		var out currantturn.Effects
		j.Probe(start, health.Good, &out)
		Expect(j.Stale(start.Add(time.Second))).To(BeFalse())
		Expect(j.Stale(start.Add(time.Minute))).To(BeTrue())
	})
})
