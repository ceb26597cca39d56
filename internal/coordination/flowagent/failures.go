package flowagent

import (
	"github.com/currantturn/currantturn"
	"github.com/currantturn/currantturn/internal/event"
)

// failures tell whether the backend server ends requests instead of answering them. One
// that accepts flows and resets them has no work in progress, so that it would look the
// least busy of all and get most new flows. The load that it answers is a backend server
// that goes down and up, or whose program fails behind a listener that works.
type failures struct {
	resets  int // consecutive requests that it reset, with no answer in between
	failing bool
}

// recordReset counts a request that the backend server reset without an answer. It returns
// true if the backend server counts as failing from now on.
func (f *failures) recordReset() (began bool) {
	f.resets++
	began = !f.failing && f.resets >= failingThreshold
	f.failing = f.failing || began
	return began
}

// recordAnswer counts an answer, which ends a failure. It returns true if there was one.
func (f *failures) recordAnswer() (ended bool) {
	ended = f.failing
	*f = failures{}
	return ended
}

// recordFailed records that the backend server reset a request.
func (a *Agent) recordFailed(out *currantturn.Effects) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.failures.recordReset() {
		out.Event(event.BackendFails, event.F("backend", a.opts.Backend), event.F("resets", a.failures.resets))
	}
}

// recordAnswered records that the backend server answered a request.
func (a *Agent) recordAnswered(out *currantturn.Effects) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.failures.recordAnswer() {
		out.Event(event.BackendAnswers, event.F("backend", a.opts.Backend))
	}
}
