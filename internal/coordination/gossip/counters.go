package gossip

// Counters counts what the machine did.
type Counters struct {
	RecordsAccepted  uint64 `json:"records_accepted"`  // records that came in force
	RecordsRejected  uint64 `json:"records_rejected"`  // records that were rejected
	DigestsSent      uint64 `json:"digests_sent"`      // digests sent to peers
	PartsSent        uint64 `json:"parts_sent"`        // parts of records and checkpoints sent to peers
	AnswersPaced     uint64 `json:"answers_paced"`     // answers withheld by the byte budget
	PullsSent        uint64 `json:"pulls_sent"`        // parts asked for
	CheckpointsTaken uint64 `json:"checkpoints_taken"` // configurations taken from a snapshot or checkpoint
	Reads            uint64 `json:"reads"`             // reads asked of the platform
	ReadsFailed      uint64 `json:"reads_failed"`      // reads that failed
	StaleReads       uint64 `json:"stale_reads"`       // reads that showed an older log
	Contradictions   uint64 `json:"contradictions"`    // logs that contradict the accepted one
	Ready            bool   `json:"ready"`             // whether the process is at the highest position heard
	Watching         bool   `json:"watching"`          // whether the process watches the platform
	Version          uint64 `json:"version"`           // version in force
	Position         uint64 `json:"position"`          // position of the log
	HeardPosition    uint64 `json:"heard_position"`    // highest position that a peer told of
}

// Counters returns a snapshot of the counters.
func (m *Machine) Counters() Counters {
	m.mu.Lock()
	defer m.mu.Unlock()
	c := m.counters
	c.Ready = m.ready
	c.Watching = m.reads.watching
	c.Version = uint64(m.head().Version)
	c.Position = m.head().Position
	c.HeardPosition = m.heard
	return c
}
