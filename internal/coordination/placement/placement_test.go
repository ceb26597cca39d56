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

// choose calls Choose with the usual service time of all candidates, as
// balancers do.
func choose(rng *rand.Rand, all []placement.Candidate) int {
	return placement.Choose(rng, all, placement.UsualServiceTime(all))
}

func TestPlacement(t *testing.T) { suite.Run(t, "placement") }

// simulate simulates short requests to backend servers of three slots each, the
// first slower by the given factor, with a load report every 100 ms. It returns
// how many requests were answered within the objective, and how many there were.
func simulate(seed uint64, slowness float64, choose func(*rand.Rand, []placement.Candidate) int) (timely, all int) {
	const (
		servers     = 7
		slots       = 3
		serviceTime = 22 * time.Millisecond
		interval    = 2500 * time.Microsecond // between requests
		duration    = 4 * time.Second
		objective   = 120 * time.Millisecond
	)
	rng := rand.New(rand.NewPCG(seed, 1))
	type server struct{ slotFree [slots]time.Duration } // when each slot is free
	all = int(duration / interval)
	simulated := make([]server, servers)
	candidates := make([]placement.Candidate, servers)
	for i := range candidates {
		candidates[i].Slots = slots
	}
	ends := make([][]time.Duration, servers) // of the requests at each backend server
	for now := time.Duration(0); now < duration; now += interval {
		if now%(100*time.Millisecond) == 0 {
			for i := range candidates {
				c := &candidates[i]
				c.Sent, c.Running = 0, 0
				for _, end := range ends[i] {
					if end > now {
						c.Running++
					}
				}
				c.ServiceTime = serviceTime
				if i == 0 {
					c.ServiceTime = time.Duration(slowness * float64(serviceTime))
				}
			}
		}
		i := choose(rng, candidates)
		candidates[i].Sent++
		earliest := 0
		for s := range slots {
			if simulated[i].slotFree[s] < simulated[i].slotFree[earliest] {
				earliest = s
			}
		}
		took := float64(serviceTime) * (0.5 + rng.Float64())
		if i == 0 {
			took *= slowness
		}
		end := max(now, simulated[i].slotFree[earliest]) + time.Duration(took)
		simulated[i].slotFree[earliest] = end
		ends[i] = append(ends[i], end)
		if end-now <= objective {
			timely++
		}
	}
	return timely, all
}

func chooseRandom(rng *rand.Rand, all []placement.Candidate) int { return rng.IntN(len(all)) }

var _ = Describe("placement", func() {
	rng := func() *rand.Rand { return rand.New(rand.NewPCG(1, 1)) }

	It("answers nearly all requests in time with one slow backend server, and more than a random choice", func() {
		for seed := range uint64(10) {
			timely, all := simulate(seed, 5, choose)
			randomTimely, _ := simulate(seed, 5, chooseRandom)
			Expect(float64(timely)/float64(all)).To(BeNumerically(">", 0.97), "seed %d", seed)
			Expect(timely).To(BeNumerically(">", randomTimely), "seed %d", seed)
		}
	})

	It("answers all requests in time when no backend server is slow", func() {
		timely, all := simulate(1, 1, choose)
		Expect(timely).To(Equal(all))
	})

	DescribeTable("prefers", func(better, worse placement.Candidate) {
		better.Slots, worse.Slots = 3, 3
		for range 100 {
			Expect(choose(rng(), []placement.Candidate{worse, better, worse})).To(Equal(1))
		}
	},
		Entry("less work in progress", placement.Candidate{Running: 1}, placement.Candidate{Running: 3}),
		Entry("fewer flows placed since the last report", placement.Candidate{}, placement.Candidate{Sent: 2}),
		Entry("fewer open flows", placement.Candidate{Flows: 10}, placement.Candidate{Flows: 40}),
		Entry("one that is not warming up", placement.Candidate{}, placement.Candidate{WarmingUp: true}),
		Entry("a busy one over one that does not answer", placement.Candidate{Running: 50}, placement.Candidate{Avoid: true}),
		Entry("one in the same failure domain", placement.Candidate{Local: true, Running: 1}, placement.Candidate{Running: 2}),
	)

	// At 60 requests per second, three slots of 50 ms are full; one that bears 12 when cold
	// does a fifth of that.
	DescribeTable("gives a cold backend server with a rate a share that rises from that rate to the whole", func(warmth, share float64) {
		warm := placement.Candidate{Slots: 3, ServiceTime: 50 * time.Millisecond, Running: 10, Local: true}
		cold := placement.Candidate{Slots: 3, WarmingUp: true, WarmUpRate: 12, Warmth: warmth, Local: true}
		taken := 0
		for ; taken < 20; taken++ {
			cold.Running = taken
			if choose(rng(), []placement.Candidate{warm, cold}) != 1 {
				break
			}
		}
		Expect(float64(taken)).To(BeNumerically("~", share*10, 1))
	},
		Entry(nil, 0.0, 0.2), Entry(nil, 0.25, 0.4), Entry(nil, 0.5, 0.6), Entry(nil, 1.0, 1.0), Entry(nil, 7.0, 1.0),
	)

	It("avoids a slow backend server among faster ones", func() {
		fast := placement.Candidate{Slots: 3, ServiceTime: 20 * time.Millisecond, Running: 1}
		slow := placement.Candidate{Slots: 3, ServiceTime: 100 * time.Millisecond}
		for range 100 {
			Expect(choose(rng(), []placement.Candidate{fast, slow, fast})).NotTo(Equal(1))
		}
	})

	It("chooses a backend server that does not answer if there is no other, and none without candidates", func() {
		Expect(choose(rng(), []placement.Candidate{{Slots: 1, Avoid: true}})).To(Equal(0))
		Expect(choose(rng(), nil)).To(Equal(-1))
	})
})

func BenchmarkChoose(b *testing.B) {
	rng := rand.New(rand.NewPCG(1, 1))
	all := make([]placement.Candidate, 20)
	for i := range all {
		all[i] = placement.Candidate{Slots: 3, Running: i % 3, ServiceTime: 20 * time.Millisecond}
	}
	b.ReportAllocs()
	for b.Loop() {
		choose(rng, all)
	}
}
