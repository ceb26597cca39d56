package statesync

import (
	"net/netip"

	"github.com/currantturn/currantturn"
	"github.com/currantturn/currantturn/internal/protocol/message"
	"github.com/currantturn/currantturn/internal/state/roster"
)

// Heartbeat describes the state in force at its sender to another balancer.
type Heartbeat struct {
	currantturn.Position
	Version currantturn.Version `cbor:"2,keyasint"` // of the routing, 0 without one
	AgeMS   uint32              `cbor:"3,keyasint"` // time since the store confirmed that state
	// Peers are link addresses of other balancers, after the sender's own one, which shows
	// that the sender knows of drained failure domains; twice if its state is complete, and
	// its changes are. Earlier processes accept no fields that they do not know.
	Peers    []netip.AddrPort `cbor:"4,keyasint"`
	Capacity float64          `cbor:"5,keyasint"` // of the sender's network link, Mbit/s
	// Since, Changed and Orders carry a small change, so that the receiver need not pull
	// the state: all that was published after the revision Since. Changed is empty if the
	// change is not small.
	Since   uint64         `cbor:"6,keyasint,omitempty"`
	Changed []roster.Entry `cbor:"7,keyasint,omitempty"`
	// RecordedMS is how far back the sender's record of removals reaches.
	RecordedMS uint32 `cbor:"8,keyasint,omitempty"`
	Searches   bool   `cbor:"9,keyasint,omitempty"`  // whether the sender takes searches from other balancers
	Announced  uint32 `cbor:"10,keyasint,omitempty"` // agents that announced themselves to the sender or its peers
	Unverified bool   `cbor:"11,keyasint,omitempty"` // as in State
	// Orders are the orders to drain failure domains, and their revocations, in the small
	// change; only receivers that know of them get them.
	Orders []currantturn.DrainOrder `cbor:"12,keyasint,omitempty"`
	// Digest is that of the state; 0 to receivers that may not know of it, and from senders
	// whose state may not be what the store has.
	Digest uint64 `cbor:"13,keyasint,omitempty"`
}

// Kind returns the kind of the message on the wire.
func (Heartbeat) Kind() currantturn.Kind { return "heartbeat" }

func init() { message.Register[Heartbeat]() }
