package relay

import (
	"net/netip"
	"time"

	"github.com/currantturn/currantturn"
	"github.com/currantturn/currantturn/internal/protocol/message"
)

// Load is the load of a backend server as its agent measures it.
type Load struct {
	Running       int    `cbor:"1,keyasint"` // requests in progress
	Flows         int    `cbor:"2,keyasint"` // open flows
	ServiceTimeUS uint32 `cbor:"3,keyasint"` // mean service time of recent requests, microseconds
	Unresponsive  bool   `cbor:"4,keyasint"` // the backend server does not answer, or resets its requests
	Waiting       int    `cbor:"5,keyasint"` // requests that are queued for a slot
	// The fields below are sent only to balancers that have shown to read them, since
	// earlier ones refuse messages with unknown fields.

	// Times are the times to an answer of the most recent kinds of requests.
	Times KindTimes `cbor:"10,keyasint,omitempty"`
	// Limit is how many requests at once the backend server takes well, 0 if that is as
	// many as it has slots.
	Limit int `cbor:"11,keyasint,omitempty"`
	// Short is the share of answers that came far too early for their kind, in percent.
	Short int `cbor:"12,keyasint,omitempty"`
	// DeclinesMS is for how many milliseconds the agent declines new flows because the
	// backend server is cold.
	DeclinesMS uint16 `cbor:"20,keyasint,omitempty"`
}

// Basic returns the load without the fields that earlier balancers refuse.
func (l Load) Basic() Load {
	l.Times, l.Limit, l.Short, l.DeclinesMS = 0, 0, 0, 0
	return l
}

// ServiceTime returns the mean service time of recent requests.
func (l *Load) ServiceTime() time.Duration {
	return time.Duration(l.ServiceTimeUS) * time.Microsecond
}

// Flow is the wire form of a flow's key.
type Flow struct {
	_       struct{} `cbor:",toarray"`
	Caller  netip.AddrPort
	Service netip.AddrPort
}

// Key returns the flow's key.
func (f Flow) Key() currantturn.FlowKey {
	return currantturn.FlowKey{Caller: f.Caller, Service: f.Service}
}

// Accepted notifies the balancer that placed a flow that the backend server
// answered the flow's opening packet.
type Accepted struct {
	Flow Flow `cbor:"1,keyasint"`
	Load Load `cbor:"2,keyasint"`
}

// Kind returns the name of the message kind on the wire.
func (Accepted) Kind() currantturn.Kind { return "accepted" }

// FlowOf returns the wire form of a flow's key.
func FlowOf(k currantturn.FlowKey) Flow {
	return Flow{Caller: k.Caller, Service: k.Service}
}

// Query requests an agent to report which of the listed flows it holds.
type Query struct {
	Flows    Flows  `cbor:"1,keyasint"`
	Revision uint64 `cbor:"2,keyasint"` // of the newest published state that the balancer has received
	Era      uint64 `cbor:"20,keyasint,omitempty"`
	// Unused was the age of the backend server in earlier builds, which write it always.
	Unused uint32 `cbor:"3,keyasint,omitempty"`
}

// Position returns the position of the newest state that the sender has received.
func (q *Query) Position() currantturn.Position {
	return currantturn.Position{Era: q.Era, Revision: q.Revision}
}

// Kind returns the name of the message kind on the wire.
func (Query) Kind() currantturn.Kind { return "query" }

// QueryReply is an agent's reply to a Query.
type QueryReply struct {
	Held   Flows `cbor:"1,keyasint,omitempty"`
	Absent Flows `cbor:"2,keyasint,omitempty"`
	// Unsure lists flows that may have begun before the agent started, so that only
	// a packet of the flow shows whether the backend server holds it.
	Unsure   Flows  `cbor:"3,keyasint,omitempty"`
	Revision uint64 `cbor:"4,keyasint"` // of the newest published state that the agent has received
	Era      uint64 `cbor:"20,keyasint,omitempty"`
	// Forwards is true if the agent forwards search packets to other agents.
	Forwards bool `cbor:"5,keyasint,omitempty"`
}

