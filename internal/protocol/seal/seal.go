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

// Sealer implements currantturn.Sealer with GMAC under a key per sender.
type Sealer struct {
	self    sender
	clock   func() time.Time
	counter atomic.Uint64
	keys    atomic.Pointer[keys]
	rotate  sync.Mutex
	shards  [shards]*shard
	derive  *rate.Limiter
	counts  counts
}

// keys are the valid keys and this process's authenticator under the active one.
type keys struct {
	ring   Ring
	byID   [256]*key
	active *key
	aead   cipher.AEAD
}

var _ currantturn.Sealer = (*Sealer)(nil)

// New returns a sealer that draws its sender from random and stamps by clock.
func New(r Ring, clock func() time.Time, random io.Reader) (*Sealer, error) {
	s := &Sealer{clock: clock, derive: rate.NewLimiter(DerivationsPerSecond, DerivationBurst)}
	if _, err := io.ReadFull(random, s.self[:]); err != nil {
		return nil, eris.Wrap(err, "draw the sender")
	}
	start := clock()
	for i := range s.shards {
		s.shards[i] = newShard(start)
	}
	return s, s.Rotate(r)
}

// Rotate replaces the valid keys without a restart, if they differ; it refuses
// an ID that has changed its secret. The caller must not change r afterwards.
func (s *Sealer) Rotate(r Ring) error {
	if err := r.check(); err != nil {
		return err
	}
	s.rotate.Lock()
	defer s.rotate.Unlock()
	last := s.keys.Load()
	if last != nil && last.ring.equal(r) {
		return nil
	}
	next, err := s.prepare(r, last)
	if err != nil {
		return err
	}
	s.keys.Store(next)
	for _, sh := range s.shards {
		sh.forget(func(id uint8) bool { return next.byID[id] != nil })
	}
	s.counts.rotations.Add(1)
	return nil
}

func (s *Sealer) prepare(r Ring, last *keys) (*keys, error) {
	next := &keys{ring: r}
	for _, k := range r.Keys {
		if last != nil && last.byID[k.ID] != nil && last.byID[k.ID].Secret != k.Secret {
			return nil, eris.Wrapf(currantturn.ErrMalformed, "key %d has changed its secret", k.ID)
		}
		prepared, err := newKey(k)
		if err != nil {
			return nil, eris.Wrap(err, "prepare key")
		}
		next.byID[k.ID] = prepared
	}
	next.active = next.byID[r.Active]
	aead, err := next.active.derive(s.self)
	if err != nil {
		return nil, eris.Wrap(err, "derive the sender's key")
	}
	next.aead = aead
	return next, nil
}

// Seal appends the authenticated form of p to dst.
func (s *Sealer) Seal(dst, p []byte) []byte {
	n := s.counter.Add(1)
	if n >= counterLimit {
		panic("seal: a nonce would be used twice")
	}
	k := s.keys.Load()
	at := len(dst)
	dst = append(dst, format, k.active.ID)
	dst = append(dst, s.self[:]...)
	dst = appendUint48(dst, uint64(s.clock().UnixMilli()))
	dst = appendUint48(dst, n)
	dst = binary.BigEndian.AppendUint32(dst, k.active.check(dst[at:]))
	dst = append(dst, p...)
	s.counts.sealed.Add(1)
	return k.aead.Seal(dst, dst[at+nonceAt:at+checkAt], nil, dst[at:])
}

func appendUint48(dst []byte, v uint64) []byte {
	dst = binary.BigEndian.AppendUint16(dst, uint16(v>>32))
	return binary.BigEndian.AppendUint32(dst, uint32(v))
}

func uint48(p []byte) uint64 {
	return uint64(binary.BigEndian.Uint16(p))<<32 | uint64(binary.BigEndian.Uint32(p[2:]))
}
