package record

import (
	"container/heap"
	"errors"
	"sync"
	"time"

	"github.com/currantturn/currantturn/internal/protocol/request"
)

// ErrFull reports that a store has no memory left for a new record.
var ErrFull = errors.New("record store is full")

// Store stores values by request key. It is safe for concurrent use.
type Store[V any] struct {
	shards [Shards]Shard[V]
}

// Shard is a part of a store. Its methods may be called only in the function
// passed to Store.Do.
type Shard[V any] struct {
	mu          sync.Mutex
	entries     map[request.Key]*entry[V]
	byIssueTime issueTimeHeap
	bytes       int // reserved for the entries
	maxBytes    int // limit of bytes
	retention   time.Duration
	refusedUpTo time.Time // latest time of issue of a refused key
	droppedUpTo time.Time // latest time of issue of a dropped record's key
}

// entry is a record's value with the bytes reserved for it.
type entry[V any] struct {
	value V
	bytes int
}

// New returns a store that is limited to the given bytes, divided evenly among
// the shards, and keeps records for retention after their keys were issued.
func New[V any](bytes int, retention time.Duration) *Store[V] {
	s := &Store[V]{}
	for i := range s.shards {
		s.shards[i] = Shard[V]{
			entries:   make(map[request.Key]*entry[V]),
			maxBytes:  bytes / Shards,
			retention: retention,
		}
	}
	return s
}

// Do locks the key's shard, drops its expired records and calls f. The last byte
// of the key, which is random, selects the shard.
func (s *Store[V]) Do(now time.Time, k request.Key, f func(*Shard[V])) {
	sh := &s.shards[k[15]%Shards]
	sh.mu.Lock()
	defer sh.mu.Unlock()
	sh.expire(now)
	f(sh)
}

// Size returns the number of records and the bytes reserved for them.
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

// Get returns the key's value, and false if there is none.
func (s *Shard[V]) Get(k request.Key) (V, bool) {
	if e := s.entries[k]; e != nil {
		return e.value, true
	}
	var zero V
	return zero, false
}

// Put adds a record for a new key and reserves bytes for it, or returns ErrFull.
func (s *Shard[V]) Put(k request.Key, v V, bytes int) error {
	if s.bytes+bytes > s.maxBytes {
		return ErrFull
	}
	s.entries[k] = &entry[V]{value: v, bytes: bytes}
	s.bytes += bytes
	heap.Push(&s.byIssueTime, k)
	return nil
}

// Shrink reduces the reservation of a key's record to bytes, if it is larger.
func (s *Shard[V]) Shrink(k request.Key, bytes int) {
	e := s.entries[k]
	if e == nil || e.bytes <= bytes {
		return
	}
	s.bytes -= e.bytes - bytes
	e.bytes = bytes
}

// TooOld reports whether a key without a record may have had one that was
// dropped.
func (s *Shard[V]) TooOld(now time.Time, k request.Key) bool {
	issued := k.IssuedAt()
	return !issued.After(s.droppedUpTo) || !issued.After(now.Add(-s.retention))
}

// RefuseUpTo permanently refuses each key without a record that was issued no
// later than k. Only k's time of issue is stored, so refused keys take no memory.
func (s *Shard[V]) RefuseUpTo(k request.Key) {
	if issued := k.IssuedAt(); issued.After(s.refusedUpTo) {
		s.refusedUpTo = issued
	}
}

// Refused reports whether a key without a record is refused permanently.
func (s *Shard[V]) Refused(k request.Key) bool {
	return !k.IssuedAt().After(s.refusedUpTo)
}

// expire drops records after their retention period and stores the latest time
// of issue among them, so that a dropped key does not seem new if the clock is set
// back.
func (s *Shard[V]) expire(now time.Time) {
	cutoff := now.Add(-s.retention)
	for len(s.byIssueTime) > 0 && !s.byIssueTime[0].IssuedAt().After(cutoff) {
		k := heap.Pop(&s.byIssueTime).(request.Key)
		s.bytes -= s.entries[k].bytes
		delete(s.entries, k)
		if issued := k.IssuedAt(); issued.After(s.droppedUpTo) {
			s.droppedUpTo = issued
		}
	}
}

// issueTimeHeap is a heap of keys by time of issue, which a key starts with.
type issueTimeHeap []request.Key

func (h issueTimeHeap) Len() int           { return len(h) }
func (h issueTimeHeap) Less(i, j int) bool { return string(h[i][:]) < string(h[j][:]) }
func (h issueTimeHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *issueTimeHeap) Push(x any)        { *h = append(*h, x.(request.Key)) }
func (h *issueTimeHeap) Pop() any {
	old := *h
	k := old[len(old)-1]
	*h = old[:len(old)-1]
	return k
}
