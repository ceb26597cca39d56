package affinity_test

import (
	"fmt"
	"math"
	"testing"
	"time"
)

// deployment is a service of one deployment under a load.
type deployment struct {
	name                string
	hosts, slots        int
	load                float64 // of the flows that all hosts can hold
	slowHost, hostJoins bool    // one host works at a third of the speed, one joins
}

const (
	flowsPerHost = 200 // at full load; the deployments have 2,000
	flowTime     = 60 * time.Second
)

// measureImbalance runs long flows that begin and end, and returns the mean and
// the worst over time of the largest work over slots against the mean one.
func measureImbalance(k routerKind, seed uint64, d deployment) (mean, worst float64) {
	sim := newSimulation(k, seed, 4, d.hosts)
	sim.stickyBalancers = true
	for i := range sim.services[0].Backends {
		sim.services[0].Backends[i].Slots = d.slots
		sim.agents[i].backend.slots = d.slots
	}
	sim.publish()
	sim.run(35 * time.Second) // past the ramp of the start
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

// finishFlow ends a flow, later when its host is the slow one.
func (sim *simulation) finishFlow(f *session, slowHost bool, life time.Duration) {
	if slowHost && f.home == sim.agents[0] {
		sim.after(2*life, func() { sim.closeFlow(f) })
		return
	}
	sim.closeFlow(f)
}

func (sim *simulation) imbalance() float64 {
	highest, sum := 0.0, 0.0
	for _, n := range sim.agents {
		x := float64(n.backend.sessionWeight) / float64(n.backend.slots)
		highest = math.Max(highest, x)
		sum += x
	}
	return highest * float64(len(sim.agents)) / sum
}

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
				t.Errorf("%s: %.2f", d.name, mean)
			}
		}
	}
}
