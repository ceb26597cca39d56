package backlog

const (
	// MaxWaiting limits the requests that wait at one agent. At a few dozen
	// milliseconds each, more of them would wait past any deadline.
	MaxWaiting = 1024
	// overdueDivisor determines when a request stops waiting here: when 1/overdueDivisor
	// of its timeout is left, which is enough for the backend server's own short queue.
	overdueDivisor = 4
	// lateInterval is how many released requests include at least one late request,
	// if one waits, so that timely requests never starve late ones.
	lateInterval = 6
)
