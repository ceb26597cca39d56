package affinity_test

import (
	"fmt"
	"testing"
	"time"
)

// crashChanges are crashes, pauses and a partition. A flow may end only if its own
// host crashes.
var crashChanges = []change{
	{"crash of every balancer in turn", func(sim *simulation) { sim.crashEach(sim.balancers) }},
	{"crash of every agent in turn", func(sim *simulation) { sim.crashEach(sim.agents) }},
	{"pause of 1.5 s of every agent in turn", func(sim *simulation) {
		for _, n := range sim.agents {
			n.pausedUntil = sim.now.Add(1500 * time.Millisecond)
			sim.run(3 * time.Second)
		}
	}},
	{"partition of 20 s into halves", func(sim *simulation) {
		sim.longPartition = true
		for i, n := range append(sim.agents[:len(sim.agents):len(sim.agents)], sim.balancers...) {
			n.partition = i % 2
		}
		sim.run(20 * time.Second)
		for _, n := range sim.nodes {
			n.partition = 0
		}
	}},
}

// crashEach crashes and restarts the nodes in turn. Every second node restarts at
// once, the others after 4 s.
func (sim *simulation) crashEach(nodes []*node) {
	for i, n := range nodes {
		sim.crash(n)
		if i%2 == 0 {
			sim.run(4 * time.Second)
		}
		sim.startProcess(n)
		sim.configure(n)
		sim.run(4 * time.Second)
	}
}

// TestCrashes checks that no flow breaks while its own host runs, and logs the
// baselines beside it.
func TestCrashes(t *testing.T) {
	const seed = 1
	flows := 100
	if longRun() {
		flows = 2000
	}
	for _, c := range crashChanges {
		for _, k := range []routerKind{product, modulo, leastConnections} {
			sim := measureChange(k, seed, c, 0.01, flows)
			r := sim.report
			t.Log(fmt.Sprintf("| %s | %s | %d | %d | %d | %d |", c.name, k, r.opened, r.broken, r.unmarked, r.split))
			if k == product && r.broken+r.split+r.foreign+r.late+r.violations > 0 {
				t.Errorf("%s: %+v", c.name, r)
			}
		}
	}
}
