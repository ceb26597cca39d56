package currantturn

import (
	"net/netip"
	"time"
)

// Kind is the name of a message type on the wire.
type Kind string

// Message is a control message between two processes of the system.
type Message interface {
	Kind() Kind
}

// Send is an effect: send a control message to a peer's link address.
type Send struct {
	To      netip.AddrPort
	Message Message
}

// Forward is an effect: send an enveloped packet to a peer's link address.
type Forward struct {
	To       netip.AddrPort
	Envelope Envelope
}

// Event is an effect: report a numbered event with its fields.
type Event struct {
	Number int
	Fields []Field
}

// Field is one named value of an event.
type Field struct {
	Name  string
	Value any
}

// Effects collects what a machine decided to do; the runtime executes it and
// reuses the slices.
type Effects struct {
	Sends          []Send
	Forwards       []Forward
	Deliveries     []Packet         // to the backend side of this agent
	Answers        []Packet         // to the callers of this balancer
	SocketRenewals []netip.AddrPort // peers whose channel needs a new socket
	Events         []Event
	Reads          []Read  // from the platform; Reader.ReadCompleted receives the results
	InForce        []*View // configurations that came into force, in order of version, for Configure of every machine
}

// Reset removes all effects and keeps the slices' memory for reuse.
func (e *Effects) Reset() {
	e.Sends = e.Sends[:0]
	e.Forwards = e.Forwards[:0]
	e.Deliveries = e.Deliveries[:0]
	e.Answers = e.Answers[:0]
	e.SocketRenewals = e.SocketRenewals[:0]
	e.Events = e.Events[:0]
	e.Reads = e.Reads[:0]
	e.InForce = e.InForce[:0]
}

// Send adds a control message to a peer.
func (e *Effects) Send(to netip.AddrPort, m Message) {
	e.Sends = append(e.Sends, Send{To: to, Message: m})
}

// Event adds a numbered event.
func (e *Effects) Event(number int, fields ...Field) {
	e.Events = append(e.Events, Event{Number: number, Fields: fields})
}

// Machine makes decisions without I/O: it uses no clock, socket, goroutine or
// global random source, and the same calls always give the same effects.
type Machine interface {
	// Handle handles a message received from the peer at a link address.
	Handle(now time.Time, from netip.AddrPort, m Message, out *Effects)
	// Tick makes the decisions that depend on time. It is called every
	// TickInterval, or more often in a process of opaque flows.
	Tick(now time.Time, out *Effects)
	// Configure puts a newer configuration in force.
	Configure(now time.Time, v *View, out *Effects)
}

// Router is a machine that also decides where packets go; it is safe for
// concurrent use.
type Router interface {
	Machine
	// Route decides where an enveloped packet goes. For a packet that a balancer
	// receives from a caller, only Direction and Packet are set, and from is
	// invalid. Payloads in the effects alias the envelope's payload and must
	// stay valid until the effects are executed.
	Route(now time.Time, from netip.AddrPort, e *Envelope, out *Effects)
}

// Answerer sends packets from the backend side of a flow to its caller.
type Answerer interface {
	// Answer chooses the balancer that forwards an answer to the caller.
	Answer(now time.Time, p *Packet, out *Effects)
}

// Sealer authenticates datagrams between processes; it is safe for concurrent use.
type Sealer interface {
	// Seal appends p, with its authenticator, to dst.
	Seal(dst, p []byte) []byte
	// Open returns the content of an authentic datagram, which aliases p, or
	// ErrUnauthenticated, ErrReplayed or ErrMalformed.
	Open(now time.Time, p []byte) ([]byte, error)
}
