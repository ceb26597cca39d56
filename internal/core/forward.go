package core

import (
	"io"
	"net/http"
	"net/netip"
	"sync/atomic"

	"github.com/currantturn/currantturn"
)

// forwarder hands a caller's request to the backend server and its answer back.
type forwarder struct {
	backend netip.AddrPort
	client  *http.Client
	running atomic.Int64
}

func newForwarder(backend netip.AddrPort) *forwarder {
	return &forwarder{backend: backend, client: &http.Client{}}
}

func (f *forwarder) load() currantturn.Load {
	return currantturn.Load{Running: int(f.running.Load())}
}

// ServeHTTP streams the answer as it comes.
func (f *forwarder) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	f.running.Add(1)
	defer f.running.Add(-1)
	url := "http://" + f.backend.String() + r.URL.RequestURI()
	out, err := http.NewRequestWithContext(r.Context(), r.Method, url, r.Body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	out.Header = r.Header.Clone()
	res, err := f.client.Do(out)
	if err != nil {
		http.Error(w, "backend server: "+err.Error(), http.StatusBadGateway)
		return
	}
	defer func() { _ = res.Body.Close() }()
	for k, v := range res.Header {
		w.Header()[k] = v
	}
	w.WriteHeader(res.StatusCode)
	stream(w, res.Body)
}

const streamBytes = 32 << 10

// stream copies and flushes each piece, so that a watch is never held back.
func stream(w http.ResponseWriter, r io.Reader) {
	flush, _ := w.(http.Flusher)
	buf := make([]byte, streamBytes)
	for {
		n, err := r.Read(buf)
		if n > 0 {
			if _, e := w.Write(buf[:n]); e != nil {
				return
			}
			if flush != nil {
				flush.Flush()
			}
		}
		if err != nil {
			return
		}
	}
}
