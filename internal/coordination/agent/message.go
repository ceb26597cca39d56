package agent

import (
	"github.com/currantturn/currantturn"
	"github.com/currantturn/currantturn/internal/protocol/message"
)

// Query asks an agent where a flow is held.
type Query struct {
	_       struct{} `cbor:",toarray"`
	From    currantturn.BackendID
	Key     []byte
	Opening bool // the asker places the flow unless it hears of a holder
}

// Kind names the message.
func (Query) Kind() currantturn.Kind { return "flow_query" }

// Reply answers a Query; the holder is empty when the replier knows none.
type Reply struct {
	_      struct{} `cbor:",toarray"`
	From   currantturn.BackendID
	Key    []byte
	Holder currantturn.BackendID
}

// Kind names the message.
func (Reply) Kind() currantturn.Kind { return "flow_reply" }

// Announce tells the ranks of flows who holds them.
type Announce struct {
	_      struct{} `cbor:",toarray"`
	Seq    uint32
	Holder currantturn.BackendID
	Keys   [][]byte
}

// Kind names the message.
func (Announce) Kind() currantturn.Kind { return "flow_announce" }

// AnnounceAck acknowledges an Announce.
type AnnounceAck struct {
	_   struct{} `cbor:",toarray"`
	Seq uint32
}

// Kind names the message.
func (AnnounceAck) Kind() currantturn.Kind { return "flow_announce_ack" }

func init() {
	message.Register[Query]()
	message.Register[Reply]()
	message.Register[Announce]()
	message.Register[AnnounceAck]()
}
