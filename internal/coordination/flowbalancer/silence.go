package flowbalancer

import "time"

// silence counts the questions that an agent leaves unanswered; it answers each
// at once. One counts only if another agent was heard after it: else the fault
// may be on this side.
type silence struct {
	since time.Time // of the first question since the agent was heard
	asked time.Time // of the last one that counts
	asks  int
}

// ask notes a question. A further one counts after the answer to the one before
// is overdue.
func (s *silence) ask(now, heardAny time.Time) {
	switch waited := now.Sub(s.asked); {
	case s.asks == 0 || waited > searchTimeout:
		s.since, s.asked, s.asks = now, now, 1
	case waited > answerTimeout && heardAny.After(s.asked):
		s.asked = now
		s.asks++
	}
}

// length is for how long the agent has not answered while others did, zero if
// it may still answer.
func (s *silence) length(now, heardAny time.Time) time.Duration {
	waited, missed := now.Sub(s.asked), s.asks
	if waited <= answerTimeout || !heardAny.After(s.asked) {
		missed-- // the last one may still be answered
	}
	if missed < silentAsks || waited > searchTimeout {
		return 0
	}
	return now.Sub(s.since)
}
