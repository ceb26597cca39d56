package affinity_test

import (
	"testing"
	"time"

	"github.com/currantturn/currantturn"
)

// TestAlertDelay pushes alerts to a caller that has long been silent, while one
// of four balancers is dead, and measures how late they come; the host repeats
// an alert after 50 ms, 100 ms and so on, as a transport does.
func TestAlertDelay(t *testing.T) {
	const alerts, bound = 100, 500 * time.Millisecond
	for _, busy := range []bool{true, false} {
		w := newWorld(product, 1, 4, 3)
		w.run(3 * time.Second)
		quiet := w.open(0, false)
		for range 60 {
			s := w.open(0, false)
			if busy {
				w.talk(s, 300*time.Millisecond)
			}
		}
		w.run(10 * time.Second)
		w.crash(w.balancers[0])
		var worst, sum time.Duration
		for range alerts {
			pushed := w.now
			quiet.up = false
			w.push(quiet, 50*time.Millisecond)
			for !quiet.up && w.now.Sub(pushed) < 10*time.Second {
				w.run(time.Millisecond)
			}
			delay := w.now.Sub(pushed)
			worst, sum = max(worst, delay), sum+delay
			w.run(100 * time.Millisecond)
		}
		t.Logf("other flows talk %t: alerts after mean %v, worst %v", busy, (sum / alerts).Round(time.Millisecond), worst)
		if worst > bound {
			t.Errorf("an alert came after %v", worst)
		}
	}
}

// push sends from the host of a flow until its caller has it.
func (w *world) push(s *session, wait time.Duration) {
	if s.up {
		return
	}
	w.decide(s.home, func(out *currantturn.Effects) {
		s.home.router.(currantturn.Answerer).Answer(w.now, &currantturn.Packet{Flow: s.flow, Mark: currantturn.MarkData}, out)
	})
	w.after(wait, func() { w.push(s, 2*wait) })
}
