package relay

import (
	"encoding/binary"
	"iter"
	"net/netip"

	"github.com/currantturn/currantturn"
)

// flowBytes is the size of an entry in a list of flows: the addresses of caller
// and service (6 bytes each) and the caller's last acknowledgement number (4).
const flowBytes = 16

// MaxFlows is the largest number of flows in a list, such that its message fits
// into a datagram.
const MaxFlows = 64

// Flows is a compact encoding of a list of IPv4 flows.
type Flows []byte

// Append adds a flow and its caller's last acknowledgement number to the list.
func (f Flows) Append(k currantturn.FlowKey, acked uint32) Flows {
	for _, addr := range []netip.AddrPort{k.Caller, k.Service} {
		ip := addr.Addr().As4()
		f = binary.BigEndian.AppendUint16(append(f, ip[:]...), addr.Port())
	}
	return binary.BigEndian.AppendUint32(f, acked)
}

// Len returns the number of flows in the list.
func (f Flows) Len() int {
	return len(f) / flowBytes
}

// Cut splits the list after its first n flows.
func (f Flows) Cut(n int) (head, rest Flows) {
	n = min(n*flowBytes, len(f))
	return f[:n], f[n:]
}

// All yields the flows with their callers' last acknowledgement numbers.
func (f Flows) All() iter.Seq2[currantturn.FlowKey, uint32] {
	return func(yield func(currantturn.FlowKey, uint32) bool) {
		for offset := 0; offset+flowBytes <= len(f); offset += flowBytes {
			b := f[offset : offset+flowBytes]
			if !yield(currantturn.FlowKey{Caller: decodeAddrPort(b), Service: decodeAddrPort(b[6:])}, binary.BigEndian.Uint32(b[12:])) {
				return
			}
		}
	}
}

// decodeAddrPort reads an IPv4 address and port from the start of b.
func decodeAddrPort(b []byte) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte(b[:4])), binary.BigEndian.Uint16(b[4:]))
}
