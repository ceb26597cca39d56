package flowagent

import (
	"sync"
	"time"

	"github.com/currantturn/currantturn/internal/protocol/relay"
)

// work is what an agent sees of its backend server's requests.
type work struct {
	mu      sync.Mutex
	running int
	flows   int
	service float64   // mean time of recent answers, nanoseconds
	last    time.Time // of an answer
}

func (w *work) opened(n int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.flows += n
}

func (w *work) started() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.running++
}

func (w *work) dropped() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.running--
}

func (w *work) answered(now time.Time, took time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.running--
	if w.service == 0 || now.Sub(w.last) > serviceFor {
		w.service = float64(took)
	}
	w.service += serviceWeight * (float64(took) - w.service)
	w.last = now
}

// inProgress is how many requests the backend server works on.
func (w *work) inProgress() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.running
}

// expected is how long an answer takes, zero if that is not known yet.
func (w *work) expected() time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	return time.Duration(w.service)
}

// load is the present load; a mean that is too old is left out.
func (w *work) load(now time.Time) relay.Load {
	w.mu.Lock()
	defer w.mu.Unlock()
	l := relay.Load{Running: w.running, Flows: w.flows}
	if now.Sub(w.last) < serviceFor {
		l.ServiceUS = uint32(min(w.service/float64(time.Microsecond), 1e9))
	}
	return l
}
