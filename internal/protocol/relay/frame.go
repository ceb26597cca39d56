package relay

import (
	"github.com/currantturn/currantturn"
	"github.com/currantturn/currantturn/internal/protocol/message"
	"github.com/rotisserie/eris"
)

// MaxBytes bounds a frame.
const MaxBytes = 2048

// Layout of a frame: its type, then for a packet intent, hops and the service's
// name after its length, and the packet; for a message its CBOR.
const (
	typePacket  = 1
	typeMessage = 2
	packetHead  = 4
)

// intents are the wire's numbers of the intents; append only.
var intents = [...]currantturn.Intent{
	currantturn.IntentRoute, currantturn.IntentPlace, currantturn.IntentHeld,
	currantturn.IntentSearch, currantturn.IntentAbsent, currantturn.IntentDeclined,
}

// AppendPacket appends the frame of an enveloped packet.
func AppendPacket(dst []byte, e *currantturn.Envelope) []byte {
	dst = append(dst, typePacket, intentNumber(e.Intent), e.Hops, byte(min(len(e.Service), 255)))
	dst = append(dst, e.Service[:min(len(e.Service), 255)]...)
	return append(dst, e.Packet.Payload...)
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
	if len(frame) < packetHead || int(frame[1]) >= len(intents) || len(frame) < packetHead+int(frame[3]) {
		return eris.Wrapf(currantturn.ErrMalformed, "frame of %d bytes", len(frame))
	}
	name := frame[packetHead : packetHead+int(frame[3])]
	e.Intent, e.Hops = intents[frame[1]], frame[2]
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
