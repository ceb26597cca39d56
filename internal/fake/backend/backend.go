package backend

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
)

// Options configure the behaviour of a backend server.
type Options struct {
	Name        string
	Slots       int
	ServiceTime time.Duration // time that one request occupies a slot
	ColdStart   time.Duration // time after the start in which ServiceTime is multiplied by ColdFactor
	ColdFactor  int           // multiplies ServiceTime during ColdStart
	LoadLag     time.Duration // age of the load that the load endpoint reports
	LoadOffset  int           // added to the reported load
}

// Load is the response of the load endpoint.
type Load struct {
	Running int `json:"running"`
	Slots   int `json:"slots"`
}

// Backend is a running fake backend server.
type Backend struct {
	opts        Options
	server      *http.Server
	address     netip.AddrPort
	started     time.Time
	slots       chan struct{}
	running     atomic.Int64
	draining    atomic.Bool
	mu          sync.Mutex
	runsByKey   map[string]int // how often a request was started, by its key
	loadSamples []loadSample
	openWatches atomic.Int64
	served      atomic.Int64
}

// loadSample is the number of running requests at a time.
type loadSample struct {
	at      time.Time
	running int
}

// Start starts a backend server on a loopback port.
func Start(opts Options) (*Backend, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, eris.Wrap(err, "bind backend server")
	}
	b := &Backend{
		opts:      opts,
		address:   ln.Addr().(*net.TCPAddr).AddrPort(),
		started:   time.Now(),
		slots:     make(chan struct{}, opts.Slots),
		runsByKey: make(map[string]int),
	}
	mux := http.NewServeMux()
	mux.HandleFunc("/health", b.serveHealth)
	mux.HandleFunc("/load", b.serveLoad)
	mux.HandleFunc("/watch", b.serveWatch)
	mux.HandleFunc("/blob", b.serveBlob)
	mux.HandleFunc("/", b.serveWork)
	b.server = &http.Server{Handler: mux, ReadHeaderTimeout: time.Minute}
	go func() { _ = b.server.Serve(ln) }()
	return b, nil
}

// Addr returns the backend server's HTTP address.
func (b *Backend) Addr() netip.AddrPort {
	return b.address
}

// Drain makes the health endpoint report that the server is draining.
func (b *Backend) Drain() {
	b.draining.Store(true)
}

// Close closes the server and its connections at once.
func (b *Backend) Close() error {
	return b.server.Close()
}

// Runs returns how many times each request was started, by its key.
func (b *Backend) Runs() map[string]int {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := make(map[string]int, len(b.runsByKey))
	for key, n := range b.runsByKey {
		out[key] = n
	}
	return out
}

// Served returns the number of requests that were answered in full.
func (b *Backend) Served() int64 {
	return b.served.Load()
}

// OpenWatches returns the number of open watches.
func (b *Backend) OpenWatches() int64 {
	return b.openWatches.Load()
}

func (b *Backend) serveHealth(w http.ResponseWriter, _ *http.Request) {
	if b.draining.Load() {
		http.Error(w, "draining", http.StatusServiceUnavailable)
		return
	}
	_, _ = fmt.Fprintln(w, "ok")
}

func (b *Backend) serveLoad(w http.ResponseWriter, _ *http.Request) {
	now := time.Now()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(Load{Running: b.laggedLoad(now) + b.opts.LoadOffset, Slots: b.opts.Slots})
}

// laggedLoad returns the number of running requests as of LoadLag ago, from samples
// taken at each call.
func (b *Backend) laggedLoad(now time.Time) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	current := int(b.running.Load())
	b.loadSamples = append(b.loadSamples, loadSample{at: now, running: current})
	lagged := b.loadSamples[0].running
	for len(b.loadSamples) > 1 && now.Sub(b.loadSamples[0].at) > b.opts.LoadLag {
		lagged = b.loadSamples[0].running
		b.loadSamples = b.loadSamples[1:]
	}
	if b.opts.LoadLag == 0 {
		return current
	}
	return lagged
}

// serveWork runs one request in a slot and responds with its key and URI. It counts
// the run by key, and rejects the request if no slot is free.
func (b *Backend) serveWork(w http.ResponseWriter, r *http.Request) {
	select {
	case b.slots <- struct{}{}:
	default:
		http.Error(w, "no free slot", http.StatusServiceUnavailable)
		return
	}
	b.running.Add(1)
	defer func() {
		b.running.Add(-1)
		<-b.slots
	}()
	if key := r.Header.Get("Idempotency-Key"); key != "" {
		b.mu.Lock()
		b.runsByKey[key]++
		b.mu.Unlock()
	}
	timer := time.NewTimer(b.serviceTime())
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-r.Context().Done():
		return
	}
	b.served.Add(1)
	w.Header().Set("Backend-Server", b.opts.Name)
	_, _ = fmt.Fprintf(w, "%s %s\n", r.Header.Get("Idempotency-Key"), r.URL.RequestURI())
}

// serviceTime returns the time that a request takes if it starts now.
func (b *Backend) serviceTime() time.Duration {
	if time.Since(b.started) < b.opts.ColdStart {
		return b.opts.ServiceTime * time.Duration(b.opts.ColdFactor)
	}
	return b.opts.ServiceTime
}

// serveWatch streams a numbered line per interval until the caller closes the request.
func (b *Backend) serveWatch(w http.ResponseWriter, r *http.Request) {
	interval, err := time.ParseDuration(r.URL.Query().Get("every"))
	if err != nil || interval < time.Millisecond {
		interval = 100 * time.Millisecond
	}
	b.openWatches.Add(1)
	defer b.openWatches.Add(-1)
	w.Header().Set("Backend-Server", b.opts.Name)
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for n := 0; ; n++ {
		if _, err := fmt.Fprintf(w, "%d\n", n); err != nil {
			return
		}
		w.(http.Flusher).Flush()
		select {
		case <-ticker.C:
		case <-r.Context().Done():
			return
		}
	}
}

// serveBlob responds with the requested number of bytes, each given by BlobByte.
func (b *Backend) serveBlob(w http.ResponseWriter, r *http.Request) {
	size, err := strconv.Atoi(r.URL.Query().Get("bytes"))
	if err != nil || size < 0 {
		http.Error(w, "bytes is not a valid size", http.StatusBadRequest)
		return
	}
	w.Header().Set("Backend-Server", b.opts.Name)
	w.Header().Set("Content-Length", strconv.Itoa(size))
	chunk := make([]byte, 32<<10)
	for offset := 0; offset < size; offset += len(chunk) {
		n := min(len(chunk), size-offset)
		for i := range n {
			chunk[i] = BlobByte(offset + i)
		}
		if _, err := w.Write(chunk[:n]); err != nil {
			return
		}
	}
	b.served.Add(1)
}

// BlobByte returns the byte at an offset of a blob.
func BlobByte(offset int) byte {
	return byte(offset*31 + offset>>8)
}
