package currantturn

import (
	"net/netip"
	"time"
)

// Kind names a message type on the wire.
type Kind string

// Message is a control message between two processes of the system.
type Message interface {
	Kind() Kind
}

// Send is an effect: deliver a control message to a peer's link address.
type Send struct {
	To      netip.AddrPort
	Message Message
}

// Forward is an effect: deliver an enveloped packet to a peer's link address.
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

// Effects collects what a machine decided; the runtime carries it out and
// reuses the slices.
type Effects struct {
	Sends    []Send
	Forwards []Forward
	Delivers []Packet         // to the backend side of this agent
	Answers  []Packet         // to the callers of this balancer
	Renews   []netip.AddrPort // peers whose channel needs a fresh socket
	Events   []Event
	Reads    []Read  // from the platform, answered by Reader.Completed
	InForce  []*View // newly in force, every version in order, for Configure of every machine
}

// Reset empties the effects and keeps their storage.
func (e *Effects) Reset() {
	e.Sends = e.Sends[:0]
	e.Forwards = e.Forwards[:0]
	e.Delivers = e.Delivers[:0]
	e.Answers = e.Answers[:0]
	e.Renews = e.Renews[:0]
	e.Events = e.Events[:0]
	e.Reads = e.Reads[:0]
	e.InForce = e.InForce[:0]
}

// Send records a control message to a peer.
func (e *Effects) Send(to netip.AddrPort, m Message) {
	e.Sends = append(e.Sends, Send{To: to, Message: m})
}

// Event records a numbered event.
func (e *Effects) Event(number int, fields ...Field) {
	e.Events = append(e.Events, Event{Number: number, Fields: fields})
}

// Machine decides without I/O: no clock, socket, goroutine or global random
// source; the same calls always give the same effects.
type Machine interface {
	// Handle takes a message from the peer at the given link address.
	Handle(now time.Time, from netip.AddrPort, m Message, out *Effects)
	// Tick lets time-driven decisions happen; it is called every TickEvery.
	Tick(now time.Time, out *Effects)
	// Configure puts a newer configuration in force.
	Configure(now time.Time, v *View, out *Effects)
}

// Router also decides on packets; it is safe for concurrent use.
type Router interface {
	Machine
	// Route decides on one enveloped packet. A balancer gets a caller's packet
	// with only Direction and Packet set and from invalid. Payloads in the
	// effects alias the envelope's and live until the effects are carried out.
	Route(now time.Time, from netip.AddrPort, e *Envelope, out *Effects)
}

// Answerer sends the backend side's packets of a flow back to its caller.
type Answerer interface {
	// Answer chooses the balancer that carries an answer.
	Answer(now time.Time, p *Packet, out *Effects)
}

// Sealer authenticates datagrams between processes; it is safe for concurrent use.
type Sealer interface {
	// Seal appends the authenticated form of p to dst.
	Seal(dst, p []byte) []byte
	// Open returns the content of an authentic datagram, which aliases p, or
	// ErrUnauthenticated, ErrReplayed or ErrMalformed.
	Open(now time.Time, p []byte) ([]byte, error)
}
