package membership

import (
	"net/netip"

	"github.com/currantturn/currantturn"
	"github.com/currantturn/currantturn/internal/protocol/message"
)

// State is what a process believes of another.
type State string

// States of a member; leaving is kept beside them.
const (
	Alive   State = "alive"
	Suspect State = "suspect"
	Dead    State = "dead"
)

// Update is one piece of gossip about a member.
type Update struct {
	_           struct{} `cbor:",toarray"`
	ID          currantturn.BackendID
	State       State
	Leaving     bool
	Incarnation uint64
}

// Ping asks a peer for an Ack.
type Ping struct {
	_        struct{} `cbor:",toarray"`
	Seq      uint32
	Version  currantturn.Version
	From     Update
	Load     currantturn.Load
	Receiver Update // what the sender believes of the receiver
	Draining bool   // the sender's configuration has the receiver draining
	Updates  []Update
}

// Kind names the message.
func (Ping) Kind() currantturn.Kind { return "member_ping" }

// Ack answers a Ping.
type Ack struct {
	_        struct{} `cbor:",toarray"`
	Seq      uint32
	Version  currantturn.Version
	From     Update
	Load     currantturn.Load
	Draining bool
	Updates  []Update
}

// Kind names the message.
func (Ack) Kind() currantturn.Kind { return "member_ack" }

// PingRequest asks a peer to probe another on the sender's behalf.
type PingRequest struct {
	_      struct{} `cbor:",toarray"`
	Seq    uint32
	Target currantturn.BackendID
}

// Kind names the message.
func (PingRequest) Kind() currantturn.Kind { return "member_ping_request" }

// Notice tells balancers that a backend server died, leaves or is back.
type Notice struct {
	_       struct{} `cbor:",toarray"`
	Service currantturn.ServiceName
	Update  Update
}

// Kind names the message.
func (Notice) Kind() currantturn.Kind { return "member_notice" }

// Echo asks a balancer whether it is there.
type Echo struct {
	_   struct{} `cbor:",toarray"`
	Seq uint32
}

// Kind names the message.
func (Echo) Kind() currantturn.Kind { return "balancer_echo" }

// EchoReply answers an Echo.
type EchoReply struct {
	_   struct{} `cbor:",toarray"`
	Seq uint32
}

// Kind names the message.
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

// Newer says whether u overrides what is known as old.
func (u Update) Newer(old Update) bool {
	if u.Incarnation != old.Incarnation {
		return u.Incarnation > old.Incarnation
	}
	if u.State != old.State {
		return u.State.severity() > old.State.severity()
	}
	return u.Leaving && !old.Leaving
}

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
	asker netip.AddrPort
	seq   uint32
	mine  uint32
}
