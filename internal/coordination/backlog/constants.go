package backlog

const (
	// MaxWaiting limits the requests that wait at one agent. At a few dozen
	// milliseconds each, more of them would wait past any deadline.
	MaxWaiting = 1024
	// overdueDivisor is the divisor of a request's timeout that gives the time left
	// when it stops waiting here, enough for the backend server's own short queue.
	overdueDivisor = 4
	// lateInterval is the interval at which a released request is a late one if any
	// waits, so that timely requests never starve late ones.
	lateInterval = 6
)
