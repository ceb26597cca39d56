package record

import (
	"container/heap"
	"errors"
	"sync"
	"time"

	"github.com/currantturn/currantturn/internal/protocol/request"
)

// ErrFull reports a store that has no room for a new record.
var ErrFull = errors.New("record store is full")

// Store keeps values by request key.
type Store[V any] struct {
	shards [Shards]Shard[V]
}

// Shard is a part of a store; it is used only inside Store.Do.
type Shard[V any] struct {
	mu        sync.Mutex
	entries   map[request.Key]*entry[V]
	byIssue   issueHeap
	bytes     int
	limit     int
	retention time.Duration
	refused   time.Time
	dropped   time.Time
}

type entry[V any] struct {
	value V
	bytes int
}

// New returns a store bounded by bytes whose records live for the retention.
func New[V any](bytes int, retention time.Duration) *Store[V] {
	s := &Store[V]{}
	for i := range s.shards {
		s.shards[i] = Shard[V]{
			entries:   make(map[request.Key]*entry[V]),
			limit:     bytes / Shards,
			retention: retention,
		}
	}
	return s
}

// Do runs f with the key's shard locked, after dropping what is past retention.
func (s *Store[V]) Do(now time.Time, k request.Key, f func(*Shard[V])) {
	sh := &s.shards[k[15]%Shards]
	sh.mu.Lock()
	defer sh.mu.Unlock()
	sh.expire(now)
	f(sh)
}

// Size returns the number of records and the bytes that they reserve.
func (s *Store[V]) Size() (records, bytes int) {
	for i := range s.shards {
		sh := &s.shards[i]
		sh.mu.Lock()
		records += len(sh.entries)
		bytes += sh.bytes
		sh.mu.Unlock()
	}
	return records, bytes
}

// Get returns the key's value, or false.
func (s *Shard[V]) Get(k request.Key) (V, bool) {
	if e := s.entries[k]; e != nil {
		return e.value, true
	}
	var zero V
	return zero, false
}

// Put records a new key and reserves bytes for it, or reports ErrFull.
func (s *Shard[V]) Put(k request.Key, v V, bytes int) error {
	if s.bytes+bytes > s.limit {
		return ErrFull
	}
	s.entries[k] = &entry[V]{value: v, bytes: bytes}
	s.bytes += bytes
	heap.Push(&s.byIssue, k)
	return nil
}

// Shrink gives back what a record reserved above bytes.
func (s *Shard[V]) Shrink(k request.Key, bytes int) {
	e := s.entries[k]
	if e == nil || e.bytes <= bytes {
		return
	}
	s.bytes -= e.bytes - bytes
	e.bytes = bytes
}

// TooOld says whether a key without a record may have had one that is dropped.
func (s *Shard[V]) TooOld(now time.Time, k request.Key) bool {
	issued := k.Issued()
	return !issued.After(s.dropped) || !issued.After(now.Add(-s.retention))
}

// Refuse makes every key without a record that was issued no later refused
// for good, at no cost in memory.
func (s *Shard[V]) Refuse(k request.Key) {
	if issued := k.Issued(); issued.After(s.refused) {
		s.refused = issued
	}
}

// Refused says whether a key without a record is refused for good.
func (s *Shard[V]) Refused(k request.Key) bool {
	return !k.Issued().After(s.refused)
}

// expire drops records past retention and remembers up to which time of issue,
// so that a clock that steps back does not make a dropped key look new.
func (s *Shard[V]) expire(now time.Time) {
	limit := now.Add(-s.retention)
	for len(s.byIssue) > 0 && !s.byIssue[0].Issued().After(limit) {
		k := heap.Pop(&s.byIssue).(request.Key)
		s.bytes -= s.entries[k].bytes
		delete(s.entries, k)
		if issued := k.Issued(); issued.After(s.dropped) {
			s.dropped = issued
		}
	}
}

// issueHeap orders keys by their time of issue, which leads their bytes.
type issueHeap []request.Key

func (h issueHeap) Len() int           { return len(h) }
func (h issueHeap) Less(i, j int) bool { return string(h[i][:]) < string(h[j][:]) }
func (h issueHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *issueHeap) Push(x any)        { *h = append(*h, x.(request.Key)) }
func (h *issueHeap) Pop() any {
	old := *h
	k := old[len(old)-1]
	*h = old[:len(old)-1]
	return k
}
