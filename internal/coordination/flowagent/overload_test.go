package flowagent_test

import (
	"slices"
	"time"

	"github.com/currantturn/currantturn"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// kinds returns two kinds of short requests on long flows, with the given share of the
// urgent one.
func kinds(urgent float64) []kind {
	return []kind{
		{
			demand: currantturn.Demand{Priority: 1, LatencyObjective: 400 * time.Millisecond, Timeout: 2 * time.Second},
			work:   44 * time.Millisecond, weight: urgent, worth: 2,
		},
		{
			demand: currantturn.Demand{Priority: 2, LatencyObjective: 300 * time.Millisecond, Timeout: 1500 * time.Millisecond},
			work:   34 * time.Millisecond, weight: 1 - urgent, worth: 1,
		},
	}
}

// alike returns the speeds of n servers of equal speed.
func alike(n int) []float64 { return slices.Repeat([]float64{1}, n) }

// even and uneven are servers of equal and of different speed.
var (
	even   = []float64{1, 1, 1, 1}
	uneven = []float64{0.6, 1, 1.6, 0.6, 1, 1.6}
)

// Callers send more than the servers can do for four seconds. If late requests take
// slots from timely ones, all are late soon, and stay so as long as the burst lasts.
var _ = Describe("agents under overload", func() {
	DescribeTable("answer in time what the servers can do", func(l overload, worth float64) {
		r := l.play()
		GinkgoWriter.Printf("%+v\n", *r)
		Expect(r.worth).To(BeNumerically(">=", worth))
		if l.burst >= 1.5 { // more than retries of refused requests can make up for
			l.direct = true
			direct := l.play()
			GinkgoWriter.Printf("%+v direct\n", *direct)
			Expect(r.worth).To(BeNumerically(">", direct.worth))
		}
		Expect(r.recovered.timelyShare()).To(BeNumerically(">=", 0.9), "a second after the burst")
	},
		Entry("below the capacity, with servers of different speed",
			overload{kinds: kinds(0.2), speeds: uneven, slots: 2, queue: 8, usual: 0.6, burst: 0.9}, 0.92),
		Entry("slightly above it",
			overload{kinds: kinds(0.2), speeds: uneven, slots: 2, queue: 8, usual: 0.6, burst: 1.1}, 0.88),
		Entry("at one and a half times of it",
			overload{kinds: kinds(0.2), speeds: uneven, slots: 2, queue: 8, usual: 0.6, burst: 1.5}, 0.74),
		Entry("at more than twice of it",
			overload{kinds: kinds(0.2), speeds: uneven, slots: 2, queue: 8, usual: 0.6, burst: 2.2}, 0.57),
		Entry("with equal servers",
			overload{kinds: kinds(0.2), speeds: even, slots: 2, queue: 8, usual: 0.6, burst: 1.5}, 0.74),
		Entry("with slow servers whose queue alone takes the objective",
			overload{kinds: kinds(0.2), speeds: []float64{1.8, 1.8, 1.8, 1.8}, slots: 7, queue: 28, usual: 0.6, burst: 1.5}, 0.73),
	)

	It("let no caller displace others of the same kind", func() {
		l := overload{kinds: kinds(0.2), speeds: even, slots: 2, queue: 8, usual: 0.6, burst: 1.5, greedy: 0.6}
		r := l.play()
		GinkgoWriter.Printf("%+v\n", *r)
		Expect(r.others.timelyShare()).To(BeNumerically(">=", 0.9))
		Expect(r.greedy.timelyShare()).To(BeNumerically(">=", 0.5), "unused shares are lent")
	})

	It("let no burst of an urgent kind starve another kind", func() {
		l := overload{kinds: kinds(0.8), speeds: even, slots: 2, queue: 8, usual: 0.5, burst: 1.5}
		r := l.play()
		GinkgoWriter.Printf("%+v\n", *r)
		Expect(r.kinds[1].timelyShare()).To(BeNumerically(">=", 0.85))
		Expect(r.kinds[0].timelyShare()).To(BeNumerically(">=", 0.6))
	})

	// A request without an answer must not hold a slot that others wait for until they are
	// given up.
	DescribeTable("answer what servers that leave some requests unanswered can do", func(l overload, none, worth float64) {
		r := l.play()
		GinkgoWriter.Printf("%+v\n", *r)
		Expect(r.worth).To(BeNumerically(">=", worth))
		lost, all := 0, 0
		for _, o := range r.kinds {
			lost += o.none
			all += o.timely + o.late + o.none
		}
		Expect(float64(lost) / float64(all)).To(BeNumerically("<=", none))
	},
		Entry("at usual load, a quarter of them with half of the requests",
			overload{kinds: kinds(0.2), speeds: alike(8), slots: 2, queue: 8, usual: 0.6, burst: 0.6, silent: silence{servers: 2, share: 0.5}}, 0.1, 0.9),
		Entry("in a burst",
			overload{kinds: kinds(0.2), speeds: alike(8), slots: 2, queue: 8, usual: 0.5, burst: 1.1, silent: silence{servers: 2, share: 0.5}}, 0.2, 0.5),
		Entry("that hold their slots",
			overload{kinds: kinds(0.2), speeds: alike(8), slots: 2, queue: 8, usual: 0.6, burst: 0.6, silent: silence{servers: 2, share: 0.1, hold: true}}, 0.1, 0.9),
	)
})
