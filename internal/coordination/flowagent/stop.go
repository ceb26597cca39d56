package flowagent

import (
	"time"

	"github.com/currantturn/currantturn"
)

// MarkStopping makes the agent decline new flows, so that those of one request are
// answered before the process ends. Open flows are served as before.
func (a *Agent) MarkStopping() {
	a.stopping.Store(true)
}

// Finished reports whether no request waits or is in progress.
func (a *Agent) Finished() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.backlog.Len()+a.tracker.inProgress() == 0
}

// ReleaseAll delivers the waiting requests to the backend server before the process ends,
// and with it the record of them. The backend server runs, queues or truthfully refuses
// them.
func (a *Agent) ReleaseAll(now time.Time, out *currantturn.Effects) {
	a.mu.Lock()
	waiting := a.backlog.RemoveAll()
	for range waiting {
		a.tracker.requestStarted(now)
	}
	a.mu.Unlock()
	for i := range waiting {
		a.runQueuedRequest(now, &waiting[i], len(waiting)-1-i, out)
	}
}
