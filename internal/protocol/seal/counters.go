package seal

import "sync/atomic"

type counts struct {
	sealed, opened, malformed, unknownKey, forged      atomic.Uint64
	replayed, stale, beforeStart, throttled, rotations atomic.Uint64
}

// Counters are a sealer's totals since its start.
type Counters struct {
	Sealed      uint64 `json:"sealed"`
	Opened      uint64 `json:"opened"`
	Malformed   uint64 `json:"malformed"`
	UnknownKey  uint64 `json:"unknown_key"`
	Forged      uint64 `json:"forged"`
	Replayed    uint64 `json:"replayed"`
	Stale       uint64 `json:"stale"`        // stamped too far from the clock
	BeforeStart uint64 `json:"before_start"` // stamped before what is remembered of its sender
	Throttled   uint64 `json:"throttled"`    // above DerivationsPerSecond
	Rotations   uint64 `json:"rotations"`
	Senders     int    `json:"senders"`
}

// Counters returns the totals so far.
func (s *Sealer) Counters() Counters {
	c := &s.counts
	out := Counters{
		Sealed:      c.sealed.Load(),
		Opened:      c.opened.Load(),
		Malformed:   c.malformed.Load(),
		UnknownKey:  c.unknownKey.Load(),
		Forged:      c.forged.Load(),
		Replayed:    c.replayed.Load(),
		Stale:       c.stale.Load(),
		BeforeStart: c.beforeStart.Load(),
		Throttled:   c.throttled.Load(),
		Rotations:   c.rotations.Load(),
	}
	for _, sh := range s.shards {
		out.Senders += sh.len()
	}
	return out
}
