package gossip

// Counters counts what the machine did.
type Counters struct {
	RecordsAccepted  uint64 `json:"records_accepted"`
	RecordsRejected  uint64 `json:"records_rejected"`
	DigestsSent      uint64 `json:"digests_sent"`
	PartsSent        uint64 `json:"parts_sent"`
	AnswersPaced     uint64 `json:"answers_paced"` // withheld by the byte budget
	PullsSent        uint64 `json:"pulls_sent"`
	CheckpointsTaken uint64 `json:"checkpoints_taken"`
	Reads            uint64 `json:"reads"`
	ReadsFailed      uint64 `json:"reads_failed"`
	StaleReads       uint64 `json:"stale_reads"`
	Contradictions   uint64 `json:"contradictions"`
	Ready            bool   `json:"ready"`
	Watching         bool   `json:"watching"`
	Version          uint64 `json:"version"`
	Position         uint64 `json:"position"`
	HeardPosition    uint64 `json:"heard_position"`
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
