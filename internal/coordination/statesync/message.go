package statesync

import (
	"net/netip"

	"github.com/currantturn/currantturn"
	"github.com/currantturn/currantturn/internal/protocol/message"
	"github.com/currantturn/currantturn/internal/state/roster"
)

// Heartbeat tells another balancer what this one knows of the store.
type Heartbeat struct {
	Revision uint64              `cbor:"1,keyasint"`
	Version  currantturn.Version `cbor:"2,keyasint"`
	AgeMS    uint32              `cbor:"3,keyasint"` // since the store confirmed that state
	Peers    []netip.AddrPort    `cbor:"4,keyasint"`
	Capacity float64             `cbor:"5,keyasint"` // of this one's network link, Mbit/s
	// Since and Changed tell of a small change at once: the registrations that
	// changed after that revision, if nothing else did.
	Since   uint64         `cbor:"6,keyasint,omitempty"`
	Changed []roster.Entry `cbor:"7,keyasint,omitempty"`
}

// Kind names the message on the wire.
func (Heartbeat) Kind() currantturn.Kind { return "heartbeat" }

func init() { message.Register[Heartbeat]() }
