package entry

import (
	"encoding/binary"

	"github.com/currantturn/currantturn"
)

// QUIC header bits, packet types and versions (RFC 9000, RFC 9369). The shortest
// long header that can be classified holds the first byte and the version.
const (
	quicLongHeader         = 0x80
	quicFixedBit           = 0x40
	quicPacketTypeMask     = 0x30
	quicInitialV1          = 0x00
	quicInitialV2          = 0x10
	quicVersion2           = 0x6b3343cf
	quicMinLongHeaderBytes = 5
)

// MarkOf returns the mark of a datagram: MarkOpening for a QUIC Initial packet,
// MarkData for any other QUIC packet, and MarkNone for anything else.
func MarkOf(p []byte) currantturn.Mark {
	if len(p) == 0 || p[0]&quicFixedBit == 0 {
		return currantturn.MarkNone
	}
	if p[0]&quicLongHeader == 0 {
		return currantturn.MarkData
	}
	if len(p) < quicMinLongHeaderBytes {
		return currantturn.MarkNone
	}
	initial := byte(quicInitialV1)
	if binary.BigEndian.Uint32(p[1:]) == quicVersion2 {
		initial = quicInitialV2
	}
	if p[0]&quicPacketTypeMask == initial {
		return currantturn.MarkOpening
	}
	return currantturn.MarkData
}
