package request

import (
	"sync/atomic"

	protocol "github.com/currantturn/currantturn/internal/protocol/request"
)

// atomicCounters are the totals that Counters returns a copy of.
type atomicCounters struct {
	answered, notRun, pastDeadline, outcomeUnknown, other atomic.Uint64
	replayed, cutOff, retries, suppressed, foreignService atomic.Uint64
}

// Counters are the totals of a Handler since its start, by outcome and cause.
type Counters struct {
	Answered       uint64 `json:"answered"`        // requests ended with the backend server's answer
	NotRun         uint64 `json:"not_run"`         // requests ended as not run
	PastDeadline   uint64 `json:"past_deadline"`   // requests ended as past deadline
	OutcomeUnknown uint64 `json:"outcome_unknown"` // requests ended as outcome unknown
	Other          uint64 `json:"other"`           // requests ended with any other outcome
	Replayed       uint64 `json:"repeated"`        // requests answered from the record of an earlier attempt
	CutOff         uint64 `json:"cut"`             // answers cut off by the backend server, a peer or the caller
	Retries        uint64 `json:"retries"`         // retries of idempotent requests
	Suppressed     uint64 `json:"suppressed"`      // retries that the budget did not allow
	ForeignService uint64 `json:"foreign_service"` // requests of another service that a peer forwarded here
	HeldBytes      int64  `json:"held_bytes"`      // bytes reserved at present for request bodies in memory
}

func (c *atomicCounters) countOutcome(outcome protocol.Outcome) {
	switch outcome {
	case protocol.Answered:
		c.answered.Add(1)
	case protocol.NotRun:
		c.notRun.Add(1)
	case protocol.PastDeadline:
		c.pastDeadline.Add(1)
	case protocol.Unknown:
		c.outcomeUnknown.Add(1)
	default:
		c.other.Add(1)
	}
}

// Counters returns the current totals.
func (h *Handler) Counters() Counters {
	c := &h.counters
	return Counters{
		Answered:       c.answered.Load(),
		NotRun:         c.notRun.Load(),
		PastDeadline:   c.pastDeadline.Load(),
		OutcomeUnknown: c.outcomeUnknown.Load(),
		Other:          c.other.Load(),
		Replayed:       c.replayed.Load(),
		CutOff:         c.cutOff.Load(),
		Retries:        c.retries.Load(),
		Suppressed:     c.suppressed.Load(),
		ForeignService: c.foreignService.Load(),
		HeldBytes:      h.bufferedBytes.Load(),
	}
}
