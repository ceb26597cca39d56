package try

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Tally counts what the callers saw.
type Tally struct {
	mu        sync.Mutex
	latency   *hdrhistogram.Histogram // microseconds
	requests  uint64
	answered  uint64
	wrong     uint64
	notRun    uint64
	unknown   uint64
	late      uint64
	failed    uint64
	broken    uint64
	stalled   uint64
	firstSeen map[string]string // kind of fault to the first one's description
	executed  map[string]bool   // request ID to whether the caller was told that it ran
	refused   map[string]bool   // request IDs of which the caller was told not run
}

func newTally() *Tally {
	return &Tally{
		latency:   hdrhistogram.New(1, histogramMax, histogramDigits),
		firstSeen: make(map[string]string),
		executed:  make(map[string]bool),
		refused:   make(map[string]bool),
	}
}

// outcome is what one request came to.
type outcome string

const (
	outcomeAnswered outcome = "answered"
	outcomeWrong    outcome = "wrong"
	outcomeNotRun   outcome = "not_run"
	outcomeUnknown  outcome = "outcome_unknown"
	outcomeLate     outcome = "past_deadline"
	outcomeFailed   outcome = "failed"
)

func (t *Tally) request(id string, o outcome, took time.Duration, detail string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.requests++
	switch o {
	case outcomeAnswered:
		t.answered++
		t.executed[id] = true
		_ = t.latency.RecordValue(max(1, took.Microseconds()))
	case outcomeWrong:
		t.wrong++
	case outcomeNotRun:
		t.notRun++
		t.refused[id] = true
	case outcomeUnknown:
		t.unknown++
	case outcomeLate:
		t.late++
	default:
		t.failed++
	}
	if o != outcomeAnswered {
		t.note(string(o), detail)
	}
}

// note keeps the first description of each kind of fault.
func (t *Tally) note(kind, detail string) {
	if _, ok := t.firstSeen[kind]; !ok {
		t.firstSeen[kind] = detail
	}
}

func (t *Tally) breakFlow(detail string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.broken++
	t.note("broken_flow", detail)
}

func (t *Tally) stall(detail string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.stalled++
	t.note("stalled_watch", detail)
}

func (t *Tally) progress() (requests, answered, broken uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.requests, t.answered, t.broken
}
