package health

import "time"

const (
	// ProbeEvery is the period of probes of the health endpoint.
	ProbeEvery = 500 * time.Millisecond
	// ProbeTimeout ends a probe that got no answer.
	ProbeTimeout = 400 * time.Millisecond
	// failuresDown is how many failures in a row make a backend server down.
	failuresDown = 3
	// successesUp is how many good probes in a row end that state.
	successesUp = 2
	// trustRequests is how long an answered request outweighs failed probes.
	trustRequests = time.Second
	// staleAfter is the age at which the last probe says nothing any more.
	staleAfter = 5 * time.Second
	// misleadingLoad is the difference, in requests, between the load that the
	// endpoint tells and the load observed here that is worth an event.
	misleadingLoad = 2
	// misleadingFor is how long that difference must last.
	misleadingFor = 5 * time.Second
)
