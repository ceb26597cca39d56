package seal

import (
	"crypto/cipher"
	"sync"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

type peerID struct {
	key    uint8
	sender senderID
}

// peer is what a receiver keeps of a sender that has proved to hold the key.
type peer struct {
	aead        cipher.AEAD
	stampFloor  int64 // the shard's when the peer was met
	latestStamp int64 // highest stamp accepted, in milliseconds
	window      window
}

// shard holds the peers of one part of the sender space. Datagrams of a peer
// must be stamped after the floor at its meeting, which covers all that was
// forgotten by then: what came before the start and what evicted peers accepted.
type shard struct {
	mu         sync.Mutex
	peers      *simplelru.LRU[peerID, *peer]
	stampFloor int64
}

func newShard(start time.Time) *shard {
	s := &shard{stampFloor: start.UnixMilli() - 1}
	s.peers, _ = simplelru.NewLRU(MaxSenders/shardCount, func(_ peerID, p *peer) {
		s.stampFloor = max(s.stampFloor, p.latestStamp)
	})
	return s
}

// removeInvalid drops the peers of keys that are no longer valid.
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
