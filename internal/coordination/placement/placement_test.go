package placement_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/currantturn/currantturn/internal/coordination/placement"
	"github.com/currantturn/currantturn/internal/suite"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// choose compares all with each other, as balancers do.
func choose(rng *rand.Rand, all []placement.Candidate) int {
	return placement.Choose(rng, all, placement.Usual(all))
}

func TestPlacement(t *testing.T) { suite.Run(t, "placement") }

// play sends short requests to backend servers of three slots each, the first
// of them slowed, and returns how many were answered within the objective.
// Reports of the load come every 100 ms, as agents send them.
func play(seed uint64, slowed float64, choose func(*rand.Rand, []placement.Candidate) int) (timely, all int) {
	const (
		servers   = 7
		slots     = 3
		work      = 22 * time.Millisecond
		gap       = 2500 * time.Microsecond
		played    = 4 * time.Second
		objective = 120 * time.Millisecond
	)
	rng := rand.New(rand.NewPCG(seed, 1))
	type server struct{ free [slots]time.Duration }
	all = int(played / gap)
	state := make([]server, servers)
	candidates := make([]placement.Candidate, servers)
	for i := range candidates {
		candidates[i].Slots = slots
	}
	ends := make([][]time.Duration, servers)
	for now := time.Duration(0); now < played; now += gap {
		if now%(100*time.Millisecond) == 0 {
			for i := range candidates {
				c := &candidates[i]
				c.Sent, c.Running = 0, 0
				for _, end := range ends[i] {
					if end > now {
						c.Running++
					}
				}
				c.Service = work
				if i == 0 {
					c.Service = time.Duration(slowed * float64(work))
				}
			}
		}
		i := choose(rng, candidates)
		candidates[i].Sent++
		first := 0
		for s := range slots {
			if state[i].free[s] < state[i].free[first] {
				first = s
			}
		}
		took := float64(work) * (0.5 + rng.Float64())
		if i == 0 {
			took *= slowed
		}
		end := max(now, state[i].free[first]) + time.Duration(took)
		state[i].free[first] = end
		ends[i] = append(ends[i], end)
		if end-now <= objective {
			timely++
		}
	}
	return timely, all
}

func random(rng *rand.Rand, all []placement.Candidate) int { return rng.IntN(len(all)) }

var _ = Describe("placement", func() {
	rng := func() *rand.Rand { return rand.New(rand.NewPCG(1, 1)) }

	It("keeps nearly all requests in time beside a slow backend server, unlike a random choice", func() {
		for seed := range uint64(10) {
			timely, all := play(seed, 5, choose)
			naive, _ := play(seed, 5, random)
			Expect(float64(timely)/float64(all)).To(BeNumerically(">", 0.97), "seed %d", seed)
			Expect(timely).To(BeNumerically(">", naive), "seed %d", seed)
		}
	})

	It("keeps all requests in time on a calm day", func() {
		timely, all := play(1, 1, choose)
		Expect(timely).To(Equal(all))
	})

	DescribeTable("prefers", func(better, worse placement.Candidate) {
		better.Slots, worse.Slots = 3, 3
		for range 100 {
			Expect(choose(rng(), []placement.Candidate{worse, better, worse})).To(Equal(1))
		}
	},
		Entry("less work", placement.Candidate{Running: 1}, placement.Candidate{Running: 3}),
		Entry("less that was sent since the last report", placement.Candidate{}, placement.Candidate{Sent: 2}),
		Entry("fewer open flows", placement.Candidate{Flows: 10}, placement.Candidate{Flows: 40}),
		Entry("a warm one", placement.Candidate{}, placement.Candidate{WarmUp: true}),
		Entry("one that answers, however busy", placement.Candidate{Running: 50}, placement.Candidate{Avoid: true}),
		Entry("a near one", placement.Candidate{Local: true, Running: 1}, placement.Candidate{Running: 2}),
	)

	It("passes over a slow one among others", func() {
		fast := placement.Candidate{Slots: 3, Service: 20 * time.Millisecond, Running: 1}
		slow := placement.Candidate{Slots: 3, Service: 100 * time.Millisecond}
		for range 100 {
			Expect(choose(rng(), []placement.Candidate{fast, slow, fast})).NotTo(Equal(1))
		}
	})

	It("takes one that does not answer rather than none", func() {
		Expect(choose(rng(), []placement.Candidate{{Slots: 1, Avoid: true}})).To(Equal(0))
		Expect(choose(rng(), nil)).To(Equal(-1))
	})
})

func BenchmarkChoose(b *testing.B) {
	rng := rand.New(rand.NewPCG(1, 1))
	all := make([]placement.Candidate, 20)
	for i := range all {
		all[i] = placement.Candidate{Slots: 3, Running: i % 3, Service: 20 * time.Millisecond}
	}
	b.ReportAllocs()
	for b.Loop() {
		choose(rng, all)
	}
}
