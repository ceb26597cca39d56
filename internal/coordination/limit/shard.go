package limit

import (
	"net/netip"
	"sync"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

// shard stores the usage of a part of the callers: all that have open flows or
// requests in progress, whose number the host's limits bound, and the most
// recently used of the others.
type shard struct {
	mu      sync.Mutex
	holding map[netip.Addr]*callerUsage              // with flows or requests
	idle    *simplelru.LRU[netip.Addr, *callerUsage] // without any
}

func newShard() *shard {
	idle, _ := simplelru.NewLRU[netip.Addr, *callerUsage](MaxIdleCallers/shardCount, nil)
	return &shard{holding: make(map[netip.Addr]*callerUsage), idle: idle}
}

// get returns the stored usage of a caller, or a new one.
func (s *shard) get(caller netip.Addr, limits *Limits) *callerUsage {
	if usage := s.holding[caller]; usage != nil {
		return usage
	}
	if usage, ok := s.idle.Get(caller); ok {
		return usage
	}
	return newCallerUsage(limits)
}

// put stores the usage of a caller as holding or idle.
func (s *shard) put(caller netip.Addr, usage *callerUsage) {
	if usage.flows+usage.requests > 0 {
		if s.holding[caller] == nil {
			s.holding[caller] = usage
			s.idle.Remove(caller)
		}
		return
	}
	delete(s.holding, caller)
	s.idle.Add(caller, usage)
}
