package agent

import (
	"github.com/currantturn/currantturn"
	"github.com/currantturn/currantturn/internal/protocol/message"
)

// Query requests the holder of a flow from an agent.
type Query struct {
	_       struct{} `cbor:",toarray"`
	From    currantturn.BackendID
	Key     []byte
	Opening bool // the sender places the flow unless a reply names a holder
}

// Kind returns the message kind.
func (Query) Kind() currantturn.Kind { return "flow_query" }

// Reply is the response to a Query; the holder is empty if the replier has none on
// record other than the querying agent.
type Reply struct {
	_      struct{} `cbor:",toarray"`
	From   currantturn.BackendID
	Key    []byte
	Holder currantturn.BackendID
}

// Kind returns the message kind.
func (Reply) Kind() currantturn.Kind { return "flow_reply" }

// Announce informs the highest-ranked agents of flows about the flows' holder.
type Announce struct {
	_      struct{} `cbor:",toarray"`
	Seq    uint32
	Holder currantturn.BackendID
	Keys   [][]byte
}

// Kind returns the message kind.
func (Announce) Kind() currantturn.Kind { return "flow_announce" }

// AnnounceAck acknowledges an Announce.
type AnnounceAck struct {
	_   struct{} `cbor:",toarray"`
	Seq uint32
}

// Kind returns the message kind.
func (AnnounceAck) Kind() currantturn.Kind { return "flow_announce_ack" }

func init() {
	message.Register[Query]()
	message.Register[Reply]()
	message.Register[Announce]()
	message.Register[AnnounceAck]()
}
