package backlog

const (
	// MaxWaiting bounds the requests that wait at one agent; with a few dozen
	// milliseconds of work each, more would wait past any deadline.
	MaxWaiting = 1024
	// lateShare is one in how many released requests is a late one if any waits,
	// so that timely ones never starve them.
	lateShare = 6
)
