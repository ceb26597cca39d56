package flow

import "time"

const (
	// Shards is the number of shards of a table, each with its own lock.
	Shards = 64
	// StampResolution is the unit of a Stamp.
	StampResolution = 100 * time.Millisecond
	// keySize is the length of a Key: the caller's and the service's address, 16
	// bytes each, with a 2-byte port.
	keySize = 36
)
