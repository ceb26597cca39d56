package platform

import "time"

// Paths of the configuration service.
const (
	// SnapshotPath returns the newest published snapshot.
	SnapshotPath = "/v1/snapshot"
	// RecordsPath returns records of the log, with the query parameters after and wait.
	RecordsPath = "/v1/records"
	// VMsPath returns the list of VMs.
	VMsPath = "/v1/vms"
)

const (
	// maxValueBytes is the largest value that the service stores.
	maxValueBytes = 1 << 20
	// defaultTimeout limits a read, in addition to the time that the service may wait.
	defaultTimeout = 5 * time.Second
	// defaultReadsPerSecond is the read budget of a process.
	defaultReadsPerSecond = 5
	// maxReadBurst is how many reads may start at once within the read budget.
	maxReadBurst = 8
	// maxConcurrentReads limits the reads of a Runner that are in progress at once.
	maxConcurrentReads = 4
)
