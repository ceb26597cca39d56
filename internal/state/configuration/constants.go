package configuration

// Limits of the log that one process keeps.
const (
	// RetainedRecords is how many of the newest records are kept to send to peers.
	RetainedRecords = 128
	// RetainedBytes limits the total size of the patches of these records.
	RetainedBytes = 8 << 20
	// CheckpointEvery is the number of positions between checkpoints. Every process
	// takes them at the same positions, so that their bytes are the same.
	CheckpointEvery = 32
)

// Limits of an encoded snapshot.
const (
	// MaxSnapshotBytes is the size of the largest value that the platform stores.
	MaxSnapshotBytes = 1 << 20
	// maxUncompressedBytes limits the size of a snapshot after decompression.
	maxUncompressedBytes = 8 << 20
)
