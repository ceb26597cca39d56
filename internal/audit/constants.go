package audit

const (
	// DefaultCapacity is the number of entries in the trail of a process.
	DefaultCapacity = 2048
	// maxTextBytes limits each text of an entry that a publisher controls.
	maxTextBytes = 256
)
