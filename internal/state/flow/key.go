package flow

import (
	"encoding/binary"
	"net/netip"
	"time"

	"github.com/currantturn/currantturn"
)

// Key is an encoded flow key. It contains no pointers, so the garbage collector
// does not scan the tables.
type Key [keySize]byte

// KeyOf encodes a flow key.
func KeyOf(f currantturn.FlowKey) Key {
	var k Key
	putAddrPort(k[:keySize/2], f.Caller)
	putAddrPort(k[keySize/2:], f.Service)
	return k
}

// Flow returns the decoded flow key.
func (k *Key) Flow() currantturn.FlowKey {
	return currantturn.FlowKey{
		Caller:  addrPort(k[:keySize/2]),
		Service: addrPort(k[keySize/2:]),
	}
}

// ParseKey reads a received key; it returns false if the length is wrong.
func ParseKey(p []byte) (Key, bool) {
	if len(p) != keySize {
		return Key{}, false
	}
	return Key(p), true
}

// putAddrPort encodes an address as 16 bytes and its port as 2 bytes.
func putAddrPort(b []byte, a netip.AddrPort) {
	ip := a.Addr().As16()
	copy(b, ip[:])
	binary.BigEndian.PutUint16(b[16:], a.Port())
}

// addrPort decodes an address and port encoded by putAddrPort.
func addrPort(b []byte) netip.AddrPort {
	ip := netip.AddrFrom16([16]byte(b[:16])).Unmap()
	return netip.AddrPortFrom(ip, binary.BigEndian.Uint16(b[16:]))
}

// stampOrigin is the time of Stamp 0.
var stampOrigin = time.Date(2025, 1, 1, 0, 0, 0, 0, time.UTC)

// Stamp is a point in time, in multiples of StampResolution since the start of
// 2025 in UTC.
type Stamp uint32

// StampOf converts a time to a Stamp, rounding down.
func StampOf(t time.Time) Stamp {
	return Stamp(t.Sub(stampOrigin) / StampResolution)
}

// Since returns the time from s to now, or zero if now is before s.
func (s Stamp) Since(now Stamp) time.Duration {
	if now < s {
		return 0
	}
	return time.Duration(now-s) * StampResolution
}
