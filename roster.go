package currantturn

import (
	"net/netip"
	"time"
)

// Registration is what one incarnation of a backend server publishes of itself.
type Registration struct {
	ID            BackendID      `cbor:"1,keyasint"`
	Service       ServiceName    `cbor:"2,keyasint"`
	Address       netip.AddrPort `cbor:"3,keyasint"`
	FailureDomain FailureDomain  `cbor:"4,keyasint"`
	Slots         int            `cbor:"5,keyasint"` // requests that may run at once
	State         BackendState   `cbor:"6,keyasint"`
	WarmUp        time.Duration  `cbor:"7,keyasint"` // how much longer it is slow after its start
	Born          time.Time      `cbor:"8,keyasint"` // start of the incarnation, zero if not told
	// Created is the store's revision of the registration's creation.
	Created uint64 `cbor:"11,keyasint"`
}

// Share is one service's part of a route's new flows.
type Share struct {
	Service ServiceName `cbor:"1,keyasint"`
	Weight  int         `cbor:"2,keyasint"`
}

// FlowRoute says where the new flows to a service address go.
type FlowRoute struct {
	Address  netip.AddrPort `cbor:"1,keyasint"`
	Shares   []Share        `cbor:"2,keyasint"` // at least one
	Priority int            `cbor:"3,keyasint"` // 0 is the highest
	// LatencyObjective is within what time a caller wants its answer; zero if
	// none is told.
	LatencyObjective time.Duration `cbor:"4,keyasint"`
	// Timeout is after what time a caller gives up; zero if none is told.
	Timeout time.Duration `cbor:"5,keyasint"`
}

// Routing is a configuration that is published whole.
type Routing struct {
	Version     Version       `cbor:"1,keyasint"`
	Routes      []FlowRoute   `cbor:"2,keyasint"`
	IdleTimeout time.Duration `cbor:"3,keyasint"` // of a flow; zero if none is told
}
