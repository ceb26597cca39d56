package flowbalancer

import "time"

// unansweredQueries counts the queries that an agent has left unanswered; a working
// agent answers each at once. A query counts only if a message from another agent
// arrived after it: otherwise this balancer may be the one that is disconnected.
type unansweredQueries struct {
	first time.Time // first counted query since the last message from the agent
	last  time.Time // last counted query
	count int
}

// recordQuery records that a query is sent. A further query counts only once the
// answer to the previous one is overdue; after searchTimeout the count starts over.
func (q *unansweredQueries) recordQuery(now, lastReceived time.Time) {
	switch sinceLast := now.Sub(q.last); {
	case q.count == 0 || sinceLast > searchTimeout:
		q.first, q.last, q.count = now, now, 1
	case sinceLast > answerTimeout && lastReceived.After(q.last):
		q.last = now
		q.count++
	}
}

// duration returns how long the agent has not answered while others did, or zero if
// it may still answer.
func (q *unansweredQueries) duration(now, lastReceived time.Time) time.Duration {
	sinceLast, unanswered := now.Sub(q.last), q.count
	if sinceLast <= answerTimeout || !lastReceived.After(q.last) {
		unanswered-- // the last query may still be answered
	}
	if unanswered < minUnanswered || sinceLast > searchTimeout {
		return 0
	}
	return now.Sub(q.first)
}
