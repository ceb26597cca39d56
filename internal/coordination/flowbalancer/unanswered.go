package flowbalancer

import "time"

// unansweredQueries counts the queries that an agent has left unanswered; an agent
// answers each at once. A query counts only if another agent was heard from after
// it: otherwise this balancer may be the one that is disconnected.
type unansweredQueries struct {
	first time.Time // first counted query since the agent was last received from
	last  time.Time // last counted query
	count int
}

// recordQuery records that a query is sent. A further query counts only once the
// answer to the previous one is overdue.
func (s *unansweredQueries) recordQuery(now, lastReceived time.Time) {
	switch sinceLast := now.Sub(s.last); {
	case s.count == 0 || sinceLast > searchTimeout:
		s.first, s.last, s.count = now, now, 1
	case sinceLast > answerTimeout && lastReceived.After(s.last):
		s.last = now
		s.count++
	}
}

// duration returns how long the agent has not answered while others did, or zero if
// it may still answer.
func (s *unansweredQueries) duration(now, lastReceived time.Time) time.Duration {
	sinceLast, unanswered := now.Sub(s.last), s.count
	if sinceLast <= answerTimeout || !lastReceived.After(s.last) {
		unanswered-- // the last query may still be answered
	}
	if unanswered < minUnanswered || sinceLast > searchTimeout {
		return 0
	}
	return now.Sub(s.first)
}
