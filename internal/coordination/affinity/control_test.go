package affinity_test

import (
	"fmt"
	"math"
	"testing"
	"time"
)

// TestDeath measures the time from the crash of a host to the last opening packet
// sent to it, and checks that every flow opens all the same.
func TestDeath(t *testing.T) {
	const bound = 4 * time.Second
	seeds := 5
	if longRun() {
		seeds = 30
	}
	worst, sum := time.Duration(0), time.Duration(0)
	for seed := range uint64(seeds) {
		sim := newSimulation(product, seed, 4, 7)
		sim.loss = 0.01
		sim.run(3 * time.Second)
		dead := sim.agents[seed%7]
		crashedAt := sim.now
		lastOpening := crashedAt
		sim.onOpeningSent = func(n *node) {
			if n == dead {
				lastOpening = sim.now
			}
		}
		sim.crash(dead)
		for range 1000 {
			sim.openFlow(0, false)
			sim.run(10 * time.Millisecond)
		}
		sim.run(2 * time.Second)
		worst = max(worst, lastOpening.Sub(crashedAt))
		sum += lastOpening.Sub(crashedAt)
		if sim.report.established < 1000 {
			t.Errorf("seed %d: %d of 1000 flows opened", seed, sim.report.established)
		}
	}
	t.Logf("last opening packet sent to a dead host: mean %v, worst %v of %d seeds",
		(sum / time.Duration(seeds)).Round(time.Millisecond), worst.Round(time.Millisecond), seeds)
	if worst > bound {
		t.Errorf("opening packet sent to a dead host %v after its crash", worst)
	}
}

// TestControlTraffic measures the control bytes that an agent sends, without and
// with new flows, for services of several sizes.
func TestControlTraffic(t *testing.T) {
	const budget, perSecond, seconds = 5000, 10, 20 // bytes/s and flows/s per agent
	sizes := []int{7, 20}
	if longRun() {
		sizes = []int{7, 20, 100}
	}
	for _, n := range sizes {
		var rates [2]float64
		for i, flows := range []int{0, perSecond} {
			sim := newSimulation(product, 1, 4, n)
			sim.run(5 * time.Second)
			before := sim.controlBytes()
			for range seconds * 10 {
				for range flows * n / 10 {
					sim.openFlow(0, false)
				}
				sim.run(100 * time.Millisecond)
			}
			rates[i] = float64(sim.controlBytes()-before) / seconds / float64(n)
		}
		t.Log(fmt.Sprintf("| %d | %.0f | %.0f |", n, rates[0], rates[1]))
		if math.Max(rates[0], rates[1]) > budget {
			t.Errorf("%d agents: control traffic without and with new flows is %v bytes/s per agent", n, rates)
		}
	}
}

// controlBytes returns the control bytes sent by all agents so far.
func (sim *simulation) controlBytes() (sum int) {
	for _, n := range sim.agents {
		sum += n.controlBytes
	}
	return sum
}
