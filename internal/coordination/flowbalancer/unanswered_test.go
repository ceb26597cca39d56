package flowbalancer

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("unanswered queries", func() {
	start := time.Unix(1_000_000, 0)
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

	It("prove nothing if there is only one", func() {
		var q unansweredQueries
		q.recordQuery(at(0), at(0))
		Expect(q.duration(at(900), at(890))).To(BeZero())
	})

	It("are timed from the first of two whose answers are overdue", func() {
		var q unansweredQueries
		q.recordQuery(at(0), at(0))
		q.recordQuery(at(200), at(190))
		Expect(q.duration(at(300), at(290))).To(BeZero(), "the second query may still be answered")
		Expect(q.duration(at(400), at(390))).To(Equal(400 * time.Millisecond))
	})

	It("count once if sent before the previous answer is due", func() {
		var q unansweredQueries
		q.recordQuery(at(0), at(0))
		q.recordQuery(at(50), at(40))
		q.recordQuery(at(100), at(90))
		Expect(q.duration(at(400), at(390))).To(BeZero())
	})

	It("do not count while no message arrives from other agents", func() {
		var q unansweredQueries
		q.recordQuery(at(0), at(0))
		q.recordQuery(at(200), at(0))
		q.recordQuery(at(400), at(0))
		Expect(q.duration(at(600), at(0))).To(BeZero())
	})

	It("are counted anew long after the last one", func() {
		var q unansweredQueries
		q.recordQuery(at(0), at(0))
		q.recordQuery(at(200), at(190))
		q.recordQuery(at(5000), at(4990))
		Expect(q.duration(at(5200), at(5190))).To(BeZero())
	})
})
