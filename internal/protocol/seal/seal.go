package seal

import (
	"crypto/cipher"
	"encoding/binary"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/currantturn/currantturn"
	"github.com/rotisserie/eris"
	"golang.org/x/time/rate"
)

// Sealer implements currantturn.Sealer with GMAC, with a separate key per sender.
type Sealer struct {
	ownID       senderID
	clock       func() time.Time
	counter     atomic.Uint64
	keys        atomic.Pointer[keySet]
	rotateMu    sync.Mutex
	shards      [shardCount]*shard
	derivations *rate.Limiter
	counts      counts
}

// keySet holds the valid keys and this process's authenticator under the active
// one.
type keySet struct {
	ring   Ring
	byID   [256]*preparedKey
	active *preparedKey
	aead   cipher.AEAD
}

var _ currantturn.Sealer = (*Sealer)(nil)

// New returns a sealer that reads its sender ID from random and takes time stamps
// from clock.
func New(r Ring, clock func() time.Time, random io.Reader) (*Sealer, error) {
	s := &Sealer{clock: clock, derivations: rate.NewLimiter(DerivationsPerSecond, DerivationBurst)}
	if _, err := io.ReadFull(random, s.ownID[:]); err != nil {
		return nil, eris.Wrap(err, "read random bytes for the sender ID")
	}
	start := clock()
	for i := range s.shards {
		s.shards[i] = newShard(start)
	}
	return s, s.Rotate(r)
}

// Rotate replaces the valid keys without a restart; an equal ring changes nothing,
// and a known ID with another secret is an error. The caller must not change r
// afterwards.
func (s *Sealer) Rotate(r Ring) error {
	if err := r.validate(); err != nil {
		return err
	}
	s.rotateMu.Lock()
	defer s.rotateMu.Unlock()
	previous := s.keys.Load()
	if previous != nil && previous.ring.equal(r) {
		return nil
	}
	next, err := s.prepareKeys(r, previous)
	if err != nil {
		return err
	}
	s.keys.Store(next)
	for _, sh := range s.shards {
		sh.removeInvalid(func(id uint8) bool { return next.byID[id] != nil })
	}
	s.counts.rotations.Add(1)
	return nil
}

// prepareKeys builds the key set of r, which replaces previous (nil at the start).
func (s *Sealer) prepareKeys(r Ring, previous *keySet) (*keySet, error) {
	next := &keySet{ring: r}
	for _, k := range r.Keys {
		if previous != nil && previous.byID[k.ID] != nil && previous.byID[k.ID].Secret != k.Secret {
			return nil, eris.Wrapf(currantturn.ErrMalformed, "key %d has another secret than before", k.ID)
		}
		prepared, err := prepareKey(k)
		if err != nil {
			return nil, eris.Wrap(err, "prepare key")
		}
		next.byID[k.ID] = prepared
	}
	next.active = next.byID[r.Active]
	aead, err := next.active.deriveAEAD(s.ownID)
	if err != nil {
		return nil, eris.Wrap(err, "derive the sender's key")
	}
	next.aead = aead
	return next, nil
}

// Seal appends the sealed datagram with payload p to dst.
func (s *Sealer) Seal(dst, p []byte) []byte {
	counter := s.counter.Add(1)
	if counter >= counterLimit {
		panic("seal: counter exhausted; the next nonce would repeat")
	}
	k := s.keys.Load()
	start := len(dst)
	dst = append(dst, format, k.active.ID)
	dst = append(dst, s.ownID[:]...)
	dst = appendUint48(dst, uint64(s.clock().UnixMilli()))
	dst = appendUint48(dst, counter)
	dst = binary.BigEndian.AppendUint32(dst, k.active.checkCode(dst[start:]))
	dst = append(dst, p...)
	s.counts.sealed.Add(1)
	return k.aead.Seal(dst, dst[start+nonceOffset:start+checkOffset], nil, dst[start:])
}

// appendUint48 appends the low 48 bits of v, big-endian.
func appendUint48(dst []byte, v uint64) []byte {
	dst = binary.BigEndian.AppendUint16(dst, uint16(v>>32))
	return binary.BigEndian.AppendUint32(dst, uint32(v))
}

// uint48 reads a 48-bit big-endian integer from the start of p.
func uint48(p []byte) uint64 {
	return uint64(binary.BigEndian.Uint16(p))<<32 | uint64(binary.BigEndian.Uint32(p[2:]))
}
