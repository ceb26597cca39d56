package relay

import (
	"net/netip"
	"time"

	"github.com/currantturn/currantturn"
	"github.com/currantturn/currantturn/internal/protocol/message"
)

// Load is the work that an agent sees at its backend server.
type Load struct {
	Running   int    `cbor:"1,keyasint"` // requests in progress
	Flows     int    `cbor:"2,keyasint"` // open flows
	ServiceUS uint32 `cbor:"3,keyasint"` // mean time of recent answers, microseconds
	Silent    bool   `cbor:"4,keyasint"` // the backend server does not answer
	Waiting   int    `cbor:"5,keyasint"` // requests that wait for a slot
}

// Service is the mean time of recent answers.
func (l *Load) Service() time.Duration {
	return time.Duration(l.ServiceUS) * time.Microsecond
}

// Flow is a flow's key on the wire.
type Flow struct {
	_       struct{} `cbor:",toarray"`
	Caller  netip.AddrPort
	Service netip.AddrPort
}

// Key returns the flow's key.
func (f Flow) Key() currantturn.FlowKey {
	return currantturn.FlowKey{Caller: f.Caller, Service: f.Service}
}

// Accepted tells the balancer that placed a flow that the backend server
// answered the opening packet.
type Accepted struct {
	Flow Flow `cbor:"1,keyasint"`
	Load Load `cbor:"2,keyasint"`
}

// Kind names the message on the wire.
func (Accepted) Kind() currantturn.Kind { return "accepted" }

// FlowOf returns a flow's key on the wire.
func FlowOf(k currantturn.FlowKey) Flow {
	return Flow{Caller: k.Caller, Service: k.Service}
}

// Query asks an agent which of some flows it holds.
type Query struct {
	Flows    Flows  `cbor:"1,keyasint"`
	Revision uint64 `cbor:"2,keyasint"` // of the newest published state that the balancer knows of
	AgeMS    uint32 `cbor:"3,keyasint"` // since the backend server was seen to have just started; 0 if unknown
}

// Kind names the message on the wire.
func (Query) Kind() currantturn.Kind { return "query" }

// Answer tells a balancer which of the flows that it asked for are held here.
type Answer struct {
	Held   Flows `cbor:"1,keyasint,omitempty"`
	Absent Flows `cbor:"2,keyasint,omitempty"`
	// Unsure lists flows that may be older than the agent: only a packet tells.
	Unsure   Flows  `cbor:"3,keyasint,omitempty"`
	Revision uint64 `cbor:"4,keyasint"` // newest published state that the agent has heard of
}

// Kind names the message on the wire.
func (Answer) Kind() currantturn.Kind { return "answer" }

// Held tells a balancer that searched with a packet that it was delivered to
// the flow's backend server.
type Held struct {
	Flow Flow `cbor:"1,keyasint"`
}

// Kind names the message on the wire.
func (Held) Kind() currantturn.Kind { return "held" }

// Absent tells a balancer that searched with a packet that the flow is not held
// here.
type Absent struct {
	Flow     Flow   `cbor:"1,keyasint"`
	Revision uint64 `cbor:"2,keyasint"` // newest published state that the agent has heard of
}

// Kind names the message on the wire.
func (Absent) Kind() currantturn.Kind { return "absent" }

// Report tells a balancer the present load.
type Report struct {
	Load Load `cbor:"1,keyasint"`
}

// Kind names the message on the wire.
func (Report) Kind() currantturn.Kind { return "report" }

// Probe asks an agent for a report at once.
type Probe struct{}

// Kind names the message on the wire.
func (Probe) Kind() currantturn.Kind { return "probe" }

func init() {
	message.Register[Accepted]()
	message.Register[Query]()
	message.Register[Answer]()
	message.Register[Held]()
	message.Register[Absent]()
	message.Register[Report]()
	message.Register[Probe]()
}
