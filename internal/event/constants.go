package event

import "time"

// Bounds on what one event number may write to the log.
const (
	// logWindow is the period over which logged events are counted.
	logWindow = time.Second
	// maxPerWindow is how many events of one number are logged in a window.
	maxPerWindow = 20
)
