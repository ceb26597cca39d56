package hint

import (
	"sync"

	"github.com/currantturn/currantturn"
	"github.com/currantturn/currantturn/internal/protocol/message"
	"github.com/hashicorp/golang-lru/v2/simplelru"
)

const (
	// Shards is how many locks a cache has.
	Shards = 64
	// DefaultEntries bounds a balancer's hints, about 100 bytes each.
	DefaultEntries = 1 << 17
)

// Hint tells a balancer which agent holds the flow with the given hash.
type Hint struct {
	_      struct{}              `cbor:",toarray"`
	Hash   uint64                // keyed hash of the flow
	Holder currantturn.BackendID // empty withdraws the hint
}

// Kind names the message.
func (Hint) Kind() currantturn.Kind { return "flow_hint" }

func init() {
	message.Register[Hint]()
}

type shard struct {
	mu  sync.Mutex
	lru *simplelru.LRU[uint64, currantturn.BackendID]
}

// Cache is a bounded map from flow hashes to holders.
type Cache struct {
	shards [Shards]shard
}

// New returns an empty cache of at most the given entries.
func New(entries int) *Cache {
	c := &Cache{}
	for i := range c.shards {
		// The only error is a size below one.
		c.shards[i].lru, _ = simplelru.NewLRU[uint64, currantturn.BackendID](max(entries/Shards, 1), nil)
	}
	return c
}

// Get returns the hinted holder of a flow, or the empty ID.
func (c *Cache) Get(hash uint64) currantturn.BackendID {
	s := &c.shards[hash%Shards]
	s.mu.Lock()
	defer s.mu.Unlock()
	id, _ := s.lru.Get(hash)
	return id
}

// Put takes a hint.
func (c *Cache) Put(h Hint) {
	s := &c.shards[h.Hash%Shards]
	s.mu.Lock()
	defer s.mu.Unlock()
	if h.Holder == "" {
		s.lru.Remove(h.Hash)
		return
	}
	s.lru.Add(h.Hash, h.Holder)
}

// Len is how many hints there are.
func (c *Cache) Len() int {
	n := 0
	for i := range c.shards {
		c.shards[i].mu.Lock()
		n += c.shards[i].lru.Len()
		c.shards[i].mu.Unlock()
	}
	return n
}
