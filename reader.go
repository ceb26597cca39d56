package currantturn

import "time"

// ReadKind says what a machine wants to read from the platform.
type ReadKind string

// Kinds of reads.
const (
	ReadSnapshot ReadKind = "snapshot"
	ReadRecords  ReadKind = "records"
	ReadVMs      ReadKind = "vms"
)

// Read is an effect: read from the platform and hand the result back to the
// machine; a machine has few reads waiting at any time.
type Read struct {
	Kind  ReadKind
	After uint64        // records after this position
	Wait  time.Duration // for a record, 0 returns at once
}

// ReadResult is the outcome of one read.
type ReadResult struct {
	Read     Read
	Snapshot []byte
	Records  []Record
	VMs      []VM
	Err      error
}

// Reader is a machine that reads from the platform by effects.
type Reader interface {
	Machine
	// Completed takes the result of a read.
	Completed(now time.Time, r *ReadResult, out *Effects)
}
