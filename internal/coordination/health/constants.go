package health

import "time"

const (
	// ProbeEvery is the period of the probes of the health endpoint.
	ProbeEvery = 500 * time.Millisecond
	// ProbeTimeout is how long a probe waits for an answer.
	ProbeTimeout = 400 * time.Millisecond
	// downThreshold is how many failures in a row make a backend server down.
	downThreshold = 3
	// upThreshold is how many good probes in a row make a backend server up again.
	upThreshold = 2
	// requestPrecedence is how long an answered request takes precedence over failures.
	requestPrecedence = time.Second
	// staleAfter is the age at which the last probe no longer counts.
	staleAfter = 5 * time.Second
	// loadTolerance is the difference, in requests, up to which the load reported by
	// the endpoint and the load observed by the agent count as equal.
	loadTolerance = 2
	// mismatchReportAfter is how long a larger difference must last to be reported.
	mismatchReportAfter = 5 * time.Second
)
