package flowbalancer

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("silence", func() {
	start := time.Unix(1_000_000, 0)
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

	It("means nothing after one question", func() {
		var s silence
		s.ask(at(0), at(0))
		Expect(s.length(at(900), at(890))).To(BeZero())
	})

	It("lasts from the first of two questions whose answers are overdue", func() {
		var s silence
		s.ask(at(0), at(0))
		s.ask(at(200), at(190))
		Expect(s.length(at(300), at(290))).To(BeZero(), "the second may still be answered")
		Expect(s.length(at(400), at(390))).To(Equal(400 * time.Millisecond))
	})

	It("counts no questions in a row that were sent before an answer was due", func() {
		var s silence
		s.ask(at(0), at(0))
		s.ask(at(50), at(40))
		s.ask(at(100), at(90))
		Expect(s.length(at(400), at(390))).To(BeZero())
	})

	It("counts no question while no other agent is heard", func() {
		var s silence
		s.ask(at(0), at(0))
		s.ask(at(200), at(0))
		s.ask(at(400), at(0))
		Expect(s.length(at(600), at(0))).To(BeZero())
	})

	It("starts anew long after the last question", func() {
		var s silence
		s.ask(at(0), at(0))
		s.ask(at(200), at(190))
		s.ask(at(5000), at(4990))
		Expect(s.length(at(5200), at(5190))).To(BeZero())
	})
})
