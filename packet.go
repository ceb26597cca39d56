package currantturn

import "net/netip"

// FlowKey identifies a flow by the caller's and the service's address.
type FlowKey struct {
	Caller  netip.AddrPort
	Service netip.AddrPort
}

// Mark tells what a packet does to its flow.
type Mark string

// Marks of a packet; MarkNone is a datagram whose protocol has no marks.
const (
	MarkNone    Mark = "none"
	MarkOpening Mark = "opening"
	MarkData    Mark = "data"
	MarkClosing Mark = "closing"
)

// Packet is one datagram of a caller, or an answer to one.
type Packet struct {
	Flow    FlowKey
	Mark    Mark
	Payload []byte
}

// Direction tells which way an envelope carries its packet.
type Direction string

// Directions of an envelope.
const (
	ToBackend Direction = "to_backend"
	ToCaller  Direction = "to_caller"
)

// Intent tells an agent why another agent forwards a packet to it.
type Intent string

// Intents of an envelope; a balancer always sends IntentRoute.
const (
	IntentRoute Intent = "route" // the receiver decides where the flow is
	IntentPlace Intent = "place" // the receiver is chosen to hold a new flow
	IntentHeld  Intent = "held"  // the receiver is recorded as the flow's holder
)

// MaxRanks is how many ranked backend servers an envelope names.
const MaxRanks = 3

// Envelope carries a packet between a balancer and an agent, or two agents.
type Envelope struct {
	Direction Direction
	Intent    Intent // empty means IntentRoute
	Service   ServiceName
	Version   Version
	Hops      uint8          // agents passed so far
	Balancer  netip.AddrPort // link address of the entry balancer, for answers and hints
	Ranks     [MaxRanks]BackendID
	Packet    Packet
}
