package schedule

import "time"

// List contains keys with the times at which they are due. Keys must be added in
// the order of these times. It is not safe for concurrent use.
type List[K any] struct {
	entries []entry[K]
}

type entry[K any] struct {
	key K
	due time.Time
}

// Add appends a key. It must not be due earlier than the keys in the list.
func (l *List[K]) Add(key K, due time.Time) {
	l.entries = append(l.entries, entry[K]{key: key, due: due})
}

// TakeDue removes and returns the keys that are due.
func (l *List[K]) TakeDue(now time.Time) (due []K) {
	n := 0
	for n < len(l.entries) && !now.Before(l.entries[n].due) {
		due = append(due, l.entries[n].key)
		n++
	}
	l.entries = append(l.entries[:0], l.entries[n:]...)
	return due
}

// Len returns the number of keys in the list.
func (l *List[K]) Len() int {
	return len(l.entries)
}
