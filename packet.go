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

// String returns the flow's ID in logs, made of caller and service address.
func (k FlowKey) String() string {
	return k.Caller.String() + ">" + k.Service.String()
}

// Mark is the effect of a packet on its flow.
type Mark string

// Marks of a packet; MarkNone is for datagrams whose protocol has no marks.
const (
	MarkNone    Mark = "none"
	MarkOpening Mark = "opening"
	MarkData    Mark = "data"
	MarkClosing Mark = "closing"
	MarkReset   Mark = "reset" // ends the flow at once
)

// Packet is one datagram from a caller, or an answer to a caller.
type Packet struct {
	Flow    FlowKey
	Mark    Mark
	Payload []byte

	// Only a PacketCodec sets the fields below.
	Sequence uint32 // of the first byte of data
	Acked    uint32 // next byte expected from the other end; in a caller's opening packet, number of copies sent before
	DataSize int    // bytes of data
	Bounced  bool   // returned by a backend server that does not hold the flow
	Tag      uint32 // set by an agent; the backend server returns it in a bounced packet
}

// PacketCodec reads and writes the headers of packets whose data stays opaque.
type PacketCodec interface {
	// Decode reads a whole datagram, which the packet's Payload then aliases; it
	// returns ErrMalformed for anything that is not a packet. A bounced packet
	// has the flow of the packet that was sent to the backend server.
	Decode(datagram []byte, d Direction, p *Packet) error
	// SetTag writes the tag into an encoded packet.
	SetTag(datagram []byte, tag uint32)
	// Reset encodes a reset to the caller of a packet, which ends its flow.
	Reset(p *Packet) []byte
}

// Direction is the direction in which an envelope carries its packet.
type Direction string

// Directions of an envelope.
const (
	ToBackend Direction = "to_backend"
	ToCaller  Direction = "to_caller"
)

// Intent is the reason why the receiver of an envelope gets its packet.
type Intent string

// Intents of an envelope; a balancer, unless of opaque flows, always sends
// IntentRoute.
const (
	IntentRoute Intent = "route" // the receiver decides which agent holds the flow
	IntentPlace Intent = "place" // the receiver is chosen to hold a new flow
	IntentHeld  Intent = "held"  // the receiver is recorded as the flow's holder

	IntentSearch   Intent = "search"   // the receiver delivers the packet if it holds the flow
	IntentAbsent   Intent = "absent"   // returned to a balancer: the agent does not hold the flow
	IntentDeclined Intent = "declined" // returned to a balancer: the agent did not accept the new flow

	// IntentUnanswered returns an opening packet to a balancer that the backend server has
	// received, but not answered yet.
	IntentUnanswered Intent = "unanswered"
)

// MaxRanks is the maximum number of ranked backend servers in an envelope.
const MaxRanks = 3

// Demand is what a request requires, and the capacity of its backend server.
type Demand struct {
	Slots            int           // requests that the backend server may run at once; 0 if unknown
	Priority         int           // 0 is the highest
	LatencyObjective time.Duration // latency within which a caller wants its answer; 0 if unknown
	Timeout          time.Duration // after which a caller gives up; 0 if unknown
}

// Envelope carries a packet between a balancer and an agent, or two agents.
type Envelope struct {
	Direction Direction
	Intent    Intent // empty means IntentRoute
	Service   ServiceName
	Version   Version
	Hops      uint8               // number of agents passed so far
	Balancer  netip.AddrPort      // link address of the entry balancer, for answers and hints
	Ranks     [MaxRanks]BackendID // highest-ranked backend servers of the flow, best first
	Packet    Packet
	// The fields below are set with packets of opaque flows only.
	Demand   Demand
	Position Position // of the newest published state that the sender has
	// Recipients are agents that the receiver forwards a search to, with the sender as
	// its Balancer.
	Recipients []netip.Addr
	// Warming is the warm-up of the receiver's backend server, with IntentPlace.
	Warming Warming
	// ReadsLoads is true, with IntentPlace, if the sender decodes all fields of the loads that
	// agents report; earlier processes refuse fields that they do not know.
	ReadsLoads bool
}
