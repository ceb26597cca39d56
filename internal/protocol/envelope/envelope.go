package envelope

import (
	"encoding/binary"
	"net/netip"

	"github.com/currantturn/currantturn"
	"github.com/rotisserie/eris"
)

// Wire layout, big endian: format, direction, mark, hops, intent (1 byte each),
// version (8), balancer, caller and service address (18 each), then service
// name and ranks as length-prefixed strings, then the payload.
const (
	format      = 1
	addrBytes   = 18
	headBytes   = 5
	fixedBytes  = headBytes + 8 + 3*addrBytes
	maxNameSize = 63
	// MaxHeaderBytes is the largest encoded header.
	MaxHeaderBytes = fixedBytes + (1+currantturn.MaxRanks)*(1+maxNameSize)
)

var (
	directions = [...]currantturn.Direction{currantturn.ToBackend, currantturn.ToCaller}
	intents    = [...]currantturn.Intent{
		currantturn.IntentRoute, currantturn.IntentPlace, currantturn.IntentHeld,
	}
	marks = [...]currantturn.Mark{
		currantturn.MarkNone, currantturn.MarkOpening, currantturn.MarkData, currantturn.MarkClosing,
	}
)

// Append adds the wire form of e to dst.
func Append(dst []byte, e *currantturn.Envelope) ([]byte, error) {
	d := indexOf(directions[:], e.Direction)
	m := indexOf(marks[:], e.Packet.Mark)
	i := max(indexOf(intents[:], e.Intent), 0)
	if d < 0 || m < 0 {
		return dst, eris.Wrap(currantturn.ErrMalformed, "envelope direction or mark")
	}
	dst = append(dst, format, byte(d), byte(m), e.Hops, byte(i))
	dst = binary.BigEndian.AppendUint64(dst, uint64(e.Version))
	dst = appendAddrPort(dst, e.Balancer)
	dst = appendAddrPort(dst, e.Packet.Flow.Caller)
	dst = appendAddrPort(dst, e.Packet.Flow.Service)
	dst, err := appendName(dst, string(e.Service))
	if err != nil {
		return dst, err
	}
	for _, id := range e.Ranks {
		if dst, err = appendName(dst, string(id)); err != nil {
			return dst, err
		}
	}
	return append(dst, e.Packet.Payload...), nil
}

func indexOf[T comparable](all []T, v T) int {
	for i, x := range all {
		if x == v {
			return i
		}
	}
	return -1
}

func appendAddrPort(dst []byte, a netip.AddrPort) []byte {
	ip := a.Addr().As16()
	dst = append(dst, ip[:]...)
	return binary.BigEndian.AppendUint16(dst, a.Port())
}

func appendName(dst []byte, s string) ([]byte, error) {
	if len(s) > maxNameSize {
		return dst, eris.Wrapf(currantturn.ErrTooLarge, "name of %d bytes", len(s))
	}
	dst = append(dst, byte(len(s)))
	return append(dst, s...), nil
}

// Names returns the canonical copy of a name, so that decoding does not
// allocate; it returns false for a name it does not know.
type Names interface {
	Service(p []byte) (currantturn.ServiceName, bool)
	Backend(p []byte) (currantturn.BackendID, bool)
}

// Decode reads p into e; the payload aliases p. Unknown names are copied.
func Decode(p []byte, names Names, e *currantturn.Envelope) error {
	if len(p) < fixedBytes || p[0] != format {
		return eris.Wrap(currantturn.ErrMalformed, "envelope header")
	}
	if int(p[1]) >= len(directions) || int(p[2]) >= len(marks) || int(p[4]) >= len(intents) {
		return eris.Wrap(currantturn.ErrMalformed, "envelope direction, mark or intent")
	}
	e.Direction = directions[p[1]]
	e.Packet.Mark = marks[p[2]]
	e.Hops = p[3]
	e.Intent = intents[p[4]]
	e.Version = currantturn.Version(binary.BigEndian.Uint64(p[headBytes:]))
	p = p[headBytes+8:]
	e.Balancer, p = cutAddrPort(p)
	e.Packet.Flow.Caller, p = cutAddrPort(p)
	e.Packet.Flow.Service, p = cutAddrPort(p)
	name, p, err := cutName(p)
	if err != nil {
		return err
	}
	e.Service = serviceName(names, name)
	for i := range e.Ranks {
		if name, p, err = cutName(p); err != nil {
			return err
		}
		e.Ranks[i] = backendID(names, name)
	}
	e.Packet.Payload = p
	return nil
}

func serviceName(names Names, p []byte) currantturn.ServiceName {
	if names != nil {
		if s, ok := names.Service(p); ok {
			return s
		}
	}
	return currantturn.ServiceName(p)
}

func backendID(names Names, p []byte) currantturn.BackendID {
	if names != nil {
		if id, ok := names.Backend(p); ok {
			return id
		}
	}
	return currantturn.BackendID(p)
}

func cutAddrPort(p []byte) (netip.AddrPort, []byte) {
	ip := netip.AddrFrom16([16]byte(p[:16])).Unmap()
	return netip.AddrPortFrom(ip, binary.BigEndian.Uint16(p[16:])), p[addrBytes:]
}

func cutName(p []byte) (name, rest []byte, err error) {
	if len(p) == 0 || len(p) < 1+int(p[0]) || p[0] > maxNameSize {
		return nil, nil, eris.Wrap(currantturn.ErrMalformed, "envelope name")
	}
	n := 1 + int(p[0])
	return p[1:n], p[n:], nil
}
