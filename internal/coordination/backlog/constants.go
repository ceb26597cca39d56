package backlog

const (
	// MaxWaiting bounds the requests that wait at one agent; with a few dozen
	// milliseconds of work each, more would wait past any deadline.
	MaxWaiting = 1024
	// overduePart is the last part of its time, one in so many, for which a request
	// does not wait here: time enough for the backend server's own short queue.
	overduePart = 4
	// lateShare is one in how many released requests is a late one if any waits,
	// so that timely ones never starve them.
	lateShare = 6
)
