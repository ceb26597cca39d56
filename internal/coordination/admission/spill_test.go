package admission_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/currantturn/currantturn"
	"github.com/currantturn/currantturn/internal/coordination/admission"
)

const (
	spillDelay   = 3 * time.Millisecond   // round trip to a peer
	loadInterval = 200 * time.Millisecond // between two exchanges of loads
	gateCount    = 7
)

// service is seven gates of three slots each that receive the loads of their peers
// every loadInterval.
type service struct {
	sim            *simulation
	gates          []*admission.Gate
	spillFirst     bool // spill before queueing, else only instead of a refusal
	spills         bool // spill at all
	responseTimes  []time.Duration
	refused        int
	firstGateShare float64 // share of the requests sent to the first gate; the others are spread evenly
}

func (s *service) clock() time.Time { return epoch.Add(s.sim.now) }

// request sends one request to a gate.
func (s *service) request() {
	at := s.sim.rng.IntN(gateCount)
	if s.sim.rng.Float64() < s.firstGateShare {
		at = 0
	}
	started := s.sim.now
	s.serve(at, started, started+tryTimeout, s.spills)
}

// spill forwards a request to a peer with a free slot, if there is one.
func (s *service) spill(at int, started, deadline time.Duration) bool {
	p, ok := s.gates[at].Spill(s.clock(), false)
	if !ok {
		return false
	}
	var to int
	_, _ = fmt.Sscanf(string(p.ID), "p-%d", &to)
	s.sim.after(spillDelay, func() { s.serve(to, started, deadline, false) })
	return true
}

// serve sends a request to the gate at index at and spills it if maySpill is set.
func (s *service) serve(at int, started, deadline time.Duration, maySpill bool) {
	if maySpill && s.spillFirst && s.spill(at, started, deadline) {
		return
	}
	var t *admission.Ticket
	g := s.gates[at]
	finish := func(d admission.Decision) {
		if d == admission.Admit {
			s.sim.after(s.sim.exponential(meanServiceTime), func() {
				g.Release(s.clock(), t, true)
				s.responseTimes = append(s.responseTimes, s.sim.now-started)
			})
			return
		}
		if !maySpill || !s.spill(at, started, deadline) {
			s.refused++
		}
	}
	later := func(d admission.Decision) { s.sim.after(0, func() { finish(d) }) }
	t, d, _ := g.Enter(s.clock(), epoch.Add(deadline), later)
	if d != admission.Queue {
		finish(d)
	}
}

// run simulates requests at a load, given as a fraction of the capacity of all
// gates, and sorts the response times.
func (s *service) run(load float64) {
	gap := time.Duration(float64(meanServiceTime) / (3 * gateCount) / load)
	var arrive, shareLoads func()
	arrive = func() {
		s.request()
		s.sim.after(s.sim.exponential(gap), arrive)
	}
	shareLoads = func() {
		for i, g := range s.gates {
			for _, peer := range s.gates {
				peer.SetPeerLoad(s.clock(), currantturn.BackendID(fmt.Sprint("p-", i)), g.Load(s.clock()))
			}
		}
		s.sim.after(loadInterval, shareLoads)
	}
	arrive()
	shareLoads()
	for s.sim.now < runTime {
		e := heap.Pop(&s.sim.queue).(event)
		s.sim.now = e.at
		e.do()
	}
	slices.Sort(s.responseTimes)
}

func newService(seed uint64, spills, spillFirst bool) *service {
	states := make([]currantturn.BackendState, gateCount)
	for i := range states {
		states[i] = currantturn.BackendActive
	}
	s := &service{sim: &simulation{rng: rand.New(rand.NewPCG(seed, 1))}, spills: spills, spillFirst: spillFirst, firstGateShare: 0.2}
	for i := range gateCount {
		g := admission.New(admission.Options{
			ID: currantturn.BackendID(fmt.Sprint("p-", i)), Service: "proofdesk", Started: epoch,
			Rand: rand.New(rand.NewPCG(seed, uint64(10+i))),
		})
		g.Configure(epoch, view(50, states...), &currantturn.Effects{})
		s.gates = append(s.gates, g)
	}
	return s
}

// TestSpillBeforeQueueing checks that spilling to a peer with a free slot before
// queueing gives no higher p99 response time than spilling only instead of a
// refusal, and at half load at most half of it.
func TestSpillBeforeQueueing(t *testing.T) {
	p99 := map[string]time.Duration{}
	for _, load := range []float64{0.5, 0.7, 0.9} {
		for _, policy := range []struct {
			name               string
			spills, spillFirst bool
		}{{"never pass", false, false}, {"pass instead of a refusal", true, false}, {"pass before queueing", true, true}} {
			s := newService(5, policy.spills, policy.spillFirst)
			s.run(load)
			n := len(s.responseTimes)
			p99[policy.name] = s.responseTimes[n*99/100]
			t.Logf("load %.1f, %s: p50 %v, p99 %v, %d answered, %d refused", load, policy.name,
				s.responseTimes[n/2].Round(100*time.Microsecond), p99[policy.name].Round(100*time.Microsecond), n, s.refused)
		}
		before, instead := p99["pass before queueing"], p99["pass instead of a refusal"]
		if before > instead || load == 0.5 && 2*before > instead {
			t.Errorf("load %.1f: spilling before queueing does not lower p99 enough: %v", load, p99)
		}
	}
}
