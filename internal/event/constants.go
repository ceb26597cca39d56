package event

import "time"

// Bounds on what one event number may write to the log.
const (
	// logWindow is the period over which logged events are counted.
	logWindow = time.Second
	// maxPerWindow is how many events of one number are logged in a window.
	maxPerWindow = 20
	// bufferedLines is how many lines wait for a slow reader: a second of the
	// busiest process, at most a megabyte.
	bufferedLines = 2048
	// closeGrace bounds the wait for a slow reader at the end of the process.
	closeGrace = 500 * time.Millisecond
)
