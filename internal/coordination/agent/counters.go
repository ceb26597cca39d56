package agent

import (
	"sync/atomic"

	"github.com/currantturn/currantturn/internal/coordination/membership"
)

// Counters are the totals of an agent since its start, and its current flows.
type Counters struct {
	Records        int                 `json:"records"`         // current flow records
	Flows          int                 `json:"flows"`           // flows currently held
	Placed         uint64              `json:"placed"`          // flows that this agent became the holder of
	Adopted        uint64              `json:"adopted"`         // flows without marks that were placed after a search found no holder
	Rejected       uint64              `json:"rejected"`        // packets of flows without a holder, and new flows that no backend server can accept
	Expired        uint64              `json:"expired"`         // held flows removed after their idle timeout or a closing mark
	Delivered      uint64              `json:"delivered"`       // packets delivered to the backend server
	Redirected     uint64              `json:"redirected"`      // packets forwarded to another agent
	Searches       uint64              `json:"searches"`        // searches for the holder of an unknown flow
	SearchesEmpty  uint64              `json:"searches_empty"`  // searches that found no holder
	SearchDrops    uint64              `json:"search_drops"`    // packets dropped because too many searches or packets are pending
	TableFull      uint64              `json:"table_full"`      // flows refused because the flow table is full
	ForeignService uint64              `json:"foreign_service"` // packets dropped because they belong to another service
	HopLimit       uint64              `json:"hop_limit"`       // packets dropped after passing too many agents
	Unconfigured   uint64              `json:"unconfigured"`    // packets dropped before the first configuration
	Announced      uint64              `json:"announced"`       // flows announced, including repetitions
	AnnounceDrops  uint64              `json:"announce_drops"`  // flows whose announcement was discarded without an acknowledgement
	Conflicts      uint64              `json:"conflicts"`       // announcements of another holder for a flow that is held here
	Violations     uint64              `json:"violations"`      // violated invariants
	Membership     membership.Counters `json:"membership"`      // totals of the membership list
}

type counts struct {
	placed, adopted, rejected, expired, delivered, redirected atomic.Uint64
	searches, searchesEmpty, searchDrops                      atomic.Uint64
	tableFull, foreignService, hopLimit, unconfigured         atomic.Uint64
	announced, announceDrops, conflicts, violations           atomic.Uint64
}

// Counters returns the current totals.
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
