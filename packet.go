package currantturn

import (
	"net/netip"
	"time"
)

// FlowKey identifies a flow by the caller's and the service's address.
type FlowKey struct {
	Caller  netip.AddrPort
	Service netip.AddrPort
}

// String returns the flow's ID in logs: caller and service address.
func (k FlowKey) String() string {
	return k.Caller.String() + ">" + k.Service.String()
}

// Mark tells what a packet does to its flow.
type Mark string

// Marks of a packet; MarkNone is a datagram whose protocol has no marks.
const (
	MarkNone    Mark = "none"
	MarkOpening Mark = "opening"
	MarkData    Mark = "data"
	MarkClosing Mark = "closing"
	MarkReset   Mark = "reset" // ends the flow at once
)

// Packet is one datagram of a caller, or an answer to one.
type Packet struct {
	Flow    FlowKey
	Mark    Mark
	Payload []byte

	// The fields below are set by a PacketCodec only.
	Sequence uint32 // of the first byte of data
	Acked    uint32 // next byte expected from the other end; in a caller's opening packet, how many copies came before
	DataSize int    // bytes of data
	Bounced  bool   // returned by a backend server that does not hold the flow
	Tag      uint32 // travels to the backend server and comes back in a bounce
}

// PacketCodec reads and writes the headers of packets whose data stays opaque.
type PacketCodec interface {
	// Decode reads a whole datagram, which the packet's Payload then aliases; it
	// returns ErrMalformed for anything that is no packet. Bounced packets have
	// the direction in which they were sent at first.
	Decode(datagram []byte, d Direction, p *Packet) error
	// SetTag writes the tag into an encoded packet.
	SetTag(datagram []byte, tag uint32)
	// Reset encodes the answer that ends the flow of a caller's packet.
	Reset(p *Packet) []byte
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

	IntentSearch   Intent = "search"   // the receiver delivers the packet if it holds the flow
	IntentAbsent   Intent = "absent"   // returned: the flow is not held here
	IntentDeclined Intent = "declined" // returned: the new flow was not taken
)

// MaxRanks is how many ranked backend servers an envelope names.
const MaxRanks = 3

// Demand is what a request asks for, and what its backend server has.
type Demand struct {
	Slots     int           // requests that the backend server may run at once; 0 if unknown
	Priority  int           // 0 is the highest
	Objective time.Duration // within which a caller wants its answer; 0 if unknown
	Timeout   time.Duration // after which a caller gives up; 0 if unknown
}

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
	// With packets of opaque flows:
	Demand   Demand
	Revision uint64 // of the newest published state that the sender knows of
	// BackendAge is how long ago the receiver's backend server was seen to have
	// just started; 0 if unknown.
	BackendAge time.Duration
}
