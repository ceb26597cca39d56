package gossip

// Counters holds the counters and the current state of a Machine.
type Counters struct {
	RecordsAccepted  uint64 `json:"records_accepted"`  // records that were accepted
	RecordsRejected  uint64 `json:"records_rejected"`  // records that were rejected
	DigestsSent      uint64 `json:"digests_sent"`      // digests sent to peers
	PartsSent        uint64 `json:"parts_sent"`        // parts of records and checkpoints sent to peers
	AnswersPaced     uint64 `json:"answers_paced"`     // replies to peers withheld by the byte rate limit
	PullsSent        uint64 `json:"pulls_sent"`        // requests for parts and chunks sent to peers
	CheckpointsTaken uint64 `json:"checkpoints_taken"` // configurations restored from a snapshot or checkpoint
	Reads            uint64 `json:"reads"`             // reads requested from the platform
	ReadsFailed      uint64 `json:"reads_failed"`      // platform reads that failed or timed out
	StaleReads       uint64 `json:"stale_reads"`       // platform reads that returned an older log
	Contradictions   uint64 `json:"contradictions"`    // records, digests and snapshots that contradict the accepted log
	Ready            bool   `json:"ready"`             // whether the process has caught up and may take new work
	Watching         bool   `json:"watching"`          // whether the process watches the platform
	Version          uint64 `json:"version"`           // version at the head of the log
	Position         uint64 `json:"position"`          // position at the head of the log
	HighestPosition  uint64 `json:"heard_position"`    // highest position reported by a peer or the platform
}

// Counters returns the current counters and state.
func (m *Machine) Counters() Counters {
	m.mu.Lock()
	defer m.mu.Unlock()
	c := m.counters
	c.Ready = m.ready
	c.Watching = m.reads.watching
	c.Version = uint64(m.head().Version)
	c.Position = m.head().Position
	c.HighestPosition = m.highestKnown
	return c
}
