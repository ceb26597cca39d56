package seal

import "sync/atomic"

// counts holds a sealer's running totals.
type counts struct {
	sealed, opened, malformed, unknownKey, forged      atomic.Uint64
	replayed, stale, beforeStart, throttled, rotations atomic.Uint64
}

// Counters are a sealer's totals since its start, and its number of senders.
type Counters struct {
	Sealed      uint64 `json:"sealed"`       // datagrams sealed
	Opened      uint64 `json:"opened"`       // authentic datagrams opened
	Malformed   uint64 `json:"malformed"`    // datagrams too short or of another format
	UnknownKey  uint64 `json:"unknown_key"`  // datagrams under a key ID that is not valid
	Forged      uint64 `json:"forged"`       // datagrams whose check code or tag does not match
	Replayed    uint64 `json:"replayed"`     // datagrams whose counter was already accepted or is below the window
	Stale       uint64 `json:"stale"`        // datagrams whose time stamp is too far from the clock
	BeforeStart uint64 `json:"before_start"` // datagrams stamped before the receiver's record of their sender begins
	Throttled   uint64 `json:"throttled"`    // datagrams of unknown senders above the limit on key derivations
	Rotations   uint64 `json:"rotations"`    // key rings that took effect
	Senders     int    `json:"senders"`      // senders whose window is kept now
}

// Counters returns the current totals.
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
