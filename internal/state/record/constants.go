package record

import "time"

const (
	// Shards is how many locks a store has; a power of two.
	Shards = 16
	// EntryBytes is what one record costs apart from its answer.
	EntryBytes = 384
	// DefaultBytes bounds a store's records.
	DefaultBytes = 16 << 20
	// MinBytes and MaxBytes bound the setting.
	MinBytes = 64 << 10
	MaxBytes = 1 << 30
	// DefaultRetention is how long a key's record is kept after its issue.
	DefaultRetention = 15 * time.Minute
	// MinRetention and MaxRetention bound the setting.
	MinRetention = time.Minute
	MaxRetention = 24 * time.Hour
)
