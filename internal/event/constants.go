package event

import "time"

// Bounds on the log output of a process.
const (
	// rateWindow is the period over which the logged events of a number are
	// counted.
	rateWindow = time.Second
	// maxPerWindow is how many events of one number are logged in one rateWindow.
	maxPerWindow = 20
	// maxBufferedLines is how many lines are kept for a slow reader: one second
	// of output of the busiest process, at most a megabyte.
	maxBufferedLines = 2048
	// closeTimeout bounds the wait for a slow reader at the end of the process.
	closeTimeout = 500 * time.Millisecond
)
