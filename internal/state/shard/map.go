package shard

import (
	"hash/maphash"
	"sync"
)

// Shards is the number of shards of a map.
const Shards = 64

// Map is a map with a limited number of entries. It is safe for concurrent use.
type Map[K comparable, V any] struct {
	seed        maphash.Seed
	maxPerShard int // highest number of entries in one shard
	shards      [Shards]shard[K, V]
}

// shard is a part of a map, with its own lock.
type shard[K comparable, V any] struct {
	mu sync.Mutex
	m  map[K]*V
}

// New returns an empty map for about limit entries: the limit is divided evenly
// among the shards, and a shard can be full before the others.
func New[K comparable, V any](limit int) *Map[K, V] {
	m := &Map[K, V]{seed: maphash.MakeSeed(), maxPerShard: max(limit/Shards, 1)}
	for i := range m.shards {
		m.shards[i].m = make(map[K]*V)
	}
	return m
}

func (m *Map[K, V]) shardOf(key K) *shard[K, V] {
	return &m.shards[maphash.Comparable(m.seed, key)%Shards]
}

// Update calls f with the key's entry, or nil if there is none, while the shard is
// locked, and stores the entry that f returns; nil deletes the entry. It returns
// false if the entry is new and the shard is full.
func (m *Map[K, V]) Update(key K, f func(*V) *V) bool {
	return m.UpdateWithRoom(key, func(v *V, _ bool) *V { return f(v) })
}

// UpdateWithRoom is Update with a function that is also told whether the entry that it
// returns can be stored.
func (m *Map[K, V]) UpdateWithRoom(key K, f func(v *V, room bool) *V) bool {
	s := m.shardOf(key)
	s.mu.Lock()
	defer s.mu.Unlock()
	old := s.m[key]
	room := old != nil || len(s.m) < m.maxPerShard
	next := f(old, room)
	switch {
	case next == nil:
		delete(s.m, key)
	case !room:
		return false
	case next != old:
		s.m[key] = next
	}
	return true
}

// Sweep calls keep for each entry of one shard and deletes those for which it
// returns false. The shard is selected by number modulo Shards.
func (m *Map[K, V]) Sweep(number int, keep func(K, *V) bool) {
	s := &m.shards[number%Shards]
	s.mu.Lock()
	defer s.mu.Unlock()
	for key, v := range s.m {
		if !keep(key, v) {
			delete(s.m, key)
		}
	}
}

// Len returns the number of entries.
func (m *Map[K, V]) Len() int {
	n := 0
	for i := range m.shards {
		s := &m.shards[i]
		s.mu.Lock()
		n += len(s.m)
		s.mu.Unlock()
	}
	return n
}
