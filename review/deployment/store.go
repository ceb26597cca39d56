package deployment

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is an item of the store, or the event of its change or removal.
type item struct {
	Key             string `json:"key"`
	Value           []byte `json:"value,omitempty"`
	Revision        uint64 `json:"revision"`
	CreatedRevision uint64 `json:"created_revision,omitempty"`
	LeaseID         uint64 `json:"lease_id"`
	Deleted         bool   `json:"deleted,omitempty"`

	at time.Time
}

// Store is a stand-in for the platform's store, which keeps its history for
// historyRetention.
type Store struct {
	mu       sync.Mutex
	revision uint64
	items    map[string]item
	history  []item
	dropped  uint64 // highest revision that is no longer in the history
	changed  chan struct{}
}

func newStore() *Store {
	return &Store{revision: 1, dropped: 1, items: make(map[string]item), changed: make(chan struct{})}
}

// Write writes a value as JSON. Its return is the store's acknowledgement.
func (s *Store) Write(key string, value any) time.Time {
	b, err := json.Marshal(value)
	if err != nil {
		panic(err) // cannot happen: the values are plain structs
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	i := item{Key: key, Value: b, Revision: s.revision + 1, CreatedRevision: s.revision + 1}
	if old, found := s.items[key]; found {
		i.CreatedRevision = old.CreatedRevision
	}
	s.items[key] = i
	return s.append(i)
}

// Remove removes an item, if there is one.
func (s *Store) Remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, found := s.items[key]; !found {
		return
	}
	delete(s.items, key)
	s.append(item{Key: key, Revision: s.revision + 1, Deleted: true})
}

// append adds an event to the history and wakes the watches; s.mu is held.
func (s *Store) append(i item) time.Time {
	i.at = time.Now()
	s.revision = i.Revision
	s.history = append(s.history, i)
	close(s.changed)
	s.changed = make(chan struct{})
	return i.at
}

// dropHistory drops the events that are older than historyRetention; s.mu is held.
func (s *Store) dropHistory() {
	for len(s.history) > 0 && time.Since(s.history[0].at) > historyRetention {
		s.dropped, s.history = s.history[0].Revision, s.history[1:]
	}
}

// ServeHTTP serves the reading calls of the store.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Store-Era", "1")
	q := r.URL.Query()
	var body any
	switch r.URL.Path {
	case "/v1/kv-range":
		body = s.list(q.Get("prefix"))
	case "/v1/kv-watch":
		after, err := strconv.ParseUint(q.Get("after"), 10, 64)
		wait, waitErr := strconv.Atoi(q.Get("wait_timeout_ms"))
		if err != nil || waitErr != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		events, at, ok := s.watch(r, q.Get("prefix"), after, time.Duration(wait)*time.Millisecond)
		if !ok {
			w.WriteHeader(http.StatusGone)
			return
		}
		body = map[string]any{"events": events, "at": at}
	default:
		w.WriteHeader(http.StatusNotFound)
		return
	}
	time.Sleep(storeDelay)
	_ = json.NewEncoder(w).Encode(body) // the client may have disconnected
}

// list returns all items with a prefix; the cases have fewer than a page of them.
func (s *Store) list(prefix string) map[string]any {
	s.mu.Lock()
	defer s.mu.Unlock()
	items := []item{}
	for key, i := range s.items {
		if strings.HasPrefix(key, prefix) {
			items = append(items, i)
		}
	}
	slices.SortFunc(items, func(a, b item) int { return strings.Compare(a.Key, b.Key) })
	return map[string]any{"items": items, "has_more": false, "at": s.revision}
}

// watch returns the events after a revision, and waits for one if there is none. It returns
// false if the history does not reach back so far.
func (s *Store) watch(r *http.Request, prefix string, after uint64, wait time.Duration) (events []item, at uint64, ok bool) {
	timeout := time.After(wait)
	for {
		s.mu.Lock()
		s.dropHistory()
		changed, at := s.changed, s.revision
		gone := after < s.dropped || after > s.revision
		events = []item{}
		for _, i := range s.history {
			if i.Revision > after && strings.HasPrefix(i.Key, prefix) {
				events = append(events, i)
			}
		}
		s.mu.Unlock()
		if gone || len(events) > 0 {
			return events, at, !gone
		}
		select {
		case <-changed:
		case <-timeout:
			return events, at, true
		case <-r.Context().Done():
			return events, at, true
		}
	}
}
