package relay

import (
	"encoding/binary"
	"iter"
	"net/netip"

	"github.com/currantturn/currantturn"
)

// flowBytes is the size of a flow in a list: caller, service and what the
// caller acknowledged last.
const flowBytes = 16

// MaxFlows is how many flows a list may have, so that its message fits into a
// datagram.
const MaxFlows = 64

// Flows is a compact list of flows over IPv4.
type Flows []byte

// Append adds a flow to the list.
func (f Flows) Append(k currantturn.FlowKey, acked uint32) Flows {
	for _, at := range []netip.AddrPort{k.Caller, k.Service} {
		ip := at.Addr().As4()
		f = binary.BigEndian.AppendUint16(append(f, ip[:]...), at.Port())
	}
	return binary.BigEndian.AppendUint32(f, acked)
}

// Len returns how many flows the list has.
func (f Flows) Len() int {
	return len(f) / flowBytes
}

// Cut splits off the first n flows at most.
func (f Flows) Cut(n int) (head, rest Flows) {
	n = min(n*flowBytes, len(f))
	return f[:n], f[n:]
}

// All yields the flows with what their callers acknowledged last.
func (f Flows) All() iter.Seq2[currantturn.FlowKey, uint32] {
	return func(yield func(currantturn.FlowKey, uint32) bool) {
		for at := 0; at+flowBytes <= len(f); at += flowBytes {
			b := f[at : at+flowBytes]
			if !yield(currantturn.FlowKey{Caller: end(b), Service: end(b[6:])}, binary.BigEndian.Uint32(b[12:])) {
				return
			}
		}
	}
}

func end(b []byte) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte(b[:4])), binary.BigEndian.Uint16(b[4:]))
}
