package entry

import (
	"encoding/binary"

	"github.com/currantturn/currantturn"
)

// QUIC header bits and versions (RFC 9000, RFC 9369).
const (
	quicLongHeader  = 0x80
	quicFixedBit    = 0x40
	quicTypeMask    = 0x30
	quicInitialV1   = 0x00
	quicInitialV2   = 0x10
	quicVersion2    = 0x6b3343cf
	quicHeaderBytes = 5
)

// MarkOf tells what a datagram does to its flow: a QUIC Initial opens it, any
// other QUIC packet is data, and anything else has no mark.
func MarkOf(p []byte) currantturn.Mark {
	if len(p) == 0 || p[0]&quicFixedBit == 0 {
		return currantturn.MarkNone
	}
	if p[0]&quicLongHeader == 0 {
		return currantturn.MarkData
	}
	if len(p) < quicHeaderBytes {
		return currantturn.MarkNone
	}
	initial := byte(quicInitialV1)
	if binary.BigEndian.Uint32(p[1:]) == quicVersion2 {
		initial = quicInitialV2
	}
	if p[0]&quicTypeMask == initial {
		return currantturn.MarkOpening
	}
	return currantturn.MarkData
}
