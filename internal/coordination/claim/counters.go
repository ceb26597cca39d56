package claim

import "sync/atomic"

// ownerCounters are the totals that an owner updates concurrently.
type ownerCounters struct {
	granted, fenced, full, violations atomic.Uint64
}

// Counters are the totals of a Claims machine since its start, and its current sizes.
type Counters struct {
	Granted    uint64 `json:"granted"`    // keys granted to a runner
	Fenced     uint64 `json:"fenced"`     // keys fenced by a newer owner before they were granted
	Full       uint64 `json:"full"`       // keys refused because the record store was full
	Unanswered uint64 `json:"unanswered"` // attempts that timed out waiting for their owner's verdict
	Violations uint64 `json:"violations"` // invariant violations
	Records    int    `json:"records"`    // records currently stored
	Bytes      int    `json:"bytes"`      // bytes currently reserved by the records
	Attempts   int    `json:"attempts"`   // attempts currently held, including those with unconfirmed reports
}

// Counters returns the current totals and sizes.
func (c *Claims) Counters() Counters {
	records, bytes := c.owner.records.Size()
	return Counters{
		Granted:    c.owner.counters.granted.Load(),
		Fenced:     c.owner.counters.fenced.Load(),
		Full:       c.owner.counters.full.Load(),
		Unanswered: c.runner.unanswered.Load(),
		Violations: c.owner.counters.violations.Load(),
		Records:    records,
		Bytes:      bytes,
		Attempts:   int(c.runner.attemptCount.Load()),
	}
}
