package configuration

// Bounds of the log that one process holds.
const (
	// RetainedRecords is how many of the newest records are held for peers.
	RetainedRecords = 128
	// RetainedBytes bounds the patches of the held records.
	RetainedBytes = 8 << 20
	// CheckpointEvery is how many positions lie between checkpoints, which are
	// the same at every process.
	CheckpointEvery = 32
)

// Bounds of an encoded snapshot.
const (
	// MaxSnapshotBytes is the largest value that the platform holds.
	MaxSnapshotBytes = 1 << 20
	// maxPlainBytes bounds a snapshot after decompression.
	maxPlainBytes = 8 << 20
)
