package membership

import (
	"net/netip"

	"github.com/currantturn/currantturn"
	"github.com/currantturn/currantturn/internal/protocol/message"
)

// State is the state of a member in the list of another process.
type State string

// States of a member; whether it is leaving is a separate flag.
const (
	Alive   State = "alive"
	Suspect State = "suspect"
	Dead    State = "dead"
)

// Update is the state of a member at one incarnation, as spread by gossip.
type Update struct {
	_           struct{} `cbor:",toarray"`
	ID          currantturn.BackendID
	State       State
	Leaving     bool
	Incarnation uint64
}

// Ping requests an Ack from a peer.
type Ping struct {
	_        struct{} `cbor:",toarray"`
	Seq      uint32
	Version  currantturn.Version
	From     Update
	Load     currantturn.Load
	Receiver Update // state of the receiver in the sender's list
	Draining bool   // whether the receiver is draining in the sender's configuration
	Updates  []Update
}

// Kind returns the kind of the message on the wire.
func (Ping) Kind() currantturn.Kind { return "member_ping" }

// Ack is the reply to a Ping.
type Ack struct {
	_        struct{} `cbor:",toarray"`
	Seq      uint32
	Version  currantturn.Version
	From     Update
	Load     currantturn.Load
	Draining bool // whether the receiver is draining in the sender's configuration
	Updates  []Update
}

// Kind returns the kind of the message on the wire.
func (Ack) Kind() currantturn.Kind { return "member_ack" }

// PingRequest requests a peer to probe another one on the sender's behalf.
type PingRequest struct {
	_      struct{} `cbor:",toarray"`
	Seq    uint32
	Target currantturn.BackendID
}

// Kind returns the kind of the message on the wire.
func (PingRequest) Kind() currantturn.Kind { return "member_ping_request" }

// Notice notifies balancers that a backend server died, is leaving or is back.
type Notice struct {
	_       struct{} `cbor:",toarray"`
	Service currantturn.ServiceName
	Update  Update
}

// Kind returns the kind of the message on the wire.
func (Notice) Kind() currantturn.Kind { return "member_notice" }

// Echo requests an EchoReply from a balancer, to test whether it is reachable.
type Echo struct {
	_   struct{} `cbor:",toarray"`
	Seq uint32
}

// Kind returns the kind of the message on the wire.
func (Echo) Kind() currantturn.Kind { return "balancer_echo" }

// EchoReply is the reply to an Echo.
type EchoReply struct {
	_   struct{} `cbor:",toarray"`
	Seq uint32
}

// Kind returns the kind of the message on the wire.
func (EchoReply) Kind() currantturn.Kind { return "balancer_echo_reply" }

func init() {
	message.Register[Ping]()
	message.Register[Ack]()
	message.Register[PingRequest]()
	message.Register[Notice]()
	message.Register[Echo]()
	message.Register[EchoReply]()
}

// Kinds lists the messages between agents that a List handles.
func Kinds() []currantturn.Kind {
	return []currantturn.Kind{Ping{}.Kind(), Ack{}.Kind(), PingRequest{}.Kind()}
}

// Newer reports whether u replaces old: by a higher incarnation, then by a worse
// state, then by leaving.
func (u Update) Newer(old Update) bool {
	if u.Incarnation != old.Incarnation {
		return u.Incarnation > old.Incarnation
	}
	if u.State != old.State {
		return u.State.severity() > old.State.severity()
	}
	return u.Leaving && !old.Leaving
}

// severity returns a higher number for a worse state.
func (s State) severity() int {
	switch s {
	case Dead:
		return 2
	case Suspect:
		return 1
	default:
		return 0
	}
}

// relay is a probe on behalf of another agent.
type relay struct {
	requester  netip.AddrPort
	requestSeq uint32 // of the requester's own probe
	probeSeq   uint32 // of the probe sent here
}
