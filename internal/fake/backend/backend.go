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

// Options describe the behaviour of a backend server.
type Options struct {
	Name      string
	Slots     int
	Work      time.Duration // time that one request takes
	ColdFor   time.Duration // start-up time in which work takes ColdFactor as long
	ColdTimes int           // factor of the work's time while cold
	LoadLag   time.Duration // age of what the load endpoint tells
	LoadLie   int           // added to the load that is told
}

// Load is what the load endpoint tells.
type Load struct {
	Running int `json:"running"`
	Slots   int `json:"slots"`
}

// Backend is a running stand-in.
type Backend struct {
	opts     Options
	server   *http.Server
	address  netip.AddrPort
	started  time.Time
	slots    chan struct{}
	running  atomic.Int64
	draining atomic.Bool
	mu       sync.Mutex
	runs     map[string]int // by request ID
	load     []sampledLoad
	streams  atomic.Int64
	served   atomic.Int64
}

type sampledLoad struct {
	at      time.Time
	running int
}

// Start serves on a loopback port.
func Start(opts Options) (*Backend, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, eris.Wrap(err, "bind backend server")
	}
	b := &Backend{
		opts:    opts,
		address: ln.Addr().(*net.TCPAddr).AddrPort(),
		started: time.Now(),
		slots:   make(chan struct{}, opts.Slots),
		runs:    make(map[string]int),
	}
	mux := http.NewServeMux()
	mux.HandleFunc("/health", b.health)
	mux.HandleFunc("/load", b.serveLoad)
	mux.HandleFunc("/watch", b.watch)
	mux.HandleFunc("/blob", b.blob)
	mux.HandleFunc("/", b.work)
	b.server = &http.Server{Handler: mux, ReadHeaderTimeout: time.Minute}
	go func() { _ = b.server.Serve(ln) }()
	return b, nil
}

// Addr is the backend server's HTTP address.
func (b *Backend) Addr() netip.AddrPort {
	return b.address
}

// Drain makes the health endpoint tell that the server is leaving.
func (b *Backend) Drain() {
	b.draining.Store(true)
}

// Close ends the server at once.
func (b *Backend) Close() error {
	return b.server.Close()
}

// Runs returns how often each request ID was run.
func (b *Backend) Runs() map[string]int {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := make(map[string]int, len(b.runs))
	for id, n := range b.runs {
		out[id] = n
	}
	return out
}

// Served is how many requests were answered in full.
func (b *Backend) Served() int64 {
	return b.served.Load()
}

// Streams is how many watches are open.
func (b *Backend) Streams() int64 {
	return b.streams.Load()
}

func (b *Backend) health(w http.ResponseWriter, _ *http.Request) {
	if b.draining.Load() {
		http.Error(w, "draining", http.StatusServiceUnavailable)
		return
	}
	_, _ = fmt.Fprintln(w, "ok")
}

func (b *Backend) serveLoad(w http.ResponseWriter, _ *http.Request) {
	now := time.Now()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(Load{Running: b.loadAt(now) + b.opts.LoadLie, Slots: b.opts.Slots})
}

// loadAt tells the load as it was one lag ago.
func (b *Backend) loadAt(now time.Time) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	current := int(b.running.Load())
	b.load = append(b.load, sampledLoad{at: now, running: current})
	told := b.load[0].running
	for len(b.load) > 1 && now.Sub(b.load[0].at) > b.opts.LoadLag {
		told = b.load[0].running
		b.load = b.load[1:]
	}
	if b.opts.LoadLag == 0 {
		return current
	}
	return told
}

func (b *Backend) work(w http.ResponseWriter, r *http.Request) {
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
	if id := r.Header.Get("Idempotency-Key"); id != "" {
		b.mu.Lock()
		b.runs[id]++
		b.mu.Unlock()
	}
	timer := time.NewTimer(b.duration())
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

func (b *Backend) duration() time.Duration {
	if time.Since(b.started) < b.opts.ColdFor {
		return b.opts.Work * time.Duration(b.opts.ColdTimes)
	}
	return b.opts.Work
}

// watch streams one numbered line every interval until the caller leaves.
func (b *Backend) watch(w http.ResponseWriter, r *http.Request) {
	every, err := time.ParseDuration(r.URL.Query().Get("every"))
	if err != nil || every < time.Millisecond {
		every = 100 * time.Millisecond
	}
	b.streams.Add(1)
	defer b.streams.Add(-1)
	w.Header().Set("Backend-Server", b.opts.Name)
	t := time.NewTicker(every)
	defer t.Stop()
	for n := 0; ; n++ {
		if _, err := fmt.Fprintf(w, "%d\n", n); err != nil {
			return
		}
		w.(http.Flusher).Flush()
		select {
		case <-t.C:
		case <-r.Context().Done():
			return
		}
	}
}

// blob answers with as many bytes as asked for, each position's value known.
func (b *Backend) blob(w http.ResponseWriter, r *http.Request) {
	size, err := strconv.Atoi(r.URL.Query().Get("bytes"))
	if err != nil || size < 0 {
		http.Error(w, "bytes is not a size", http.StatusBadRequest)
		return
	}
	w.Header().Set("Backend-Server", b.opts.Name)
	w.Header().Set("Content-Length", strconv.Itoa(size))
	chunk := make([]byte, 32<<10)
	for at := 0; at < size; at += len(chunk) {
		n := min(len(chunk), size-at)
		for i := range n {
			chunk[i] = BlobByte(at + i)
		}
		if _, err := w.Write(chunk[:n]); err != nil {
			return
		}
	}
	b.served.Add(1)
}

// BlobByte is the value at a position of a blob.
func BlobByte(at int) byte {
	return byte(at*31 + at>>8)
}