// Position returns the position of the newest state that the sender has received.
func (r *QueryReply) Position() currantturn.Position {
	return currantturn.Position{Era: r.Era, Revision: r.Revision}
}

// Kind returns the name of the message kind on the wire.
func (QueryReply) Kind() currantturn.Kind { return "answer" }

// Held notifies a balancer that its search packet was delivered, since the
// agent's backend server holds the flow.
type Held struct {
	Flow Flow `cbor:"1,keyasint"`
}

// Kind returns the name of the message kind on the wire.
func (Held) Kind() currantturn.Kind { return "held" }

// Absent notifies a balancer that sent a search packet that the agent's backend
// server does not hold the flow.
type Absent struct {
	Flow     Flow   `cbor:"1,keyasint"`
	Revision uint64 `cbor:"2,keyasint"` // of the newest published state that the agent has received
	Era      uint64 `cbor:"20,keyasint,omitempty"`
}

// Position returns the position of the newest state that the sender has received.
func (a *Absent) Position() currantturn.Position {
	return currantturn.Position{Era: a.Era, Revision: a.Revision}
}

// Kind returns the name of the message kind on the wire.
func (Absent) Kind() currantturn.Kind { return "absent" }

// Report sends a balancer the backend server's present load.
type Report struct {
	Load Load `cbor:"1,keyasint"`
}

// Kind returns the name of the message kind on the wire.
func (Report) Kind() currantturn.Kind { return "report" }

// Drained says whether the failure domain of an agent is drained, so that its backend
// server gets no new flows: a balancer's notice to the agent, or the agent's reason why it
// declined a new flow.
type Drained struct {
	Drained  bool   `cbor:"1,keyasint"`
	Revision uint64 `cbor:"2,keyasint"` // of the published state that says so
	Era      uint64 `cbor:"20,keyasint,omitempty"`
}

// Position returns the position of the published state that says so.
func (d *Drained) Position() currantturn.Position {
	return currantturn.Position{Era: d.Era, Revision: d.Revision}
}

// Kind returns the name of the message kind on the wire.
func (Drained) Kind() currantturn.Kind { return "drained" }

// Announce notifies a balancer of an agent that receives nothing from any balancer. A
// balancer that has no published state finds the agent's flows by it.
type Announce struct {
	Service       currantturn.ServiceName   `cbor:"1,keyasint"` // of the backend server
	FailureDomain currantturn.FailureDomain `cbor:"2,keyasint"`
}

// Kind returns the name of the message kind on the wire.
func (Announce) Kind() currantturn.Kind { return "announce" }

// WarmUp notifies an agent that its backend server has started, in case only balancers
// that do not know this send it new flows.
type WarmUp struct {
	Warming  currantturn.Warming `cbor:"1,keyasint"`
	Revision uint64              `cbor:"2,keyasint"` // of the newest published state that the balancer has received
	Era      uint64              `cbor:"3,keyasint,omitempty"`
}

// Position returns the position of the newest state that the sender has received.
func (w *WarmUp) Position() currantturn.Position {
	return currantturn.Position{Era: w.Era, Revision: w.Revision}
}

// Kind returns the name of the message kind on the wire.
func (WarmUp) Kind() currantturn.Kind { return "warm_up" }

// Probe requests an immediate Report from an agent.
type Probe struct{}

// Kind returns the name of the message kind on the wire.
func (Probe) Kind() currantturn.Kind { return "probe" }

func init() {
	message.Register[Accepted]()
	message.Register[Query]()
	message.Register[QueryReply]()
	message.Register[Held]()
	message.Register[Absent]()
	message.Register[Report]()
	message.Register[Probe]()
	message.Register[Announce]()
	message.Register[WarmUp]()
	message.Register[Drained]()
}
