package health

import (
	"time"

	"github.com/currantturn/currantturn"
	"github.com/currantturn/currantturn/internal/event"
)

// State is the state of a backend server, which decides whether it gets new work.
type State string

// States of a backend server as seen by its agent.
const (
	Up      State = "up"
	Leaving State = "leaving" // its endpoint reports that it drains
	Down    State = "down"    // it does not answer
)

// ProbeResult is the result of one probe of the health endpoint.
type ProbeResult string

// Results of a probe.
const (
	Good     ProbeResult = "good"
	Draining ProbeResult = "draining"
	Failed   ProbeResult = "failed" // no answer, or one that is neither
)

// Tracker tracks the state of one backend server; it is not safe for concurrent
// use.
type Tracker struct {
	id               currantturn.BackendID
	state            State
	failures         int       // failed probes and requests since the last good probe or drain
	successes        int       // good probes in a row
	lastProbe        time.Time // end of the last probe
	lastAnswered     time.Time // last request that the backend server answered
	mismatchSince    time.Time // start of the difference between reported and observed load
	mismatchReported bool
}

// New returns a Tracker whose backend server is initially up.
func New(id currantturn.BackendID) *Tracker {
	return &Tracker{id: id, state: Up}
}

// State returns the current state. Without new probes or failed requests it
// stays as it was, and failures never end the state Leaving, so that an endpoint
// that stops answering does not cancel its drain.
func (t *Tracker) State() State {
	return t.state
}

// Stale reports whether the last probe is too old to rely on.
func (t *Tracker) Stale(now time.Time) bool {
	return now.Sub(t.lastProbe) > staleAfter
}

// RecordProbe records the result of a probe of the health endpoint.
func (t *Tracker) RecordProbe(now time.Time, result ProbeResult, out *currantturn.Effects) {
	t.lastProbe = now
	switch result {
	case Draining:
		t.failures, t.successes = 0, 0
		t.setState(Leaving, out)
	case Good:
		t.failures = 0
		t.successes++
		if t.successes >= upThreshold {
			t.setState(Up, out)
		}
	default:
		t.successes = 0
		t.failures++
		t.checkFailures(now, out)
	}
}

// RecordRequest records the outcome of a request that the agent sent; ok means
// that the backend server answered, with whatever status.
func (t *Tracker) RecordRequest(now time.Time, ok bool, out *currantturn.Effects) {
	if ok {
		t.lastAnswered = now
		return
	}
	t.failures++
	t.checkFailures(now, out)
}

// checkFailures makes the backend server down after enough failures, unless it
// is leaving or has answered a request recently.
func (t *Tracker) checkFailures(now time.Time, out *currantturn.Effects) {
	if t.failures < downThreshold || now.Sub(t.lastAnswered) < requestPrecedence {
		return
	}
	if t.state == Leaving {
		return
	}
	t.setState(Down, out)
}

// CompareLoad compares the load reported by the endpoint with the agent's own
// count of running requests, and emits an event when they differ for too long.
// Decisions use the agent's count only.
func (t *Tracker) CompareLoad(now time.Time, reported, observed int, out *currantturn.Effects) {
	difference := reported - observed
	if difference <= loadTolerance && difference >= -loadTolerance {
		t.mismatchSince = time.Time{}
		t.mismatchReported = false
		return
	}
	if t.mismatchSince.IsZero() {
		t.mismatchSince = now
	}
	if t.mismatchReported || now.Sub(t.mismatchSince) < mismatchReportAfter {
		return
	}
	t.mismatchReported = true
	out.Event(event.LoadReportDistrusted,
		event.F("backend", t.id), event.F("reported", reported), event.F("observed", observed))
}

// setState changes the state and emits an event if it differs.
func (t *Tracker) setState(s State, out *currantturn.Effects) {
	if t.state == s {
		return
	}
	switch s {
	case Down:
		out.Event(event.BackendUnhealthy, event.F("backend", t.id), event.F("error", "no answer"))
	case Leaving:
		out.Event(event.BackendUnhealthy, event.F("backend", t.id), event.F("error", "draining"))
	default:
		out.Event(event.BackendHealthy, event.F("backend", t.id))
	}
	t.state = s
}
