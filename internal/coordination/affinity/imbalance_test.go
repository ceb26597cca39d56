package affinity_test

import (
	"fmt"
	"math"
	"testing"
	"time"
)

// deployment is a service of one size under a given load.
type deployment struct {
	name                string
	hosts, slots        int
	load                float64 // as a fraction of the flows that all hosts can hold
	slowHost, hostJoins bool    // one host works at a third of the speed; one host joins
}

const (
	flowsPerHost = 200 // at full load; real deployments have 2,000
	flowTime     = 60 * time.Second
)

// measureImbalance opens and closes long flows and returns the mean and the worst
// imbalance over 60 s.
func measureImbalance(k routerKind, seed uint64, d deployment) (mean, worst float64) {
	sim := newSimulation(k, seed, 4, d.hosts)
	sim.stickyBalancers = true
	for i := range sim.services[0].Backends {
		sim.services[0].Backends[i].Slots = d.slots
		sim.agents[i].backend.slots = d.slots
	}
	sim.publish()
	sim.run(35 * time.Second) // until the ramp-up is over
	flows := d.load * flowsPerHost * float64(d.hosts)
	gap := time.Duration(float64(flowTime) / flows)
	var arrive func()
	arrive = func() {
		f := sim.openFlow(0, false)
		sim.sendData(f, 40*time.Second)
		life := time.Duration(sim.rng.ExpFloat64() * float64(flowTime))
		sim.after(life, func() { sim.finishFlow(f, d.slowHost, life) })
		sim.after(time.Duration(sim.rng.ExpFloat64()*float64(gap)), arrive)
	}
	arrive()
	sim.run(3 * flowTime)
	if d.hostJoins {
		n := sim.addBackend(0, d.slots, 1)
		sim.publish()
		sim.configure(n)
		sim.run(2 * flowTime)
	}
	n := 0
	for range 60 {
		sim.run(time.Second)
		r := sim.imbalance()
		mean += r
		worst = math.Max(worst, r)
		n++
	}
	return mean / float64(n), worst
}

// finishFlow closes a flow. On the slow host the flow lasts three times as long.
func (sim *simulation) finishFlow(f *session, slowHost bool, life time.Duration) {
	if slowHost && f.home == sim.agents[0] {
		sim.after(2*life, func() { sim.closeFlow(f) })
		return
	}
	sim.closeFlow(f)
}

// imbalance returns the highest load per slot of a host, relative to the mean.
func (sim *simulation) imbalance() float64 {
	highest, sum := 0.0, 0.0
	for _, n := range sim.agents {
		x := float64(n.backend.sessionWeight) / float64(n.backend.slots)
		highest = math.Max(highest, x)
		sum += x
	}
	return highest * float64(len(sim.agents)) / sum
}

// TestImbalance checks that the mean imbalance at a load of 0.8 stays below the
// target, and logs the baselines beside it.
func TestImbalance(t *testing.T) {
	const seed, target = 1, 1.15
	deployments := []deployment{{"verify", 7, 3, 0.8, false, false}}
	if longRun() {
		deployments = nil
		for _, load := range []float64{0.5, 0.8, 0.95} {
			deployments = append(deployments,
				deployment{"verify", 7, 3, load, false, false}, deployment{"reports", 4, 3, load, false, false},
				deployment{"proofdesk", 7, 7, load, false, false}, deployment{"printvault", 3, 7, load, false, false},
				deployment{"proofdesk", 7, 7, load, true, true})
		}
	}
	for _, d := range deployments {
		for _, k := range []routerKind{product, modulo, leastConnections} {
			mean, worst := measureImbalance(k, seed, d)
			t.Log(fmt.Sprintf("| %s | %.0f%% | %t | %s | %.2f | %.2f |", d.name, 100*d.load, d.slowHost, k, mean, worst))
			if k == product && d.load == 0.8 && mean > target {
				t.Errorf("%s: mean imbalance %.2f at load 0.8", d.name, mean)
			}
		}
	}
}
