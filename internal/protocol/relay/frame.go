package relay

import (
	"encoding/binary"
	"math"
	"net/netip"
	"time"

	"github.com/currantturn/currantturn"
	"github.com/currantturn/currantturn/internal/protocol/message"
	"github.com/rotisserie/eris"
)

// MaxBytes is the largest size of a frame.
const MaxBytes = 2048

// Layout of a frame: the type (1 byte), followed by the CBOR encoding of a message, or
// by the fields of a packet at the offsets below, its service name and its payload.
const (
	typePacket  = 1
	typeMessage = 2
	typeSpread  = 3 // a packet frame that is forwarded by an agent, or to be forwarded, after a prefix

	intentOffset      = 1
	slotsOffset       = 2
	priorityOffset    = 3
	objectiveOffset   = 4  // milliseconds, 2 bytes, big-endian
	timeoutOffset     = 6  // milliseconds, 2 bytes, big-endian
	revisionOffset    = 8  // 8 bytes, big-endian
	eraOffset         = 16 // 4 bytes, big-endian
	nameLengthOffset  = 20
	packetHeaderBytes = 21

	// Layout of the prefix: type, number of recipients, the balancer's IPv4 address (zero
	// if it is the sender), and those of the recipients.
	recipientCountOffset = 1
	balancerOffset       = 2
	recipientsOffset     = 6
	addressBytes         = 4

	// The prefix of an opening packet that is placed shows that the sender reads all fields
	// of a load. In it, three numbers of addressBytes may take the place of recipients: the
	// warm-up of the backend server as rate in thousandths per second, and duration and
	// remaining time in milliseconds. Earlier agents ignore the prefix of such packets.
	warmingFields = 3
	rateUnit      = 1e-3

	maxUint8  = 1<<8 - 1
	maxUint16 = 1<<16 - 1
)

// intents lists the intents; an intent's code on the wire is its index, so only
// append to it.
var intents = [...]currantturn.Intent{
	currantturn.IntentRoute, currantturn.IntentPlace, currantturn.IntentHeld,
	currantturn.IntentSearch, currantturn.IntentAbsent, currantturn.IntentDeclined,
	currantturn.IntentUnanswered,
}

// MaxRecipients is the largest number of recipients of one search.
const MaxRecipients = 64

// AppendPacket appends the frame of an enveloped packet to dst; values outside
// the range of their field are clamped.
func AppendPacket(dst []byte, e *currantturn.Envelope) []byte {
	switch {
	case len(e.Recipients) > 0 || e.Balancer.IsValid():
		dst = appendPrefix(dst, e)
	case e.Intent == currantturn.IntentPlace && e.Warming.WarmUp.Rate > 0:
		dst = appendWarming(dst, &e.Warming)
	case e.Intent == currantturn.IntentPlace && e.ReadsLoads:
		dst = appendPrefix(dst, e)
	}
	name := e.Service[:min(len(e.Service), maxUint8)]
	dst = append(
		dst, typePacket, intentCode(e.Intent),
		byte(min(max(e.Demand.Slots, 0), maxUint8)), byte(min(max(e.Demand.Priority, 0), maxUint8)),
	)
	dst = binary.BigEndian.AppendUint16(dst, clampedMS(e.Demand.LatencyObjective))
	dst = binary.BigEndian.AppendUint16(dst, clampedMS(e.Demand.Timeout))
	dst = binary.BigEndian.AppendUint64(dst, e.Position.Revision)
	dst = binary.BigEndian.AppendUint32(dst, uint32(min(e.Position.Era, math.MaxUint32)))
	dst = append(append(dst, byte(len(name))), name...)
	return append(dst, e.Packet.Payload...)
}

// appendPrefix appends the prefix of a frame that agents forward.
func appendPrefix(dst []byte, e *currantturn.Envelope) []byte {
	recipients := e.Recipients[:min(len(e.Recipients), MaxRecipients)]
	dst = append(dst, typeSpread, byte(len(recipients)))
	var balancer [addressBytes]byte
	if e.Balancer.IsValid() {
		balancer = e.Balancer.Addr().As4()
	}
	dst = append(dst, balancer[:]...)
	for _, r := range recipients {
		ip := r.As4()
		dst = append(dst, ip[:]...)
	}
	return dst
}

// appendWarming appends the prefix of a packet to a backend server with a warm-up.
func appendWarming(dst []byte, w *currantturn.Warming) []byte {
	dst = append(dst, typeSpread, warmingFields, 0, 0, 0, 0)
	rate := min(max(math.Round(w.WarmUp.Rate/rateUnit), 1), math.MaxUint32)
	dst = binary.BigEndian.AppendUint32(dst, uint32(rate))
	dst = binary.BigEndian.AppendUint32(dst, uint32(clampedMS(w.WarmUp.Duration)))
	return binary.BigEndian.AppendUint32(dst, uint32(clampedMS(w.Remaining)))
}

