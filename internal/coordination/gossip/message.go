package gossip

import (
	"net/netip"
	"time"

	"github.com/currantturn/currantturn"
	"github.com/currantturn/currantturn/internal/protocol/message"
	"github.com/currantturn/currantturn/pkg/patch"
)

// Kinds of the messages that the machine handles.
const (
	KindDigest currantturn.Kind = "configuration_digest"
	KindPull   currantturn.Kind = "configuration_pull"
	KindPart   currantturn.Kind = "configuration_part"
	KindFetch  currantturn.Kind = "configuration_fetch"
	KindOffer  currantturn.Kind = "configuration_offer"
	KindChunk  currantturn.Kind = "configuration_chunk"
)

// Kinds returns the message kinds that the runtime routes to the machine.
func Kinds() []currantturn.Kind {
	return []currantturn.Kind{KindDigest, KindPull, KindPart, KindFetch, KindOffer, KindChunk}
}

// Digest is the head of the sender's log and the age of its confirmation.
type Digest struct {
	_              struct{} `cbor:",toarray"`
	Position       uint64
	Chain          []byte        // chain digest at the position
	Age            time.Duration // time since the platform confirmed the position
	ReplyRequested bool          // the receiver replies with its digest
}

// Pull requests the records after a position.
type Pull struct {
	_     struct{} `cbor:",toarray"`
	After uint64
	Part  int // first missing part of the next record
}

// Part is one piece of an encoded record.
type Part struct {
	_        struct{} `cbor:",toarray"`
	Position uint64
	Index    int
	Total    int
	Last     bool // this is the last part of the reply to a pull
	Data     []byte
}

// Fetch requests chunks of a checkpoint, or an offer if Sum is empty.
type Fetch struct {
	_     struct{} `cbor:",toarray"`
	Sum   []byte
	Index int // index of the first chunk
	Count int
}

// Offer describes a checkpoint that the sender holds, and names further peers.
type Offer struct {
	_        struct{} `cbor:",toarray"`
	Position uint64
	Sum      []byte
	Bytes    int
	Peers    []netip.AddrPort
}

// Chunk is one piece of a checkpoint.
type Chunk struct {
	_     struct{} `cbor:",toarray"`
	Sum   []byte
	Index int
	Data  []byte
}

// Kind returns the message kind on the wire.
func (Digest) Kind() currantturn.Kind { return KindDigest }

// Kind returns the message kind on the wire.
func (Pull) Kind() currantturn.Kind { return KindPull }

// Kind returns the message kind on the wire.
func (Part) Kind() currantturn.Kind { return KindPart }

// Kind returns the message kind on the wire.
func (Fetch) Kind() currantturn.Kind { return KindFetch }

// Kind returns the message kind on the wire.
func (Offer) Kind() currantturn.Kind { return KindOffer }

// Kind returns the message kind on the wire.
func (Chunk) Kind() currantturn.Kind { return KindChunk }

func init() {
	message.Register[Digest]()
	message.Register[Pull]()
	message.Register[Part]()
	message.Register[Fetch]()
	message.Register[Offer]()
	message.Register[Chunk]()
}

// toDigest converts p to a digest, or returns false if its length is wrong.
func toDigest(p []byte) (patch.Digest, bool) {
	if len(p) != patch.DigestBytes {
		return patch.Digest{}, false
	}
	return patch.Digest(p), true
}
