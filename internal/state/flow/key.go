package flow

import (
	"encoding/binary"
	"net/netip"
	"time"

	"github.com/currantturn/currantturn"
)

// Key is a flow in a form without pointers, so that tables cost the garbage
// collector nothing.
type Key [keyBytes]byte

// KeyOf encodes a flow.
func KeyOf(f currantturn.FlowKey) Key {
	var k Key
	putAddrPort(k[:keyBytes/2], f.Caller)
	putAddrPort(k[keyBytes/2:], f.Service)
	return k
}

// Flow decodes the key.
func (k *Key) Flow() currantturn.FlowKey {
	return currantturn.FlowKey{
		Caller:  addrPort(k[:keyBytes/2]),
		Service: addrPort(k[keyBytes/2:]),
	}
}

// ParseKey reads a key off the wire; it returns false for a wrong length.
func ParseKey(p []byte) (Key, bool) {
	if len(p) != keyBytes {
		return Key{}, false
	}
	return Key(p), true
}

func putAddrPort(b []byte, a netip.AddrPort) {
	ip := a.Addr().As16()
	copy(b, ip[:])
	binary.BigEndian.PutUint16(b[16:], a.Port())
}

func addrPort(b []byte) netip.AddrPort {
	ip := netip.AddrFrom16([16]byte(b[:16])).Unmap()
	return netip.AddrPortFrom(ip, binary.BigEndian.Uint16(b[16:]))
}

// epoch is where time stamps in records start.
var epoch = time.Date(2025, 1, 1, 0, 0, 0, 0, time.UTC)

// Stamp is a point in time in multiples of Unit.
type Stamp uint32

// StampOf converts a time.
func StampOf(now time.Time) Stamp {
	return Stamp(now.Sub(epoch) / Unit)
}

// Since is the time from s to now, never negative.
func (s Stamp) Since(now Stamp) time.Duration {
	if now < s {
		return 0
	}
	return time.Duration(now-s) * Unit
}
