package seal

import (
	"encoding/binary"
	"time"

	"github.com/currantturn/currantturn"
)

// Open returns the content of an authentic datagram that is fresh and was not
// opened before; its errors are bare, so that a flood costs no stack traces.
func (s *Sealer) Open(now time.Time, p []byte) ([]byte, error) {
	if len(p) < OverheadBytes || p[0] != format {
		s.counts.malformed.Add(1)
		return nil, currantturn.ErrMalformed
	}
	k := s.keys.Load().byID[p[keyAt]]
	if k == nil {
		s.counts.unknownKey.Add(1)
		return nil, currantturn.ErrUnauthenticated
	}
	if k.check(p[:checkAt]) != binary.BigEndian.Uint32(p[checkAt:]) {
		s.counts.forged.Add(1)
		return nil, currantturn.ErrUnauthenticated
	}
	stamp := int64(uint48(p[nonceAt:]))
	if age := now.UnixMilli() - stamp; age > FreshFor.Milliseconds() || age < -FreshFor.Milliseconds() {
		s.counts.stale.Add(1)
		return nil, currantturn.ErrReplayed
	}
	if err := s.admit(now, k, stamp, p); err != nil {
		return nil, err
	}
	s.counts.opened.Add(1)
	return p[headBytes : len(p)-tagBytes], nil
}

// admit verifies the tag and marks the counter under the shard's lock, so that
// an eviction cannot come between them.
func (s *Sealer) admit(now time.Time, k *key, stamp int64, p []byte) error {
	id := peerID{key: k.ID, sender: sender(p[senderAt:nonceAt])}
	sh := s.shards[id.sender[0]%shards]
	sh.mu.Lock()
	defer sh.mu.Unlock()
	from, known := sh.peers.Peek(id)
	n := uint48(p[counterAt:])
	floor := sh.floor
	if known {
		floor = from.floor
	}
	if stamp <= floor {
		s.counts.beforeStart.Add(1)
		return currantturn.ErrReplayed
	}
	if known && from.window.seen(n) {
		s.counts.replayed.Add(1)
		return currantturn.ErrReplayed
	}
	if !known {
		var err error
		if from, err = s.meet(now, k, id.sender, floor); err != nil {
			return err
		}
	}
	body := p[:len(p)-tagBytes]
	if _, err := from.aead.Open(nil, p[nonceAt:checkAt], p[len(p)-tagBytes:], body); err != nil {
		s.counts.forged.Add(1)
		return currantturn.ErrUnauthenticated
	}
	from.window.accept(n)
	from.latest = max(from.latest, stamp)
	if known {
		sh.peers.Get(id) // moves it to the front
	} else {
		sh.peers.Add(id, from)
	}
	return nil
}

// meet prepares a sender that has no peer yet; it is kept only once its
// datagram proves authentic.
func (s *Sealer) meet(now time.Time, k *key, from sender, floor int64) (*peer, error) {
	if !s.derive.AllowN(now, 1) {
		s.counts.throttled.Add(1)
		return nil, currantturn.ErrUnauthenticated
	}
	aead, err := k.derive(from)
	if err != nil {
		return nil, currantturn.ErrUnauthenticated
	}
	return &peer{aead: aead, floor: floor}, nil
}