// takeWarming replaces the recipients of a packet that is placed by the warm-up that
// they stand for.
func takeWarming(e *currantturn.Envelope) {
	if e.Intent != currantturn.IntentPlace || len(e.Recipients) != warmingFields {
		return
	}
	var fields [warmingFields]uint32
	for i, r := range e.Recipients {
		ip := r.As4()
		fields[i] = binary.BigEndian.Uint32(ip[:])
	}
	e.Recipients = nil
	e.Warming = currantturn.Warming{
		WarmUp:    currantturn.WarmUp{Rate: float64(fields[0]) * rateUnit, Duration: time.Duration(fields[1]) * time.Millisecond},
		Remaining: time.Duration(fields[2]) * time.Millisecond,
	}
}

// decodePrefix decodes the prefix of a frame and returns the rest.
func decodePrefix(frame []byte, e *currantturn.Envelope) (rest []byte, err error) {
	if len(frame) < recipientsOffset || frame[recipientCountOffset] > MaxRecipients ||
		len(frame) < recipientsOffset+int(frame[recipientCountOffset])*addressBytes {
		return nil, eris.Wrapf(currantturn.ErrMalformed, "prefix of a frame of %d bytes", len(frame))
	}
	if balancer := netip.AddrFrom4([addressBytes]byte(frame[balancerOffset:])); !balancer.IsUnspecified() {
		e.Balancer = netip.AddrPortFrom(balancer, 0)
	}
	rest = frame[recipientsOffset:]
	for range frame[recipientCountOffset] {
		e.Recipients = append(e.Recipients, netip.AddrFrom4([addressBytes]byte(rest)))
		rest = rest[addressBytes:]
	}
	return rest, nil
}

// clampedMS returns d in milliseconds, clamped to the range of a 2-byte field.
func clampedMS(d time.Duration) uint16 {
	return uint16(min(max(d.Milliseconds(), 0), maxUint16))
}

// AppendMessage appends the frame of a control message to dst.
func AppendMessage(dst []byte, m currantturn.Message) ([]byte, error) {
	p, err := message.Encode(m)
	if err != nil {
		return dst, err
	}
	return append(append(dst, typeMessage), p...), nil
}

// Decode returns the control message in a frame, or decodes its packet into e
// and returns nil. The service name ownService is reused without an allocation,
// and the payload aliases frame. The packet's header is left to its PacketCodec. The
// port of the envelope's Balancer is not on the wire.
func Decode(frame []byte, ownService currantturn.ServiceName, e *currantturn.Envelope) (currantturn.Message, error) {
	if len(frame) == 0 {
		return nil, eris.Wrap(currantturn.ErrMalformed, "empty frame")
	}
	prefixed := frame[0] == typeSpread
	if prefixed {
		var err error
		if frame, err = decodePrefix(frame, e); err != nil {
			return nil, err
		}
		if len(frame) == 0 || frame[0] != typePacket {
			return nil, eris.Wrap(currantturn.ErrMalformed, "prefix without a packet")
		}
	}
	switch frame[0] {
	case typeMessage:
		return message.Decode(frame[1:])
	case typePacket:
		err := decodePacket(frame, ownService, e)
		e.ReadsLoads = prefixed && e.Intent == currantturn.IntentPlace
		return nil, err
	default:
		return nil, eris.Wrapf(currantturn.ErrMalformed, "frame type %d", frame[0])
	}
}

// decodePacket decodes the frame of a packet into e.
func decodePacket(frame []byte, ownService currantturn.ServiceName, e *currantturn.Envelope) error {
	if len(frame) < packetHeaderBytes || int(frame[intentOffset]) >= len(intents) ||
		len(frame) < packetHeaderBytes+int(frame[nameLengthOffset]) {
		return eris.Wrapf(currantturn.ErrMalformed, "frame of %d bytes", len(frame))
	}
	e.Intent = intents[frame[intentOffset]]
	e.Demand = currantturn.Demand{
		Slots:            int(frame[slotsOffset]),
		Priority:         int(frame[priorityOffset]),
		LatencyObjective: time.Duration(binary.BigEndian.Uint16(frame[objectiveOffset:])) * time.Millisecond,
		Timeout:          time.Duration(binary.BigEndian.Uint16(frame[timeoutOffset:])) * time.Millisecond,
	}
	e.Position.Revision = binary.BigEndian.Uint64(frame[revisionOffset:])
	e.Position.Era = uint64(binary.BigEndian.Uint32(frame[eraOffset:]))
	name := frame[packetHeaderBytes : packetHeaderBytes+int(frame[nameLengthOffset])]
	if string(name) == string(ownService) {
		e.Service = ownService
	} else {
		e.Service = currantturn.ServiceName(name)
	}
	e.Packet.Payload = frame[packetHeaderBytes+len(name):]
	takeWarming(e)
	return nil
}

// intentCode returns the wire code of an intent; an intent that is not listed is
// sent as IntentRoute.
func intentCode(i currantturn.Intent) byte {
	for code, known := range intents {
		if known == i {
			return byte(code)
		}
	}
	return 0
}
