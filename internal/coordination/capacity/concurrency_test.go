package capacity_test

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/currantturn/currantturn/internal/coordination/capacity"
	"github.com/currantturn/currantturn/internal/suite"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

func TestCapacity(t *testing.T) { suite.Run(t, "capacity") }

const (
	median = 30 * time.Millisecond
	// mean is the mean work of requests with that median.
	mean = median * 130 / 100
)

// steady returns requests of one kind, as a share of what a given number of slots takes.
func steady(share float64, slots float64) func(time.Duration) []kind {
	kinds := []kind{{id: 1, perSecond: share * slots / mean.Seconds(), work: median}}
	return func(time.Duration) []kind { return kinds }
}

// proportional is a backend server whose slots do not slow each other down.
func proportional(_ time.Duration, n int) float64 { return float64(n) }

// disturbed is a backend server that does less and less with more than three requests
// in progress.
func disturbed(_ time.Duration, n int) float64 {
	return min(float64(n), 3) * math.Pow(0.85, max(float64(n-3), 0))
}

// during returns value from one time to another, and usual otherwise.
func during(from, to time.Duration, value, usual float64) func(time.Duration) float64 {
	return func(at time.Duration) float64 {
		if at >= from && at < to {
			return value
		}
		return usual
	}
}

var _ = Describe("the number of requests at once", func() {
	// limits plays the load with several seeds and returns the share of the time in which
	// the limit was below the slots.
	limits := func(p play) float64 {
		below, all := 0, 0
		for p.seed = range uint64(8) {
			p.each = func(at time.Duration, c *capacity.Concurrency, _ *capacity.Times) {
				all++
				if c.Limit(time.Unix(1000, 0).Add(at)) < p.slots {
					below++
				}
			}
			p.run()
		}
		return float64(below) / float64(all)
	}

	DescribeTable("stays at the slots if these do not slow each other down", func(slots int, share float64) {
		p := play{slots: slots, kinds: steady(share, float64(slots)), speed: proportional, duration: 30 * time.Second}
		Expect(limits(p)).To(BeNumerically("<", 0.02))
	},
		Entry("at low load", 2, 0.3), Entry("at usual load", 2, 0.6), Entry("at high load", 2, 0.9), Entry("in overload", 2, 1.5),
		Entry("with three slots", 3, 0.7), Entry("with seven slots", 7, 0.5), Entry("with seven full slots", 7, 0.95),
		Entry("with many slots", 40, 0.8),
	)

	It("stays at the slots through a spell in which all requests take five times as long", func() {
		slowness := during(10*time.Second, 15*time.Second, 0.2, 1)
		p := play{slots: 3, kinds: steady(0.6, 3), duration: 30 * time.Second, speed: func(at time.Duration, n int) float64 {
			return slowness(at) * float64(n)
		}}
		Expect(limits(p)).To(BeNumerically("<", 0.02))
	})

	It("stays at the slots through a spell in which nearly half of the requests fail at once", func() {
		p := play{slots: 3, kinds: steady(0.6, 3), speed: proportional, duration: 30 * time.Second, failing: during(10*time.Second, 15*time.Second, 0.45, 0)}
		Expect(limits(p)).To(BeNumerically("<", 0.02))
	})

	It("stays at the slots through a burst of three times the load", func() {
		usual, burst := steady(0.5, 2), steady(1.5, 2)
		p := play{slots: 2, speed: proportional, duration: 30 * time.Second, kinds: func(at time.Duration) []kind {
			if at >= 10*time.Second && at < 14*time.Second {
				return burst(at)
			}
			return usual(at)
		}}
		Expect(limits(p)).To(BeNumerically("<", 0.02))
	})

	It("stays at the slots through a change of the mix to work that takes three times as long", func() {
		p := play{slots: 3, speed: proportional, duration: 30 * time.Second, kinds: func(at time.Duration) []kind {
			short, long := 40.0, 3.0
			if at > 12*time.Second {
				short, long = 4, 18
			}
			return []kind{{id: 1, perSecond: short, work: median}, {id: 2, perSecond: long, work: 3 * median}}
		}}
		Expect(limits(p)).To(BeNumerically("<", 0.02))
	})

	// A backend server that slows down long before it is full: more requests in progress
	// make it slower, so that more wait, and it does not recover by itself.
	It("falls where more requests slow the backend server down, and more are answered in time", func() {
		const objective = 300 * time.Millisecond
		for seed := range uint64(5) {
			p := play{seed: seed, slots: 8, kinds: steady(0.7, 3), speed: disturbed, duration: 40 * time.Second}
			limited := timely(p.run(), objective)
			p.unlimited = true
			unlimited := timely(p.run(), objective)
			Expect(limited).To(BeNumerically(">", 2*unlimited), "seed %d", seed)
		}
	})

	It("rises again when the backend server no longer slows down", func() {
		for seed := range uint64(5) {
			var limit int
			p := play{seed: seed, slots: 8, duration: 60 * time.Second, kinds: steady(0.9, 3), speed: func(at time.Duration, n int) float64 {
				if at < 30*time.Second {
					return disturbed(at, n)
				}
				return float64(n)
			}}
			p.each = func(at time.Duration, c *capacity.Concurrency, _ *capacity.Times) {
				limit = c.Limit(time.Unix(1000, 0).Add(at))
			}
			p.run()
			Expect(limit).To(Equal(8), "seed %d", seed)
		}
	})

	It("starts anew with another number of slots, and is unknown without", func() {
		var c capacity.Concurrency
		Expect(c.Limit(time.Unix(1000, 0))).To(BeZero())
		c.SetSlots(3)
		Expect(c.Limit(time.Unix(1000, 0))).To(Equal(3))
		c.SetSlots(5)
		Expect(c.Limit(time.Unix(1001, 0))).To(Equal(5))
	})
})

func TestLimitStaysWithinBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var c capacity.Concurrency
		slots := rapid.IntRange(1, 64).Draw(t, "slots")
		c.SetSlots(slots)
		now := time.Unix(1000, 0)
		for range rapid.IntRange(0, 400).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(-5, 400).Draw(t, "pause")) * time.Millisecond)
			switch {
			case c.InProgress() == 0 || rapid.Bool().Draw(t, "starts"):
				c.Started(now)
			case rapid.Bool().Draw(t, "answered"):
				c.Answered(now)
			default:
				c.Dropped(now)
			}
			if limit := c.Limit(now); limit < 1 || limit > slots {
				t.Fatalf("limit %d with %d slots", limit, slots)
			}
		}
		// Whatever it was, it ends at the slots when these have answered in proportion.
		for c.InProgress() > 0 {
			c.Dropped(now)
		}
		rng := rand.New(rand.NewPCG(1, 1))
		n := 0
		for i := range 12000 {
			now = now.Add(10 * time.Millisecond)
			if i%5 == 0 {
				n = rng.IntN(c.Limit(now) + 1)
			}
			for c.InProgress() < n {
				c.Started(now)
			}
			for c.InProgress() > n {
				c.Dropped(now)
			}
			for range n { // each takes 10 ms
				c.Answered(now)
				c.Started(now)
			}
		}
		if limit := c.Limit(now); limit < slots {
			t.Fatalf("limit %d of %d slots after proportional answers", limit, slots)
		}
	})
}
