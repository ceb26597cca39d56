package seal

import (
	"encoding/binary"
	"time"

	"github.com/currantturn/currantturn"
)

// Open returns the payload of an authentic datagram that is fresh and was not
// opened before. It returns plain sentinel errors without stack traces, to stay
// cheap under a flood of invalid datagrams.
func (s *Sealer) Open(now time.Time, p []byte) ([]byte, error) {
	if len(p) < OverheadBytes || p[0] != format {
		s.counts.malformed.Add(1)
		return nil, currantturn.ErrMalformed
	}
	k := s.keys.Load().byID[p[keyOffset]]
	if k == nil {
		s.counts.unknownKey.Add(1)
		return nil, currantturn.ErrUnauthenticated
	}
	if k.checkCode(p[:checkOffset]) != binary.BigEndian.Uint32(p[checkOffset:]) {
		s.counts.forged.Add(1)
		return nil, currantturn.ErrUnauthenticated
	}
	stamp := int64(uint48(p[nonceOffset:]))
	if age := now.UnixMilli() - stamp; age > FreshFor.Milliseconds() || age < -FreshFor.Milliseconds() {
		s.counts.stale.Add(1)
		return nil, currantturn.ErrReplayed
	}
	if err := s.authenticate(now, k, stamp, p); err != nil {
		return nil, err
	}
	s.counts.opened.Add(1)
	return p[headerBytes : len(p)-tagBytes], nil
}

// authenticate rejects replays, verifies the tag and marks the counter as used. It
// holds the shard's lock throughout, so that the peer cannot be evicted in between.
func (s *Sealer) authenticate(now time.Time, k *preparedKey, stamp int64, p []byte) error {
	id := peerID{key: k.ID, sender: senderID(p[senderOffset:nonceOffset])}
	sh := s.shards[id.sender[0]%shardCount]
	sh.mu.Lock()
	defer sh.mu.Unlock()
	sender, known := sh.peers.Peek(id)
	counter := uint48(p[counterOffset:])
	floor := sh.stampFloor
	if known {
		floor = sender.stampFloor
	}
	if stamp <= floor {
		s.counts.beforeStart.Add(1)
		return currantturn.ErrReplayed
	}
	if known && sender.window.rejects(counter) {
		s.counts.replayed.Add(1)
		return currantturn.ErrReplayed
	}
	if !known {
		var err error
		if sender, err = s.newPeer(now, k, id.sender, floor); err != nil {
			return err
		}
	}
	authenticated := p[:len(p)-tagBytes]
	if _, err := sender.aead.Open(nil, p[nonceOffset:checkOffset], p[len(p)-tagBytes:], authenticated); err != nil {
		s.counts.forged.Add(1)
		return currantturn.ErrUnauthenticated
	}
	sender.window.accept(counter)
	sender.latestStamp = max(sender.latestStamp, stamp)
	if known {
		sh.peers.Get(id) // marks it as most recently used
	} else {
		sh.peers.Add(id, sender)
	}
	return nil
}

// newPeer returns a peer for a sender that is not in the table; the caller adds it
// only if the datagram proves authentic.
func (s *Sealer) newPeer(now time.Time, k *preparedKey, id senderID, floor int64) (*peer, error) {
	if !s.derivations.AllowN(now, 1) {
		s.counts.throttled.Add(1)
		return nil, currantturn.ErrUnauthenticated
	}
	aead, err := k.deriveAEAD(id)
	if err != nil {
		return nil, currantturn.ErrUnauthenticated
	}
	return &peer{aead: aead, stampFloor: floor}, nil
}
