package currantturn

import (
	"net/netip"
	"time"
)

// Registration is what one incarnation of a backend server publishes about
// itself.
type Registration struct {
	ID              BackendID      `cbor:"1,keyasint"`
	Service         ServiceName    `cbor:"2,keyasint"`
	Address         netip.AddrPort `cbor:"3,keyasint"`
	FailureDomain   FailureDomain  `cbor:"4,keyasint"`
	Slots           int            `cbor:"5,keyasint"` // requests that may run at once
	State           BackendState   `cbor:"6,keyasint"`
	WarmUpRemaining time.Duration  `cbor:"7,keyasint"` // remaining time in which it is slow after its start
	StartedAt       time.Time      `cbor:"8,keyasint"` // start of the incarnation; zero if unknown
	// CreatedRevision is the store's revision at which the registration was
	// created.
	CreatedRevision uint64 `cbor:"11,keyasint"`
	// Sequence rises with each write of the incarnation, of which the store reports only
	// those that change something else as well; 0 if unknown.
	Sequence uint64 `cbor:"12,keyasint,omitempty"`
}

// SameIncarnation reports whether both registrations are of one start of one backend
// server.
func (r *Registration) SameIncarnation(other *Registration) bool {
	if r.ID != other.ID || !r.StartedAt.Equal(other.StartedAt) {
		return false
	}
	return !r.StartedAt.IsZero() || r.CreatedRevision == other.CreatedRevision
}

// Share is the part of a route's new flows that goes to one service.
type Share struct {
	Service ServiceName `cbor:"1,keyasint"`
	Weight  int         `cbor:"2,keyasint"`
}

// FlowRoute determines the services that new flows to a service address go to.
type FlowRoute struct {
	Address  netip.AddrPort `cbor:"1,keyasint"`
	Shares   []Share        `cbor:"2,keyasint"` // at least one
	Priority int            `cbor:"3,keyasint"` // 0 is the highest
	// LatencyObjective is the time within which a caller wants its answer; zero if
	// none is configured.
	LatencyObjective time.Duration `cbor:"4,keyasint"`
	// Timeout is the time after which a caller gives up; zero if none is
	// configured.
	Timeout time.Duration `cbor:"5,keyasint"`
}

// Routing is a configuration of opaque flows; each version is published as a
// whole.
type Routing struct {
	Version     Version       `cbor:"1,keyasint"`
	Routes      []FlowRoute   `cbor:"2,keyasint"`
	IdleTimeout time.Duration `cbor:"3,keyasint"` // of a flow; zero if none is configured
	// WarmUps are the services whose cold backend servers have a limit on new flows.
	WarmUps []ServiceWarmUp `cbor:"4,keyasint,omitempty"`
}

// WarmUp is the limit on new flows of a backend server that has recently started.
type WarmUp struct {
	Duration time.Duration `cbor:"1,keyasint"` // for which it is cold after its start; zero if none is configured
	Rate     float64       `cbor:"2,keyasint"` // requests per second that it bears while cold; 0 means no limit
}

// ServiceWarmUp is the warm-up of a service's backend servers.
type ServiceWarmUp struct {
	Service ServiceName `cbor:"1,keyasint"`
	WarmUp  WarmUp      `cbor:"2,keyasint"`
}

// Warming is what a balancer knows of the warm-up of a backend server.
type Warming struct {
	WarmUp WarmUp `cbor:"1,keyasint"` // of its service
	// Remaining is the longest time for which it may still be cold; the age of that
	// knowledge is subtracted. Zero means warm.
	Remaining time.Duration `cbor:"2,keyasint"`
}
