package routehistory

import "time"

const (
	// Retention is how long a service is kept after a route stopped leading to it:
	// the lifetime of a flow.
	Retention = time.Minute
	// MaxEntries limits the entries of a history; a deployment has some hundred
	// addresses with a few services each.
	MaxEntries = 1 << 14
)
