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
	// maxValueBytes bounds an answer, as the platform does.
	maxValueBytes = 1 << 20
	// maxWait bounds a watch.
	maxWait = 5 * time.Minute
)

// Counts are the calls that the service answered or refused; a waiting watch
// counts as one.
type Counts struct {
	Snapshots int `json:"snapshots"`
	Records   int `json:"records"`
	VMs       int `json:"vms"`
	Peak      int `json:"peak"` // in a second
}

// Total returns the number of all calls.
func (c Counts) Total() int {
	return c.Snapshots + c.Records + c.VMs
}

// Service is a published log, its snapshot and the list of VMs over HTTP.
type Service struct {
	mu       sync.Mutex
	records  []currantturn.Record
	config   *patch.Configuration
	snapshot []byte
	vms      []currantturn.VM
	down     bool
	until    int // records shown, -1 for all
	delay    time.Duration
	changed  chan struct{} // closed and replaced when waiting watches look again
	counts   Counts
	second   int64
	inSecond int
	clock    func() time.Time
}

// New returns an empty service.
func New(clock func() time.Time) *Service {
	return &Service{config: &patch.Configuration{}, until: -1, changed: make(chan struct{}), clock: clock}
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
	s.records = append(s.records, r)
	s.wake()
	return v, nil
}

// Configuration returns the state of the whole published log.
func (s *Service) Configuration() *patch.Configuration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.config
}

// PublishSnapshot publishes a snapshot of the present log.
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

// SetDown makes every call fail, also the waiting ones, or ends that.
func (s *Service) SetDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
	s.wake()
}

// ShowUntil shows only the records up to a position, as stale data does; -1
// shows all.
func (s *Service) ShowUntil(position int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.until = position
	s.wake()
}

// SetDelay delays each answer.
func (s *Service) SetDelay(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.delay = d
}

// Rewrite replaces the published log, which must never happen, and its
// snapshot.
func (s *Service) Rewrite(records []currantturn.Record, snapshot []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.records = records
	s.snapshot = snapshot
	s.wake()
}

// Counts returns how many calls came.
func (s *Service) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts
}

func (s *Service) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// ServeHTTP answers one call.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	delay, down := s.count(r.URL.Path)
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

func (s *Service) count(path string) (time.Duration, bool) {
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
	if now := s.clock().Unix(); now != s.second {
		s.second = now
		s.inSecond = 0
	}
	s.inSecond++
	s.counts.Peak = max(s.counts.Peak, s.inSecond)
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
		records, down, changed := s.after(after)
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

// after returns the shown records that fit one value.
func (s *Service) after(position uint64) ([]currantturn.Record, bool, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	shown := s.records
	if s.until >= 0 {
		shown = shown[:min(s.until, len(shown))]
	}
	if position >= uint64(len(shown)) {
		return []currantturn.Record{}, s.down, s.changed
	}
	shown = shown[position:]
	n, size := 0, 0
	for n < len(shown) {
		size += 2*len(shown[n].Patch) + 256 // base64 and the other fields
		if n > 0 && size > maxValueBytes {
			break
		}
		n++
	}
	return shown[:n], s.down, s.changed
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
