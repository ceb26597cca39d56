package relay

import (
	"encoding/binary"
	"math"
	"time"

	"github.com/currantturn/currantturn"
	"github.com/currantturn/currantturn/internal/protocol/message"
	"github.com/rotisserie/eris"
)

// MaxBytes bounds a frame.
const MaxBytes = 2048

// Layout of a frame: its type, then for a message its CBOR; for a packet the
// fields below, the service's name and the packet.
const (
	typePacket  = 1
	typeMessage = 2

	intentAt    = 1
	slotsAt     = 2
	priorityAt  = 3
	objectiveAt = 4  // milliseconds, 2 bytes, big-endian
	timeoutAt   = 6  // milliseconds, 2 bytes, big-endian
	revisionAt  = 8  // 8 bytes, big-endian
	ageAt       = 16 // milliseconds, 4 bytes, big-endian; 0 if unknown
	nameBytesAt = 20
	packetHead  = 21
	maxByte     = 1<<8 - 1
	maxShort    = 1<<16 - 1
)

// intents are the wire's numbers of the intents; append only.
var intents = [...]currantturn.Intent{
	currantturn.IntentRoute, currantturn.IntentPlace, currantturn.IntentHeld,
	currantturn.IntentSearch, currantturn.IntentAbsent, currantturn.IntentDeclined,
}

// AppendPacket appends the frame of an enveloped packet; numbers that do not fit
// become the largest that do.
func AppendPacket(dst []byte, e *currantturn.Envelope) []byte {
	name := e.Service[:min(len(e.Service), maxByte)]
	dst = append(
		dst, typePacket, intentNumber(e.Intent),
		byte(min(max(e.Demand.Slots, 0), maxByte)), byte(min(max(e.Demand.Priority, 0), maxByte)),
	)
	dst = binary.BigEndian.AppendUint16(dst, milliseconds(e.Demand.Objective))
	dst = binary.BigEndian.AppendUint16(dst, milliseconds(e.Demand.Timeout))
	dst = binary.BigEndian.AppendUint64(dst, e.Revision)
	dst = binary.BigEndian.AppendUint32(dst, AgeMS(e.BackendAge))
	dst = append(append(dst, byte(len(name))), name...)
	return append(dst, e.Packet.Payload...)
}

// AgeMS is an age on the wire, in milliseconds.
func AgeMS(d time.Duration) uint32 {
	return uint32(min(max(d.Milliseconds(), 0), math.MaxUint32))
}

func milliseconds(d time.Duration) uint16 {
	return uint16(min(max(d.Milliseconds(), 0), maxShort))
}

// AppendMessage appends the frame of a control message.
func AppendMessage(dst []byte, m currantturn.Message) ([]byte, error) {
	p, err := message.Encode(m)
	if err != nil {
		return dst, err
	}
	return append(append(dst, typeMessage), p...), nil
}

// Decode reads a frame into e, or returns its message; own is the service's
// name that is not allocated anew. The packet's header is left to its codec.
func Decode(frame []byte, own currantturn.ServiceName, e *currantturn.Envelope) (currantturn.Message, error) {
	if len(frame) == 0 {
		return nil, eris.Wrap(currantturn.ErrMalformed, "empty frame")
	}
	switch frame[0] {
	case typeMessage:
		return message.Decode(frame[1:])
	case typePacket:
		return nil, decodePacket(frame, own, e)
	default:
		return nil, eris.Wrapf(currantturn.ErrMalformed, "frame type %d", frame[0])
	}
}

func decodePacket(frame []byte, own currantturn.ServiceName, e *currantturn.Envelope) error {
	if len(frame) < packetHead || int(frame[intentAt]) >= len(intents) ||
		len(frame) < packetHead+int(frame[nameBytesAt]) {
		return eris.Wrapf(currantturn.ErrMalformed, "frame of %d bytes", len(frame))
	}
	e.Intent = intents[frame[intentAt]]
	e.Demand = currantturn.Demand{
		Slots:     int(frame[slotsAt]),
		Priority:  int(frame[priorityAt]),
		Objective: time.Duration(binary.BigEndian.Uint16(frame[objectiveAt:])) * time.Millisecond,
		Timeout:   time.Duration(binary.BigEndian.Uint16(frame[timeoutAt:])) * time.Millisecond,
	}
	e.Revision = binary.BigEndian.Uint64(frame[revisionAt:])
	e.BackendAge = time.Duration(binary.BigEndian.Uint32(frame[ageAt:])) * time.Millisecond
	name := frame[packetHead : packetHead+int(frame[nameBytesAt])]
	if string(name) == string(own) {
		e.Service = own
	} else {
		e.Service = currantturn.ServiceName(name)
	}
	e.Packet.Payload = frame[packetHead+len(name):]
	return nil
}

func intentNumber(i currantturn.Intent) byte {
	for n, known := range intents {
		if known == i {
			return byte(n)
		}
	}
	return 0
}
