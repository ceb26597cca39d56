package affinity_test

import (
	"fmt"
	"math"
	"testing"
	"time"
)

// shape is a service of one deployment under a load.
type shape struct {
	name         string
	hosts, slots int
	load         float64 // of the flows that all hosts can hold
	slow, cold   bool    // one host works at a third of the speed, one joins
}

const (
	flowsPerHost = 200 // at full load; the deployments have 2,000
	flowTime     = 60 * time.Second
)

// measureImbalance runs long flows that begin and end, and returns the mean and
// the worst over time of the largest work over slots against the mean one.
func measureImbalance(k kind, seed uint64, s shape) (mean, worst float64) {
	w := newWorld(k, seed, 4, s.hosts)
	w.sticky = true
	for i := range w.services[0].Backends {
		w.services[0].Backends[i].Slots = s.slots
		w.agents[i].backend.slots = s.slots
	}
	w.publish()
	w.run(35 * time.Second) // past the ramp of the start
	flows := s.load * flowsPerHost * float64(s.hosts)
	gap := time.Duration(float64(flowTime) / flows)
	var arrive func()
	arrive = func() {
		f := w.open(0, false)
		w.talk(f, 40*time.Second)
		life := time.Duration(w.rng.ExpFloat64() * float64(flowTime))
		w.after(life, func() { w.finish(f, s.slow, life) })
		w.after(time.Duration(w.rng.ExpFloat64()*float64(gap)), arrive)
	}
	arrive()
	w.run(3 * flowTime)
	if s.cold {
		n := w.addBackend(0, s.slots, 1)
		w.publish()
		w.configure(n)
		w.run(2 * flowTime)
	}
	n := 0
	for range 60 {
		w.run(time.Second)
		r := w.imbalance()
		mean += r
		worst = math.Max(worst, r)
		n++
	}
	return mean / float64(n), worst
}

// finish ends a flow, later when its host is the slow one.
func (w *world) finish(f *session, slow bool, life time.Duration) {
	if slow && f.home == w.agents[0] {
		w.after(2*life, func() { w.end(f) })
		return
	}
	w.end(f)
}

func (w *world) imbalance() float64 {
	most, sum := 0.0, 0.0
	for _, n := range w.agents {
		x := float64(n.backend.work) / float64(n.backend.slots)
		most = math.Max(most, x)
		sum += x
	}
	return most * float64(len(w.agents)) / sum
}

func TestImbalance(t *testing.T) {
	const seed, target = 1, 1.15
	shapes := []shape{{"verify", 7, 3, 0.8, false, false}}
	if long() {
		shapes = nil
		for _, load := range []float64{0.5, 0.8, 0.95} {
			shapes = append(shapes,
				shape{"verify", 7, 3, load, false, false}, shape{"reports", 4, 3, load, false, false},
				shape{"proofdesk", 7, 7, load, false, false}, shape{"printvault", 3, 7, load, false, false},
				shape{"proofdesk", 7, 7, load, true, true})
		}
	}
	for _, s := range shapes {
		for _, k := range []kind{product, modulo, least} {
			mean, worst := measureImbalance(k, seed, s)
			t.Log(fmt.Sprintf("| %s | %.0f%% | %t | %s | %.2f | %.2f |", s.name, 100*s.load, s.slow, k, mean, worst))
			if k == product && s.load == 0.8 && mean > target {
				t.Errorf("%s: %.2f", s.name, mean)
			}
		}
	}
}
