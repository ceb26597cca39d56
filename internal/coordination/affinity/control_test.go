package affinity_test

import (
	"fmt"
	"math"
	"testing"
	"time"
)

// TestDeath measures the time from the death of a host to the last new flow
// that is sent there, and checks that afterwards every flow opens.
func TestDeath(t *testing.T) {
	const bound = 4 * time.Second
	seeds := 5
	if long() {
		seeds = 30
	}
	worst, sum := time.Duration(0), time.Duration(0)
	for seed := range uint64(seeds) {
		w := newWorld(product, seed, 4, 7)
		w.loss = 0.01
		w.run(3 * time.Second)
		dead := w.agents[seed%7]
		died := w.now
		last := died
		w.sent = func(n *node) {
			if n == dead {
				last = w.now
			}
		}
		w.crash(dead)
		for range 1000 {
			w.open(0, false)
			w.run(10 * time.Millisecond)
		}
		w.run(2 * time.Second)
		worst = max(worst, last.Sub(died))
		sum += last.Sub(died)
		if w.report.established < 1000 {
			t.Errorf("seed %d: %d of 1000 flows opened", seed, w.report.established)
		}
	}
	t.Logf("last opening packet sent to a dead host: mean %v, worst %v of %d seeds",
		(sum / time.Duration(seeds)).Round(time.Millisecond), worst.Round(time.Millisecond), seeds)
	if worst > bound {
		t.Errorf("%v after the death", worst)
	}
}

// TestControlTraffic measures what an agent sends for control, at rest and with
// new flows, against the size of its service.
func TestControlTraffic(t *testing.T) {
	const budget, perSecond, seconds = 5000, 10, 20 // bytes/s and flows/s per agent
	sizes := []int{7, 20}
	if long() {
		sizes = []int{7, 20, 100}
	}
	for _, n := range sizes {
		var rates [2]float64
		for i, flows := range []int{0, perSecond} {
			w := newWorld(product, 1, 4, n)
			w.run(5 * time.Second)
			before := w.controlBytes()
			for range seconds * 10 {
				for range flows * n / 10 {
					w.open(0, false)
				}
				w.run(100 * time.Millisecond)
			}
			rates[i] = float64(w.controlBytes()-before) / seconds / float64(n)
		}
		t.Log(fmt.Sprintf("| %d | %.0f | %.0f |", n, rates[0], rates[1]))
		if math.Max(rates[0], rates[1]) > budget {
			t.Errorf("%d agents: %v bytes/s", n, rates)
		}
	}
}

func (w *world) controlBytes() (sum int) {
	for _, n := range w.agents {
		sum += n.control
	}
	return sum
}
