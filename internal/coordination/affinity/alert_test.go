package affinity_test

import (
	"testing"
	"time"

	"github.com/currantturn/currantturn"
)

// TestAlertDelay pushes alerts to a caller that has sent nothing for 10 s or more,
// while one of four balancers is dead, and measures their delay. The host repeats an
// alert after 50 ms, 100 ms and so on, as a transport does.
func TestAlertDelay(t *testing.T) {
	const alerts, bound = 100, 500 * time.Millisecond
	for _, busy := range []bool{true, false} {
		sim := newSimulation(product, 1, 4, 3)
		sim.run(3 * time.Second)
		idle := sim.openFlow(0, false)
		for range 60 {
			s := sim.openFlow(0, false)
			if busy {
				sim.sendData(s, 300*time.Millisecond)
			}
		}
		sim.run(10 * time.Second)
		sim.crash(sim.balancers[0])
		var worst, sum time.Duration
		for range alerts {
			pushed := sim.now
			idle.answered = false
			sim.pushAlert(idle, 50*time.Millisecond)
			for !idle.answered && sim.now.Sub(pushed) < 10*time.Second {
				sim.run(time.Millisecond)
			}
			delay := sim.now.Sub(pushed)
			worst, sum = max(worst, delay), sum+delay
			sim.run(100 * time.Millisecond)
		}
		t.Logf("other flows send data %t: alerts arrive after mean %v, worst %v", busy, (sum / alerts).Round(time.Millisecond), worst)
		if worst > bound {
			t.Errorf("an alert arrived after %v", worst)
		}
	}
}

// pushAlert sends an alert from the home of a flow, with doubling waits, until its
// caller receives it.
func (sim *simulation) pushAlert(s *session, wait time.Duration) {
	if s.answered {
		return
	}
	sim.execute(s.home, func(out *currantturn.Effects) {
		s.home.router.(currantturn.Answerer).Answer(sim.now, &currantturn.Packet{Flow: s.flow, Mark: currantturn.MarkData}, out)
	})
	sim.after(wait, func() { sim.pushAlert(s, 2*wait) })
}
