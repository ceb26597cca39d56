package identity

import "sync/atomic"

type counts struct {
	accepted, refused, reloads, reloadFailures atomic.Uint64
}

// Counters are an identity's totals since its start.
type Counters struct {
	Accepted       uint64 `json:"accepted"`        // handshakes in which the peer was accepted
	Refused        uint64 `json:"refused"`         // handshakes in which the peer was refused
	Reloads        uint64 `json:"reloads"`         // reloads that applied changed credentials
	ReloadFailures uint64 `json:"reload_failures"` // reloads that failed and kept the earlier credentials
}

// Counters returns the current totals.
func (i *Identity) Counters() Counters {
	c := &i.counts
	return Counters{
		Accepted:       c.accepted.Load(),
		Refused:        c.refused.Load(),
		Reloads:        c.reloads.Load(),
		ReloadFailures: c.reloadFailures.Load(),
	}
}
