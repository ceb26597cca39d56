package limit

import (
	"net/netip"
	"sync"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

// shard keeps the callers that hold something for as long as they do, which
// the host's own bounds limit, and of the others those seen last.
type shard struct {
	mu      sync.Mutex
	holding map[netip.Addr]*holder
	idle    *simplelru.LRU[netip.Addr, *holder]
}

func newShard() *shard {
	idle, _ := simplelru.NewLRU[netip.Addr, *holder](MaxIdleCallers/shards, nil)
	return &shard{holding: make(map[netip.Addr]*holder), idle: idle}
}

func (s *shard) take(caller netip.Addr, l *Limits) *holder {
	if c := s.holding[caller]; c != nil {
		return c
	}
	if c, ok := s.idle.Get(caller); ok {
		return c
	}
	return newHolder(l)
}

func (s *shard) put(caller netip.Addr, c *holder) {
	if c.flows+c.requests > 0 {
		if s.holding[caller] == nil {
			s.holding[caller] = c
			s.idle.Remove(caller)
		}
		return
	}
	delete(s.holding, caller)
	s.idle.Add(caller, c)
}
