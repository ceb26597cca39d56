package flow

import "time"

const (
	// Shards is the number of shards of a table, each with its own lock.
	Shards = 64
	// StampResolution is the unit of a Stamp.
	StampResolution = 100 * time.Millisecond
	// keySize is the length of a Key: the addresses of the caller and the service,
	// each as 16 bytes followed by 2 bytes of the port.
	keySize = 36
)
