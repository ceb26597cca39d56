package statesync

import (
	"time"

	"github.com/currantturn/currantturn"
	"github.com/currantturn/currantturn/internal/state/drained"
	"github.com/currantturn/currantturn/internal/state/roster"
	"github.com/currantturn/currantturn/internal/state/routehistory"
)

// State is what is published at one revision of the store, with what it recently
// contained; it is never modified.
type State struct {
	currantturn.Position
	Routing *currantturn.Routing `cbor:"2,keyasint"` // nil if the reader already has it
	Servers []roster.Entry       `cbor:"3,keyasint"`
	Version currantturn.Version  `cbor:"4,keyasint"` // of the routing
	// RecordedMS is how far back the record of removals reaches: Servers contains the
	// registrations and Earlier the services of routes that were removed since then.
	RecordedMS uint32               `cbor:"5,keyasint,omitempty"`
	Earlier    []routehistory.Entry `cbor:"6,keyasint,omitempty"`
	// Announced are agents that may not be registered.
	Announced []Announced `cbor:"7,keyasint,omitempty"`
	// Unverified is true for a while after the store returned from a copy: Servers includes
	// what was published before, and may contain what the store no longer has.
	Unverified bool `cbor:"8,keyasint,omitempty"`
	// Drained are the failure domains whose backend servers get no new flows; DrainedKnown is
	// false from a process that does not know of them.
	Drained      []drained.Entry `cbor:"9,keyasint,omitempty"`
	DrainedKnown bool            `cbor:"10,keyasint,omitempty"`
	// Complete is true if the state is all that the store had at its position; false from
	// processes of earlier builds, and if it came from one.
	Complete bool `cbor:"11,keyasint,omitempty"`
	// ResetsHeld is true while no flow may be reset because nobody holds it: backend servers
	// may be missing.
	ResetsHeld bool `cbor:"-"`
	// PlacementHeld is true while new flows have to wait and no flow may be reset, because
	// the state may come from a copy of the store and nothing else is known yet.
	PlacementHeld bool `cbor:"-"`
}

// Recorded returns how far back the record of removals reaches.
func (s *State) Recorded() time.Duration {
	return time.Duration(s.RecordedMS) * time.Millisecond
}

// RoutingVersion returns the version of the routing, 0 without one.
func (s *State) RoutingVersion() currantturn.Version {
	if s.Routing == nil {
		return 0
	}
	return s.Routing.Version
}
