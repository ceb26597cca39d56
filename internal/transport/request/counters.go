package request

import (
	"sync/atomic"

	protocol "github.com/currantturn/currantturn/internal/protocol/request"
)

type counts struct {
	answered, notRun, pastDeadline, unknown, other atomic.Uint64
	repeated, cut, retries, suppressed, foreign    atomic.Uint64
}

// Counters are a handler's totals since its start, by outcome and cause.
type Counters struct {
	Answered     uint64 `json:"answered"`        // requests told the backend server's answer
	NotRun       uint64 `json:"not_run"`         // requests told not run
	PastDeadline uint64 `json:"past_deadline"`   // requests told past deadline
	Unknown      uint64 `json:"outcome_unknown"` // requests told outcome unknown
	Other        uint64 `json:"other"`           // requests told any other outcome
	Repeated     uint64 `json:"repeated"`        // requests answered from a record
	Cut          uint64 `json:"cut"`             // answers cut off by the backend server, a peer or the caller
	Retries      uint64 `json:"retries"`         // retries of idempotent requests
	Suppressed   uint64 `json:"suppressed"`      // retries that the budget did not allow
	Foreign      uint64 `json:"foreign_service"` // requests of another service, passed here by mistake
	HeldBytes    int64  `json:"held_bytes"`      // bytes of request bodies held at present
}

func (c *counts) add(o protocol.Outcome) {
	switch o {
	case protocol.Answered:
		c.answered.Add(1)
	case protocol.NotRun:
		c.notRun.Add(1)
	case protocol.PastDeadline:
		c.pastDeadline.Add(1)
	case protocol.Unknown:
		c.unknown.Add(1)
	default:
		c.other.Add(1)
	}
}

// Counters returns the totals so far.
func (h *Handler) Counters() Counters {
	c := &h.counts
	return Counters{
		Answered:     c.answered.Load(),
		NotRun:       c.notRun.Load(),
		PastDeadline: c.pastDeadline.Load(),
		Unknown:      c.unknown.Load(),
		Other:        c.other.Load(),
		Repeated:     c.repeated.Load(),
		Cut:          c.cut.Load(),
		Retries:      c.retries.Load(),
		Suppressed:   c.suppressed.Load(),
		Foreign:      c.foreign.Load(),
		HeldBytes:    h.held.Load(),
	}
}
