package request

import (
	"encoding/binary"
	"encoding/hex"
	"strings"
	"time"

	"github.com/currantturn/currantturn"
	"github.com/rotisserie/eris"
)

// Key is a caller's request ID: a UUIDv7, which contains its time of issue.
type Key [16]byte

// uuidLength is the length of a UUID in text form.
const uuidLength = 36

// NewKey returns the key issued at now, with ten random bytes.
func NewKey(now time.Time, random [10]byte) Key {
	var k Key
	ms := uint64(now.UnixMilli())
	binary.BigEndian.PutUint16(k[0:], uint16(ms>>32))
	binary.BigEndian.PutUint32(k[2:], uint32(ms))
	copy(k[6:], random[:])
	k[6] = 0x70 | k[6]&0x0f // version 7
	k[8] = 0x80 | k[8]&0x3f // RFC 9562 variant
	return k
}

// ParseKey parses the text form of a UUIDv7, bare or in double quotes.
func ParseKey(s string) (Key, error) {
	var k Key
	if len(s) == uuidLength+2 && s[0] == '"' && s[len(s)-1] == '"' {
		s = s[1 : len(s)-1]
	}
	if len(s) != uuidLength || s[8] != '-' || s[13] != '-' || s[18] != '-' || s[23] != '-' {
		return k, eris.Wrap(currantturn.ErrMalformed, "request key is not a UUID")
	}
	digits := s[:8] + s[9:13] + s[14:18] + s[19:23] + s[24:]
	if _, err := hex.Decode(k[:], []byte(strings.ToLower(digits))); err != nil {
		return Key{}, eris.Wrap(currantturn.ErrMalformed, "request key is not a UUID")
	}
	if k[6]>>4 != 7 || k[8]>>6 != 2 {
		return Key{}, eris.Wrap(currantturn.ErrMalformed, "request key is not a UUID of version 7")
	}
	return k, nil
}

// IssuedAt returns the time of issue by the caller's clock.
func (k Key) IssuedAt() time.Time {
	ms := uint64(binary.BigEndian.Uint16(k[0:]))<<32 | uint64(binary.BigEndian.Uint32(k[2:]))
	return time.UnixMilli(int64(ms))
}

// String returns the canonical text form.
func (k Key) String() string {
	h := hex.EncodeToString(k[:])
	return h[:8] + "-" + h[8:12] + "-" + h[12:16] + "-" + h[16:20] + "-" + h[20:]
}
