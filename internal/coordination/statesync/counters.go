package statesync

import (
	"time"

	"github.com/currantturn/currantturn/internal/metric"
)

// Counters are a feed's totals since its start, and its present state.
type Counters struct {
	Lists       uint64 `json:"lists"`       // complete reads of the store
	Watches     uint64 `json:"watches"`     // watches that returned a result
	Failures    uint64 `json:"failures"`    // reads without a usable answer
	Compacted   uint64 `json:"compacted"`   // watches whose start revision was compacted away
	TooLarge    uint64 `json:"too_large"`   // reads whose answer was above the limit
	Differences uint64 `json:"differences"` // other states that a peer had at the same position
	Checks      uint64 `json:"checks"`      // complete reads of the store for that reason
	Pulls       uint64 `json:"pulls"`       // states taken from another balancer
	Version     uint64 `json:"version"`     // configuration in force
	Era         uint64 `json:"era"`         // store's era of the state in force; 0 if unknown
	Revision    uint64 `json:"revision"`    // store's revision of the state in force
	Restored    uint64 `json:"restored"`    // times that the store has returned from a copy
	Unconfirmed uint64 `json:"unsure_ms"`   // milliseconds since the store confirmed the state
	Peers       int    `json:"peers"`       // other balancers that are alive
	Registered  int    `json:"registered"`  // current registrations
	Unreadable  int    `json:"unreadable"`  // store entries that cannot be decoded, at a balancer that reads the store
	Drained     int    `json:"drained"`     // failure domains whose backend servers get no new flows, by order of the operator
	Announced   uint64 `json:"announced"`   // announcements of agents that receive nothing from balancers

	Ages metric.Summary `json:"ages"` // age of configuration and registrations, at each heartbeat
}

// Counters returns the totals so far and the present state.
func (f *Feed) Counters(now time.Time) Counters {
	f.mu.Lock()
	defer f.mu.Unlock()
	c := f.counts
	c.Ages = f.ages.Summary()
	c.Era, c.Revision = f.state.Era, f.state.Revision
	if f.state.Routing != nil {
		c.Version = uint64(f.state.Routing.Version)
		c.Unconfirmed = uint64(max(now.Sub(f.confirmedAt), 0).Milliseconds())
	}
	c.Peers, c.Drained = f.countAlive(now), len(f.state.Drained)
	for i := range f.state.Servers {
		if f.state.Servers[i].Gone.IsZero() {
			c.Registered++
		}
	}
	return c
}
