package placement_test

import (
	"time"

	"github.com/currantturn/currantturn/internal/coordination/placement"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("the load of a candidate", func() {
	const objective = 100 * time.Millisecond
	candidate := func(running, sent int, serviceTime time.Duration) placement.Candidate {
		return placement.Candidate{Slots: 4, Running: running, Sent: sent, ServiceTime: serviceTime}
	}

	DescribeTable("is too high if one more request would take most of the objective by waiting", func(c placement.Candidate, overloaded bool) {
		Expect(c.Overloaded(objective)).To(Equal(overloaded))
	},
		Entry("with free slots", candidate(2, 0, 40*time.Millisecond), false),
		Entry("with one request waiting", candidate(4, 0, 40*time.Millisecond), false),
		Entry("with a longer queue", candidate(4, 2, 40*time.Millisecond), true),
		Entry("with a service time near the objective", candidate(10, 0, 80*time.Millisecond), false),
		Entry("with an unknown service time", candidate(100, 0, 0), false),
	)

	DescribeTable("relieves another service only with a free slot", func(c placement.Candidate, relieves bool) {
		Expect(c.Relieves(objective)).To(Equal(relieves))
	},
		Entry("with a free slot", candidate(2, 1, 40*time.Millisecond), true),
		Entry("with a free slot and an unknown service time", candidate(0, 0, 0), true),
		Entry("with all slots taken", candidate(2, 2, 40*time.Millisecond), false),
		Entry("that is too slow", candidate(0, 0, 150*time.Millisecond), false),
		Entry("that is to be avoided", placement.Candidate{Slots: 4, Avoid: true}, false),
	)

	It("is not judged without an objective", func() {
		c := candidate(100, 0, 40*time.Millisecond)
		Expect(c.Overloaded(0)).To(BeFalse())
	})
})
