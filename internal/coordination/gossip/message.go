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

// Kinds lists the kinds that the runtime routes to the machine.
func Kinds() []currantturn.Kind {
	return []currantturn.Kind{KindDigest, KindPull, KindPart, KindFetch, KindOffer, KindChunk}
}

// Digest tells a peer how far the sender's log goes and how fresh it is.
type Digest struct {
	_        struct{} `cbor:",toarray"`
	Position uint64
	Chain    []byte        // chain digest at the position
	Age      time.Duration // since the platform confirmed the position
	Answer   bool          // asks the peer to answer with its own digest
}

// Pull asks for the records after a position.
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
	Last     bool // of the answer to a pull
	Data     []byte
}

// Fetch asks for chunks of a checkpoint, or with an empty sum for an offer.
type Fetch struct {
	_     struct{} `cbor:",toarray"`
	Sum   []byte
	Index int // of the first chunk
	Count int
}

// Offer names a checkpoint that the sender holds, and further peers.
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

// Kind names the message on the wire.
func (Digest) Kind() currantturn.Kind { return KindDigest }

// Kind names the message on the wire.
func (Pull) Kind() currantturn.Kind { return KindPull }

// Kind names the message on the wire.
func (Part) Kind() currantturn.Kind { return KindPart }

// Kind names the message on the wire.
func (Fetch) Kind() currantturn.Kind { return KindFetch }

// Kind names the message on the wire.
func (Offer) Kind() currantturn.Kind { return KindOffer }

// Kind names the message on the wire.
func (Chunk) Kind() currantturn.Kind { return KindChunk }

func init() {
	message.Register[Digest]()
	message.Register[Pull]()
	message.Register[Part]()
	message.Register[Fetch]()
	message.Register[Offer]()
	message.Register[Chunk]()
}

// toDigest returns the digest in p, or false for another length.
func toDigest(p []byte) (patch.Digest, bool) {
	if len(p) != patch.DigestBytes {
		return patch.Digest{}, false
	}
	return patch.Digest(p), true
}
