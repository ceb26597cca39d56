package try

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// callerStats counts the outcomes that the callers observed.
type callerStats struct {
	mu             sync.Mutex
	latency        *hdrhistogram.Histogram // microseconds
	requests       uint64
	answered       uint64
	wrongAnswers   uint64
	notRun         uint64
	unknown        uint64
	pastDeadline   uint64
	failed         uint64
	brokenFlows    uint64
	stalledWatches uint64
	firstFaults    map[string]string // first description by kind of fault
	answeredKeys   map[string]bool   // request keys with a correct answer
	notRunKeys     map[string]bool   // request keys reported as not run
}

func newCallerStats() *callerStats {
	return &callerStats{
		latency:      hdrhistogram.New(1, maxLatencyMicros, latencyDigits),
		firstFaults:  make(map[string]string),
		answeredKeys: make(map[string]bool),
		notRunKeys:   make(map[string]bool),
	}
}

// outcome is the result of one request as its caller observed it.
type outcome string

const (
	outcomeAnswered     outcome = "answered"
	outcomeWrong        outcome = "wrong"
	outcomeNotRun       outcome = "not_run"
	outcomeUnknown      outcome = "outcome_unknown"
	outcomePastDeadline outcome = "past_deadline"
	outcomeFailed       outcome = "failed"
)

// recordRequest counts a request by its outcome. The key is empty for blobs and
// watches; the latency is used only for answered requests.
func (s *callerStats) recordRequest(key string, o outcome, latency time.Duration, detail string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.requests++
	switch o {
	case outcomeAnswered:
		s.answered++
		s.answeredKeys[key] = true
		_ = s.latency.RecordValue(max(1, latency.Microseconds()))
	case outcomeWrong:
		s.wrongAnswers++
	case outcomeNotRun:
		s.notRun++
		s.notRunKeys[key] = true
	case outcomeUnknown:
		s.unknown++
	case outcomePastDeadline:
		s.pastDeadline++
	default:
		s.failed++
	}
	if o != outcomeAnswered {
		s.keepFirstFault(string(o), detail)
	}
}

// keepFirstFault stores the description of a fault if it is the first of its kind.
// The caller holds the mutex.
func (s *callerStats) keepFirstFault(kind, detail string) {
	if _, ok := s.firstFaults[kind]; !ok {
		s.firstFaults[kind] = detail
	}
}

func (s *callerStats) recordBrokenFlow(detail string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.brokenFlows++
	s.keepFirstFault("broken_flow", detail)
}

func (s *callerStats) recordStalledWatch(detail string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stalledWatches++
	s.keepFirstFault("stalled_watch", detail)
}

func (s *callerStats) counts() (requests, answered, brokenFlows uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.requests, s.answered, s.brokenFlows
}
