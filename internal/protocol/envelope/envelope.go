package envelope

import (
	"encoding/binary"
	"net/netip"

	"github.com/currantturn/currantturn"
	"github.com/rotisserie/eris"
)

// Wire layout, big-endian: format, direction, mark, hops and intent (1 byte
// each), version (8), the addresses of balancer, caller and service (18 each: 16
// for the IP address, 2 for the port), then the service name and the ranks as
// length-prefixed strings, then the payload.
const (
	format       = 1
	addrBytes    = 18
	prefixBytes  = 5
	fixedBytes   = prefixBytes + 8 + 3*addrBytes
	maxNameBytes = 63
	// MaxHeaderBytes is the largest encoded header.
	MaxHeaderBytes = fixedBytes + (1+currantturn.MaxRanks)*(1+maxNameBytes)
)

// Enumerations on the wire: a value is encoded as its index; append only.
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
	direction := indexOf(directions[:], e.Direction)
	mark := indexOf(marks[:], e.Packet.Mark)
	intent := max(indexOf(intents[:], e.Intent), 0) // IntentRoute unless listed
	if direction < 0 || mark < 0 {
		return dst, eris.Wrap(currantturn.ErrMalformed, "envelope direction or mark")
	}
	dst = append(dst, format, byte(direction), byte(mark), e.Hops, byte(intent))
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

// indexOf returns the index of v in all, or -1.
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
	if len(s) > maxNameBytes {
		return dst, eris.Wrapf(currantturn.ErrTooLarge, "name of %d bytes", len(s))
	}
	dst = append(dst, byte(len(s)))
	return append(dst, s...), nil
}

// Names looks up the stored copy of an encoded name, so that decoding does not
// allocate; its methods return false for an unknown name.
type Names interface {
	Service(p []byte) (currantturn.ServiceName, bool)
	Backend(p []byte) (currantturn.BackendID, bool)
}

// Decode decodes p into e; the payload aliases p. Names that are not found in
// names, which may be nil, are copied.
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
	e.Version = currantturn.Version(binary.BigEndian.Uint64(p[prefixBytes:]))
	p = p[prefixBytes+8:]
	e.Balancer, p = readAddrPort(p)
	e.Packet.Flow.Caller, p = readAddrPort(p)
	e.Packet.Flow.Service, p = readAddrPort(p)
	name, p, err := readName(p)
	if err != nil {
		return err
	}
	e.Service = serviceName(names, name)
	for i := range e.Ranks {
		if name, p, err = readName(p); err != nil {
			return err
		}
		e.Ranks[i] = backendID(names, name)
	}
	e.Packet.Payload = p
	return nil
}

// serviceName returns the stored copy of a service name, or a new one.
func serviceName(names Names, p []byte) currantturn.ServiceName {
	if names != nil {
		if s, ok := names.Service(p); ok {
			return s
		}
	}
	return currantturn.ServiceName(p)
}

// backendID returns the stored copy of a backend server's ID, or a new one.
func backendID(names Names, p []byte) currantturn.BackendID {
	if names != nil {
		if id, ok := names.Backend(p); ok {
			return id
		}
	}
	return currantturn.BackendID(p)
}

// readAddrPort decodes the address at the start of p and returns the remaining bytes.
func readAddrPort(p []byte) (netip.AddrPort, []byte) {
	ip := netip.AddrFrom16([16]byte(p[:16])).Unmap()
	return netip.AddrPortFrom(ip, binary.BigEndian.Uint16(p[16:])), p[addrBytes:]
}

// readName returns the length-prefixed name at the start of p and the remaining bytes.
func readName(p []byte) (name, rest []byte, err error) {
	if len(p) == 0 || len(p) < 1+int(p[0]) || p[0] > maxNameBytes {
		return nil, nil, eris.Wrap(currantturn.ErrMalformed, "envelope name")
	}
	n := 1 + int(p[0])
	return p[1:n], p[n:], nil
}
