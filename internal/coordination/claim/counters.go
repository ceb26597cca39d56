package claim

import "sync/atomic"

type ownerCounts struct {
	granted, fenced, full, violations atomic.Uint64
}

// Counters are the totals of a Claims machine since its start.
type Counters struct {
	Granted    uint64 `json:"granted"`    // keys granted to a runner
	Fenced     uint64 `json:"fenced"`     // keys given up to a newer owner before a grant
	Full       uint64 `json:"full"`       // keys refused by a full store
	Unanswered uint64 `json:"unanswered"` // attempts that ended without their owner's answer
	Violations uint64 `json:"violations"` // broken invariants
	Records    int    `json:"records"`    // records at present
	Bytes      int    `json:"bytes"`      // bytes that the records reserve at present
	Attempts   int    `json:"attempts"`   // attempts at present, unconfirmed reports included
}

// Counters returns the totals so far.
func (c *Claims) Counters() Counters {
	records, bytes := c.owner.records.Size()
	return Counters{
		Granted:    c.owner.counts.granted.Load(),
		Fenced:     c.owner.counts.fenced.Load(),
		Full:       c.owner.counts.full.Load(),
		Unanswered: c.runner.unanswered.Load(),
		Violations: c.owner.counts.violations.Load(),
		Records:    records,
		Bytes:      bytes,
		Attempts:   int(c.runner.size.Load()),
	}
}
