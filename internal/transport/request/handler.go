package request

import (
	"context"
	"crypto/tls"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/currantturn/currantturn"
	"github.com/currantturn/currantturn/internal/coordination/admission"
	"github.com/currantturn/currantturn/internal/coordination/claim"
	protocol "github.com/currantturn/currantturn/internal/protocol/request"
	"github.com/quic-go/quic-go"
	"github.com/quic-go/quic-go/http3"
)

// Options are the parts of a handler.
type Options struct {
	Service     currantturn.ServiceName
	Backend     netip.AddrPort // HTTP address of the backend server
	Claims      *claim.Claims
	Gate        *admission.Gate
	PeerTLS     *tls.Config // of the client towards peers; nil spills nothing
	BodyBytes   int
	BufferBytes int
	Clock       func() time.Time
	Carry       func(*currantturn.Effects) // carries out what a machine decided
	Rand        *rand.Rand                 // for the retry budget only
}

// Handler serves the requests of callers and, by Peer, those passed by peers.
type Handler struct {
	opts    Options
	backend *http.Transport
	peers   *http3.Transport
	budget  *admission.Budget
	held    atomic.Int64 // bytes of buffered bodies
	effects sync.Pool
	counts  counts
}

// New returns a handler that holds no requests.
func New(opts Options) *Handler {
	if opts.BodyBytes == 0 {
		opts.BodyBytes = DefaultBodyBytes
	}
	if opts.BufferBytes == 0 {
		opts.BufferBytes = DefaultBufferBytes
	}
	h := &Handler{
		opts:    opts,
		backend: &http.Transport{MaxIdleConnsPerHost: idleConns, DisableCompression: true},
		budget:  admission.NewBudget(opts.Rand),
		effects: sync.Pool{New: func() any { return new(currantturn.Effects) }},
	}
	if opts.PeerTLS != nil {
		h.peers = &http3.Transport{
			TLSClientConfig:    opts.PeerTLS,
			DisableCompression: true,
			QUICConfig:         &quic.Config{MaxIdleTimeout: peerIdle, KeepAlivePeriod: peerIdle / 3},
		}
	}
	return h
}

// ServeHTTP serves a caller's request.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.serve(w, r, h.peers != nil)
}

// Peer serves requests that a peer has passed here; they go no further. A peer
// with a stale configuration may take this process for one of its own service.
func (h *Handler) Peer() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get(protocol.HeaderService) != string(h.opts.Service) {
			h.counts.foreign.Add(1)
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		h.serve(w, r, false)
	})
}

// Settle waits until the owners have confirmed how every request here ended.
func (h *Handler) Settle(ctx context.Context) error {
	t := time.NewTicker(settlePoll)
	defer t.Stop()
	for h.opts.Claims.Counters().Attempts > 0 {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-t.C:
		}
	}
	return nil
}

// Close ends the connections to the backend server and to peers.
func (h *Handler) Close() error {
	h.backend.CloseIdleConnections()
	if h.peers == nil {
		return nil
	}
	return h.peers.Close()
}

// decide runs one decision of a machine and carries out its effects.
func (h *Handler) decide(f func(now time.Time, out *currantturn.Effects)) {
	out := h.effects.Get().(*currantturn.Effects)
	f(h.opts.Clock(), out)
	h.opts.Carry(out)
	out.Reset()
	h.effects.Put(out)
}

func (h *Handler) serve(w http.ResponseWriter, r *http.Request, mayPass bool) {
	now := h.opts.Clock()
	p, err := protocol.Parse(r.Method, r.Header)
	x := &exchange{h: h, w: w, r: r, params: p, deadline: now.Add(p.Timeout)}
	if err != nil {
		x.tell(protocol.Malformed, err.Error(), 0)
		return
	}
	defer x.release()
	if p.Claimed() && !x.buffer() {
		return
	}
	if mayPass && x.passed() {
		return
	}
	switch {
	case p.Claimed():
		x.runClaimed()
	case p.Watch:
		x.runWatch()
	default:
		x.runPlain()
	}
}

type connKey struct{}

// ConnContext lets the handler tell a cancelled request from a lost
// connection; it goes into the http3.Server towards callers.
func ConnContext(ctx context.Context, c *quic.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c.Context())
}

// cancelled says whether the caller closed the stream of a request on a
// connection that is alive.
func cancelled(r *http.Request) bool {
	conn, ok := r.Context().Value(connKey{}).(context.Context)
	return ok && r.Context().Err() != nil && conn.Err() == nil
}
