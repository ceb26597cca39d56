package audit

const (
	// Capacity is the usual number of entries that a trail keeps.
	Capacity = 2048
	// maxTextBytes bounds each text that a publisher chose.
	maxTextBytes = 256
)
