package platform

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/currantturn/currantturn"
	"github.com/currantturn/currantturn/internal/pause"
	"github.com/currantturn/currantturn/internal/state/configuration"
	"github.com/currantturn/currantturn/internal/transport/platform"
	"github.com/currantturn/currantturn/pkg/patch"
	"github.com/rotisserie/eris"
)

const (
	// maxResponseBytes bounds the records in a response, as the real platform does.
	maxResponseBytes = 1 << 20
	// maxWait bounds the time that a watch may wait for a record.
	maxWait = 5 * time.Minute
)

// Counts are the numbers of calls, failed ones included. A waiting watch counts as one
// call.
type Counts struct {
	Snapshots int `json:"snapshots"`
	Records   int `json:"records"`
	VMs       int `json:"vms"`
	Peak      int `json:"peak"` // most calls in one second
}

// Total returns the number of calls of all kinds.
func (c Counts) Total() int {
	return c.Snapshots + c.Records + c.VMs
}

// Service serves a published log, its snapshot and the list of VMs over HTTP.
type Service struct {
	mu            sync.Mutex
	log           []currantturn.Record
	config        *patch.Configuration
	snapshot      []byte
	vms           []currantturn.VM
	down          bool
	visibleCount  int // number of records served, -1 for all
	delay         time.Duration
	changed       chan struct{} // closed and replaced to wake waiting watches
	counts        Counts
	currentSecond int64
	callsInSecond int
	clock         func() time.Time
}

// New returns a service with an empty log.
func New(clock func() time.Time) *Service {
	return &Service{config: &patch.Configuration{}, visibleCount: -1, changed: make(chan struct{}), clock: clock}
}

// Publish appends a patch to the log and returns its verdict.
func (s *Service) Publish(author string, p []byte) (patch.Verdict, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := currantturn.Record{Position: s.config.Position + 1, Author: author, Time: s.clock().UTC(), Patch: p}
	c, v, err := s.config.Next(&r)
	if err != nil {
		return v, err
	}
	s.config = c
	s.log = append(s.log, r)
	s.wakeWatches()
	return v, nil
}

// Configuration returns the configuration after all published patches,
// visible or not.
func (s *Service) Configuration() *patch.Configuration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.config
}

// PublishSnapshot publishes a snapshot of the current configuration.
func (s *Service) PublishSnapshot() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	p, err := configuration.EncodeSnapshot(s.config)
	if err != nil {
		return eris.Wrap(err, "publish snapshot")
	}
	s.snapshot = p
	return nil
}

// SetVMs replaces the list of VMs.
func (s *Service) SetVMs(vms []currantturn.VM) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.vms = append([]currantturn.VM(nil), vms...)
}

// SetDown makes every call fail, waiting watches included, until it is called with
// false.
func (s *Service) SetDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
	s.wakeWatches()
}

// SetVisibleRecords limits the served log to its first count records, as a platform
// with outdated data does; -1 serves all.
func (s *Service) SetVisibleRecords(count int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.visibleCount = count
	s.wakeWatches()
}

// SetDelay sets the delay of each response.
func (s *Service) SetDelay(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.delay = d
}

// Rewrite replaces the published log and its snapshot, a fault that a platform must
// never have.
func (s *Service) Rewrite(records []currantturn.Record, snapshot []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.log = records
	s.snapshot = snapshot
	s.wakeWatches()
}

// Counts returns the calls received so far.
func (s *Service) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts
}

// wakeWatches makes waiting watches check the log again. The caller holds the mutex.
func (s *Service) wakeWatches() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// ServeHTTP serves one call.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	delay, down := s.countCall(r.URL.Path)
	if !pause.For(r.Context(), delay) {
		return
	}
	if down {
		http.Error(w, "down", http.StatusServiceUnavailable)
		return
	}
	switch r.URL.Path {
	case platform.SnapshotPath:
		s.serveSnapshot(w)
	case platform.RecordsPath:
		s.serveRecords(w, r)
	case platform.VMsPath:
		s.serveVMs(w)
	default:
		http.NotFound(w, r)
	}
}

// countCall counts a call by its path and returns the delay of its response and
// whether it must fail.
func (s *Service) countCall(path string) (time.Duration, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch path {
	case platform.SnapshotPath:
		s.counts.Snapshots++
	case platform.RecordsPath:
		s.counts.Records++
	case platform.VMsPath:
		s.counts.VMs++
	}
	if now := s.clock().Unix(); now != s.currentSecond {
		s.currentSecond = now
		s.callsInSecond = 0
	}
	s.callsInSecond++
	s.counts.Peak = max(s.counts.Peak, s.callsInSecond)
	return s.delay, s.down
}

func (s *Service) serveSnapshot(w http.ResponseWriter) {
	s.mu.Lock()
	p := s.snapshot
	s.mu.Unlock()
	if len(p) == 0 {
		w.WriteHeader(http.StatusNoContent)
		return
	}
	_, _ = w.Write(p)
}

func (s *Service) serveVMs(w http.ResponseWriter) {
	s.mu.Lock()
	vms := s.vms
	s.mu.Unlock()
	writeJSON(w, vms)
}

// serveRecords responds with the records after a position. Without any, it waits up to
// the requested time for the next record.
func (s *Service) serveRecords(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	wait, _ := time.ParseDuration(r.URL.Query().Get("wait"))
	ctx, cancel := context.WithTimeout(r.Context(), min(wait, maxWait))
	defer cancel()
	for {
		records, down, changed := s.recordsAfter(after)
		if down {
			http.Error(w, "down", http.StatusServiceUnavailable)
			return
		}
		if len(records) > 0 || ctx.Err() != nil {
			writeJSON(w, records)
			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
		}
	}
}

// recordsAfter returns the visible records after a position that fit one response, at
// least one if there is any; whether the service is down; and a channel that closes at
// the next change.
func (s *Service) recordsAfter(position uint64) ([]currantturn.Record, bool, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	visible := s.log
	if s.visibleCount >= 0 {
		visible = visible[:min(s.visibleCount, len(visible))]
	}
	if position >= uint64(len(visible)) {
		return []currantturn.Record{}, s.down, s.changed
	}
	visible = visible[position:]
	n, size := 0, 0
	for n < len(visible) {
		size += 2*len(visible[n].Patch) + 256 // base64 and the other fields
		if n > 0 && size > maxResponseBytes {
			break
		}
		n++
	}
	return visible[:n], s.down, s.changed
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
