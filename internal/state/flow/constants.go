package flow

import "time"

const (
	// Shards is how many locks a table has.
	Shards = 64
	// Unit is the resolution of the time stamps in records.
	Unit = 100 * time.Millisecond
	// keyBytes is an encoded flow: caller and service address with ports.
	keyBytes = 36
)
