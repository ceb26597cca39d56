package relay

import (
	"encoding/binary"
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
	bornAt      = 16 // Unix milliseconds, 8 bytes, big-endian; 0 if not told
	nameBytesAt = 24
	packetHead  = 25
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
	dst = binary.BigEndian.AppendUint64(dst, uint64(UnixMilliseconds(e.Born)))
	dst = append(append(dst, byte(len(name))), name...)
	return append(dst, e.Packet.Payload...)
}

// UnixMilliseconds is a time on the wire, 0 for none.
func UnixMilliseconds(t time.Time) int64 {
	if t.IsZero() {
		return 0
	}
	return t.UnixMilli()
}

// Time is the time of Unix milliseconds, none for 0.
func Time(ms int64) time.Time {
	if ms == 0 {
		return time.Time{}
	}
	return time.UnixMilli(ms)
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
	e.Born = Time(int64(binary.BigEndian.Uint64(frame[bornAt:])))
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
