package identity

import "sync/atomic"

type counts struct {
	accepted, refused, reloads, reloadFailures atomic.Uint64
}

// Counters are an identity's totals since its start.
type Counters struct {
	Accepted       uint64 `json:"accepted"`        // handshakes whose peer was accepted
	Refused        uint64 `json:"refused"`         // handshakes whose peer was refused
	Reloads        uint64 `json:"reloads"`         // changed credentials taken into use
	ReloadFailures uint64 `json:"reload_failures"` // attempts after which the earlier credentials stayed
}

// Counters returns the totals so far.
func (i *Identity) Counters() Counters {
	c := &i.counts
	return Counters{
		Accepted:       c.accepted.Load(),
		Refused:        c.refused.Load(),
		Reloads:        c.reloads.Load(),
		ReloadFailures: c.reloadFailures.Load(),
	}
}
