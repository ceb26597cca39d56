package record

import "time"

const (
	// Shards is the number of shards of a store, each with its own lock; a power of
	// two.
	Shards = 16
	// EntryBytes is the memory that a record takes in addition to its answer.
	EntryBytes = 384
	// DefaultBytes is the default limit of the memory for a store's records.
	DefaultBytes = 16 << 20
	// MinBytes and MaxBytes are the limits of the setting.
	MinBytes = 64 << 10
	MaxBytes = 1 << 30
	// DefaultRetention is how long a record is kept after its key was issued.
	DefaultRetention = 15 * time.Minute
	// MinRetention and MaxRetention are the limits of the setting.
	MinRetention = time.Minute
	MaxRetention = 24 * time.Hour
)
