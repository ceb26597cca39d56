package publication

import (
	"net/netip"

	"github.com/currantturn/currantturn"
	"github.com/currantturn/currantturn/internal/protocol/message"
)

// Heartbeat tells another balancer what this one knows of the store.
type Heartbeat struct {
	Revision uint64              `cbor:"1,keyasint"`
	Version  currantturn.Version `cbor:"2,keyasint"`
	AgeMS    uint32              `cbor:"3,keyasint"` // since the store confirmed that state
	Peers    []netip.AddrPort    `cbor:"4,keyasint"`
}

// Kind names the message on the wire.
func (Heartbeat) Kind() currantturn.Kind { return "heartbeat" }

func init() { message.Register[Heartbeat]() }
