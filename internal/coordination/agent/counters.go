package agent

import (
	"sync/atomic"

	"github.com/currantturn/currantturn/internal/coordination/membership"
)

// Counters are an agent's totals since its start.
type Counters struct {
	Records        int                 `json:"records"`
	Flows          int                 `json:"flows"`
	Placed         uint64              `json:"placed"`
	Adopted        uint64              `json:"adopted"`
	Rejected       uint64              `json:"rejected"`
	Expired        uint64              `json:"expired"`
	Delivered      uint64              `json:"delivered"`
	Redirected     uint64              `json:"redirected"`
	Searches       uint64              `json:"searches"`
	SearchesEmpty  uint64              `json:"searches_empty"`
	SearchDrops    uint64              `json:"search_drops"`
	TableFull      uint64              `json:"table_full"`
	ForeignService uint64              `json:"foreign_service"`
	HopLimit       uint64              `json:"hop_limit"`
	Unconfigured   uint64              `json:"unconfigured"`
	Announced      uint64              `json:"announced"`
	AnnounceDrops  uint64              `json:"announce_drops"`
	Conflicts      uint64              `json:"conflicts"`
	Violations     uint64              `json:"violations"`
	Membership     membership.Counters `json:"membership"`
}

type counts struct {
	placed, adopted, rejected, expired, delivered, redirected atomic.Uint64
	searches, searchesEmpty, searchDrops                      atomic.Uint64
	tableFull, foreign, hopLimit, unconfigured                atomic.Uint64
	announced, announceDrops, conflicts, violations           atomic.Uint64
}

// Counters returns the totals so far.
func (a *Agent) Counters() Counters {
	c := &a.counts
	records, held := a.table.Len()
	return Counters{
		Records:        records,
		Flows:          held,
		Placed:         c.placed.Load(),
		Adopted:        c.adopted.Load(),
		Rejected:       c.rejected.Load(),
		Expired:        c.expired.Load(),
		Delivered:      c.delivered.Load(),
		Redirected:     c.redirected.Load(),
		Searches:       c.searches.Load(),
		SearchesEmpty:  c.searchesEmpty.Load(),
		SearchDrops:    c.searchDrops.Load(),
		TableFull:      c.tableFull.Load(),
		ForeignService: c.foreign.Load(),
		HopLimit:       c.hopLimit.Load(),
		Unconfigured:   c.unconfigured.Load(),
		Announced:      c.announced.Load(),
		AnnounceDrops:  c.announceDrops.Load(),
		Conflicts:      c.conflicts.Load(),
		Violations:     c.violations.Load(),
		Membership:     a.members.Counters(),
	}
}
