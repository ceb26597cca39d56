package claim

import "sync/atomic"

type ownerCounts struct {
	granted, fenced, full atomic.Uint64
}

// Counters are the totals of a Claims machine since its start.
type Counters struct {
	Granted    uint64 `json:"granted"`
	Fenced     uint64 `json:"fenced"`
	Full       uint64 `json:"full"`
	Unanswered uint64 `json:"unanswered"`
	Records    int    `json:"records"`
	Bytes      int    `json:"bytes"`
	Attempts   int    `json:"attempts"`
}

// Counters returns the totals so far.
func (c *Claims) Counters() Counters {
	records, bytes := c.owner.records.Size()
	return Counters{
		Granted:    c.owner.counts.granted.Load(),
		Fenced:     c.owner.counts.fenced.Load(),
		Full:       c.owner.counts.full.Load(),
		Unanswered: c.runner.unanswered.Load(),
		Records:    records,
		Bytes:      bytes,
		Attempts:   int(c.runner.size.Load()),
	}
}
