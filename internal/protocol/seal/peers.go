package seal

import (
	"crypto/cipher"
	"sync"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

// peerID identifies a sender under one of the fleet's keys.
type peerID struct {
	key    uint8
	sender senderID
}

// peer is the receiver's state for a sender that has proved to hold the key.
type peer struct {
	aead        cipher.AEAD
	stampFloor  int64 // the shard's stampFloor when the peer was added
	latestStamp int64 // highest accepted time stamp, in milliseconds
	window      window
}

// shard holds the peers of one part of the sender space. A datagram's time stamp
// must be above its peer's stampFloor, which is the shard's value when the peer was
// added. This rejects replays that no window covers: of datagrams from before the
// receiver's start, and of datagrams accepted from peers that were evicted by then.
type shard struct {
	mu         sync.Mutex
	peers      *simplelru.LRU[peerID, *peer]
	stampFloor int64 // milliseconds; rises to the latestStamp of each evicted peer
}

// newShard returns a shard that accepts no datagram stamped before start.
func newShard(start time.Time) *shard {
	s := &shard{stampFloor: start.UnixMilli() - 1}
	s.peers, _ = simplelru.NewLRU(MaxSenders/shardCount, func(_ peerID, p *peer) {
		s.stampFloor = max(s.stampFloor, p.latestStamp)
	})
	return s
}

// removeInvalid removes the peers of keys that are no longer valid.
func (s *shard) removeInvalid(isValid func(key uint8) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, id := range s.peers.Keys() {
		if !isValid(id.key) {
			s.peers.Remove(id)
		}
	}
}

func (s *shard) len() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.peers.Len()
}
