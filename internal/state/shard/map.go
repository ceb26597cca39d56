package shard

import (
	"hash/maphash"
	"sync"
)

// Shards is how many shards a map has.
const Shards = 64

// Map is a bounded map that is safe for concurrent use.
type Map[K comparable, V any] struct {
	seed   maphash.Seed
	limit  int // entries in one shard
	shards [Shards]shard[K, V]
}

type shard[K comparable, V any] struct {
	mu sync.Mutex
	m  map[K]*V
}

// New returns an empty map that keeps about limit entries.
func New[K comparable, V any](limit int) *Map[K, V] {
	m := &Map[K, V]{seed: maphash.MakeSeed(), limit: max(limit/Shards, 1)}
	for i := range m.shards {
		m.shards[i].m = make(map[K]*V)
	}
	return m
}

func (m *Map[K, V]) at(key K) *shard[K, V] {
	return &m.shards[maphash.Comparable(m.seed, key)%Shards]
}

// Update calls f under the shard's lock with the entry, or nil if there is
// none, and keeps what f returns; nil deletes the entry. It returns false if a
// full shard could not take a new entry.
func (m *Map[K, V]) Update(key K, f func(*V) *V) bool {
	s := m.at(key)
	s.mu.Lock()
	defer s.mu.Unlock()
	old := s.m[key]
	next := f(old)
	switch {
	case next == nil:
		delete(s.m, key)
	case old == nil && len(s.m) >= m.limit:
		return false
	case next != old:
		s.m[key] = next
	}
	return true
}

// Sweep calls keep for each entry of one shard and deletes those it refuses.
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

// Len returns how many entries there are.
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
