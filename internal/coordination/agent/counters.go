package agent

import (
	"sync/atomic"

	"github.com/currantturn/currantturn/internal/coordination/membership"
)

// Counters are an agent's totals since its start.
type Counters struct {
	Records        int                 `json:"records"`         // flow records at present
	Flows          int                 `json:"flows"`           // flows held at present
	Placed         uint64              `json:"placed"`          // flows taken by this agent
	Adopted        uint64              `json:"adopted"`         // flows without marks adopted after an empty search
	Rejected       uint64              `json:"rejected"`        // packets of flows that no agent holds, and new flows that no backend server takes
	Expired        uint64              `json:"expired"`         // held flows that ended by idleness or a closing mark
	Delivered      uint64              `json:"delivered"`       // packets handed to the backend side
	Redirected     uint64              `json:"redirected"`      // packets sent on to another agent
	Searches       uint64              `json:"searches"`        // searches for unknown flows
	SearchesEmpty  uint64              `json:"searches_empty"`  // searches that found no holder
	SearchDrops    uint64              `json:"search_drops"`    // packets dropped because too many searches or packets wait
	TableFull      uint64              `json:"table_full"`      // flows refused by a full table
	ForeignService uint64              `json:"foreign_service"` // packets of another service dropped
	HopLimit       uint64              `json:"hop_limit"`       // packets dropped after too many agents
	Unconfigured   uint64              `json:"unconfigured"`    // packets dropped before the first configuration
	Announced      uint64              `json:"announced"`       // flows announced, repeats included
	AnnounceDrops  uint64              `json:"announce_drops"`  // flows whose announcement was given up
	Conflicts      uint64              `json:"conflicts"`       // announcements by another holder of a flow that is held here
	Violations     uint64              `json:"violations"`      // broken invariants
	Membership     membership.Counters `json:"membership"`      // totals of the membership, see there
}

type counts struct {
	placed, adopted, rejected, expired, delivered, redirected atomic.Uint64
	searches, searchesEmpty, searchDrops                      atomic.Uint64
	tableFull, foreignService, hopLimit, unconfigured                atomic.Uint64
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
		ForeignService: c.foreignService.Load(),
		HopLimit:       c.hopLimit.Load(),
		Unconfigured:   c.unconfigured.Load(),
		Announced:      c.announced.Load(),
		AnnounceDrops:  c.announceDrops.Load(),
		Conflicts:      c.conflicts.Load(),
		Violations:     c.violations.Load(),
		Membership:     a.members.Counters(),
	}
}
