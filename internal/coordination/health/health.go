package health

import (
	"time"

	"github.com/currantturn/currantturn"
	"github.com/currantturn/currantturn/internal/event"
)

// State says what a backend server may be given.
type State string

// States of a backend server as its agent sees it.
const (
	Up      State = "up"
	Leaving State = "leaving" // its endpoint says that it drains
	Down    State = "down"    // it does not answer
)

// Answer is what one probe of the health endpoint came to.
type Answer string

// Answers of the health endpoint.
const (
	Good     Answer = "good"
	Draining Answer = "draining"
	Failed   Answer = "failed"
)

// Judge decides on the state of one backend server; it is not safe for
// concurrent use.
type Judge struct {
	id             currantturn.BackendID
	state          State
	failures       int
	successes      int
	probed         time.Time
	answered       time.Time // last request that the backend server answered
	misledSince    time.Time
	misledReported bool
}

// New returns a judge that takes the backend server for up until shown
// otherwise.
func New(id currantturn.BackendID) *Judge {
	return &Judge{id: id, state: Up}
}

// State is the present judgement; without recent probes the last one stands,
// but a drain is not forgotten because the endpoint went quiet.
func (j *Judge) State() State {
	return j.state
}

// Stale says whether the endpoint has been silent for too long to be believed.
func (j *Judge) Stale(now time.Time) bool {
	return now.Sub(j.probed) > staleAfter
}

// Probe takes the answer of the health endpoint.
func (j *Judge) Probe(now time.Time, a Answer, out *currantturn.Effects) {
	j.probed = now
	switch a {
	case Draining:
		j.failures, j.successes = 0, 0
		j.become(Leaving, out)
	case Good:
		j.failures = 0
		j.successes++
		if j.successes >= successesUp {
			j.become(Up, out)
		}
	default:
		j.successes = 0
		j.failures++
		j.judgeFailures(now, out)
	}
}

// Request takes the end of a request that the agent itself sent; ok means that
// the backend server answered at all, whatever the status.
func (j *Judge) Request(now time.Time, ok bool, out *currantturn.Effects) {
	if ok {
		j.answered = now
		return
	}
	j.failures++
	j.judgeFailures(now, out)
}

// judgeFailures believes requests that were answered more than failed probes.
func (j *Judge) judgeFailures(now time.Time, out *currantturn.Effects) {
	if j.failures < failuresDown || now.Sub(j.answered) < trustRequests {
		return
	}
	if j.state == Leaving {
		return
	}
	j.become(Down, out)
}

// Load compares the load that the endpoint tells with what runs by this
// agent's own count, which is the one that decides.
func (j *Judge) Load(now time.Time, told, observed int, out *currantturn.Effects) {
	difference := told - observed
	if difference <= misleadingLoad && difference >= -misleadingLoad {
		j.misledSince = time.Time{}
		j.misledReported = false
		return
	}
	if j.misledSince.IsZero() {
		j.misledSince = now
	}
	if j.misledReported || now.Sub(j.misledSince) < misleadingFor {
		return
	}
	j.misledReported = true
	out.Event(event.LoadReportDistrusted,
		event.F("backend", j.id), event.F("reported", told), event.F("observed", observed))
}

func (j *Judge) become(s State, out *currantturn.Effects) {
	if j.state == s {
		return
	}
	switch s {
	case Down:
		out.Event(event.BackendUnhealthy, event.F("backend", j.id), event.F("error", "no answer"))
	case Leaving:
		out.Event(event.BackendUnhealthy, event.F("backend", j.id), event.F("error", "draining"))
	default:
		out.Event(event.BackendHealthy, event.F("backend", j.id))
	}
	j.state = s
}
