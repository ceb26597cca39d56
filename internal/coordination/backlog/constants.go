package backlog

const (
	// MaxWaiting limits the requests that wait at one agent. At a few dozen
	// milliseconds each, more of them would wait past any deadline.
	MaxWaiting = 1024
	// overdueDivisor determines when a request stops waiting here: with one part in
	// overdueDivisor of its timeout left, enough for the backend server's own short
	// queue.
	overdueDivisor = 4
	// lateInterval is the number of released requests of which at least one is a late
	// one, if any waits, so that timely requests never starve late ones.
	lateInterval = 6
)
