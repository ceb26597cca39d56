package affinity_test

import (
	"fmt"
	"testing"
	"time"
)

// crashes kill one process at a time; a flow may break only with its own host.
var crashes = []change{
	{"crash of every balancer in turn", func(w *world) { w.crashEach(w.balancers) }},
	{"crash of every agent in turn", func(w *world) { w.crashEach(w.agents) }},
	{"pause of 1.5 s of every agent in turn", func(w *world) {
		for _, n := range w.agents {
			n.paused = w.now.Add(1500 * time.Millisecond)
			w.run(3 * time.Second)
		}
	}},
	{"partition of 20 s into halves", func(w *world) {
		w.apart = true
		for i, n := range append(w.agents[:len(w.agents):len(w.agents)], w.balancers...) {
			n.group = i % 2
		}
		w.run(20 * time.Second)
		for _, n := range w.nodes {
			n.group = 0
		}
	}},
}

// crashEach kills a process for good half of the time, else restarts it.
func (w *world) crashEach(nodes []*node) {
	for i, n := range nodes {
		w.crash(n)
		if i%2 == 0 {
			w.run(4 * time.Second)
		}
		w.boot(n)
		w.configure(n)
		w.run(4 * time.Second)
	}
}

func TestCrashes(t *testing.T) {
	const seed = 1
	flows := 100
	if long() {
		flows = 2000
	}
	for _, c := range crashes {
		for _, k := range []kind{product, modulo, least} {
			w := measurePlanned(k, seed, c, 0.01, flows)
			r := w.report
			t.Log(fmt.Sprintf("| %s | %s | %d | %d | %d | %d |", c.name, k, r.opened, r.broken, r.unmarked, r.split))
			if k == product && r.broken+r.split+r.foreign+r.late+r.violations > 0 {
				t.Errorf("%s: %+v", c.name, r)
			}
		}
	}
}
