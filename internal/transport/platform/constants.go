package platform

import "time"

// Paths of the service.
const (
	// SnapshotPath holds the newest published snapshot.
	SnapshotPath = "/v1/snapshot"
	// RecordsPath holds the log; the query names after and wait.
	RecordsPath = "/v1/records"
	// VMsPath holds the list of VMs.
	VMsPath = "/v1/vms"
)

const (
	// maxValueBytes is the largest value that the service holds.
	maxValueBytes = 1 << 20
	// defaultTimeout bounds a read beyond its wait.
	defaultTimeout = 5 * time.Second
	// defaultReadsPerSecond is the read budget of one process.
	defaultReadsPerSecond = 5
	// readBurst is how many reads may follow each other at once.
	readBurst = 8
	// maxReads bounds the reads that wait at once.
	maxReads = 4
)
