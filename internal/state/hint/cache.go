package hint

import (
	"sync"

	"github.com/currantturn/currantturn"
	"github.com/currantturn/currantturn/internal/protocol/message"
	"github.com/hashicorp/golang-lru/v2/simplelru"
)

const (
	// Shards is the number of shards of a cache, each with its own lock.
	Shards = 64
	// DefaultEntries is the default size of a balancer's cache; an entry takes
	// about 100 bytes.
	DefaultEntries = 1 << 17
)

// Hint is the message that informs a balancer which agent holds a flow.
type Hint struct {
	_      struct{}              `cbor:",toarray"`
	Hash   uint64                // keyed hash of the flow
	Holder currantturn.BackendID // empty to remove the hint
}

// Kind returns the message kind.
func (Hint) Kind() currantturn.Kind { return "flow_hint" }

func init() {
	message.Register[Hint]()
}

// shard is a part of a cache, with its own lock.
type shard struct {
	mu  sync.Mutex
	lru *simplelru.LRU[uint64, currantturn.BackendID]
}

// Cache maps flow hashes to holders and evicts the least recently used ones. It
// is safe for concurrent use.
type Cache struct {
	shards [Shards]shard
}

// New returns an empty cache for the given number of entries, divided evenly
// among the shards; each shard takes at least one.
func New(entries int) *Cache {
	c := &Cache{}
	for i := range c.shards {
		// NewLRU fails only for a size below one.
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

// Apply stores a hint, or removes it if its holder is empty.
func (c *Cache) Apply(h Hint) {
	s := &c.shards[h.Hash%Shards]
	s.mu.Lock()
	defer s.mu.Unlock()
	if h.Holder == "" {
		s.lru.Remove(h.Hash)
		return
	}
	s.lru.Add(h.Hash, h.Holder)
}

// Len returns the number of hints in the cache.
func (c *Cache) Len() int {
	n := 0
	for i := range c.shards {
		c.shards[i].mu.Lock()
		n += c.shards[i].lru.Len()
		c.shards[i].mu.Unlock()
	}
	return n
}
