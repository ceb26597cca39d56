package flowagent

import (
	"sync"
	"time"

	"github.com/currantturn/currantturn/internal/protocol/relay"
)

// loadTracker tracks the requests and open flows of the backend server.
type loadTracker struct {
	mu              sync.Mutex
	inProgressCount int       // requests in progress
	openFlows       int       // open flows
	meanServiceTime float64   // moving average of the time to an answer, in nanoseconds
	lastAnswer      time.Time // when the last answer arrived
}

// addOpenFlows adds n open flows; n is negative for flows that end.
func (t *loadTracker) addOpenFlows(n int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.openFlows += n
}

// requestStarted counts a request that starts.
func (t *loadTracker) requestStarted() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.inProgressCount++
}

// requestDropped counts a request that ends without an answer.
func (t *loadTracker) requestDropped() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.inProgressCount--
}

// requestAnswered counts a request that ends with an answer and adds the time
// that it took to the average.
func (t *loadTracker) requestAnswered(now time.Time, serviceTime time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.inProgressCount--
	if t.meanServiceTime == 0 || now.Sub(t.lastAnswer) > serviceTimeLifetime {
		t.meanServiceTime = float64(serviceTime)
	}
	t.meanServiceTime += serviceTimeWeight * (float64(serviceTime) - t.meanServiceTime)
	t.lastAnswer = now
}

// inProgress returns the number of requests in progress.
func (t *loadTracker) inProgress() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.inProgressCount
}

// expectedServiceTime returns the average time to an answer; zero if there was
// none yet.
func (t *loadTracker) expectedServiceTime() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return time.Duration(t.meanServiceTime)
}

// load returns the current load, without the average service time if it is too
// old.
func (t *loadTracker) load(now time.Time) relay.Load {
	t.mu.Lock()
	defer t.mu.Unlock()
	l := relay.Load{Running: t.inProgressCount, Flows: t.openFlows}
	if now.Sub(t.lastAnswer) < serviceTimeLifetime {
		l.ServiceTimeUS = uint32(min(t.meanServiceTime/float64(time.Microsecond), 1e9))
	}
	return l
}
