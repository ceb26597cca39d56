package currantturn

import "time"

// ReadKind is the kind of data that a machine reads from the platform.
type ReadKind string

// Kinds of reads.
const (
	ReadSnapshot ReadKind = "snapshot"
	ReadRecords  ReadKind = "records"
	ReadVMs      ReadKind = "vms"
)

// Read is an effect: read from the platform and pass the result back to the
// machine. A machine has few reads in progress at any time.
type Read struct {
	Kind  ReadKind
	After uint64        // for ReadRecords: the position before the first record
	Wait  time.Duration // for ReadRecords: how long to wait for a record; 0 returns at once
}

// ReadResult is the outcome of one read.
type ReadResult struct {
	Read     Read
	Snapshot []byte
	Records  []Record
	VMs      []VM
	Err      error
}

// Reader is a machine that reads from the platform through effects.
type Reader interface {
	Machine
	// ReadCompleted handles the result of a read.
	ReadCompleted(now time.Time, r *ReadResult, out *Effects)
}
