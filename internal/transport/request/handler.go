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

// Options configure a Handler.
type Options struct {
	Service          currantturn.ServiceName
	Backend          netip.AddrPort // HTTP address of the backend server
	Claims           *claim.Claims
	Gate             *admission.Gate
	PeerTLS          *tls.Config // for connections to peers; nil forwards nothing to peers
	MaxBodyBytes     int         // zero selects DefaultMaxBodyBytes
	MaxBufferedBytes int         // zero selects DefaultMaxBufferedBytes
	Clock            func() time.Time
	ApplyEffects     func(*currantturn.Effects) // applies the effects of a state machine
	Rand             *rand.Rand                 // for the retry budget only
}

// Handler serves requests of callers and requests that peers have forwarded.
type Handler struct {
	opts             Options
	backendTransport *http.Transport
	peerTransport    *http3.Transport
	retryBudget      *admission.Budget
	bufferedBytes    atomic.Int64 // reserved for the bodies in memory
	effectsPool      sync.Pool
	counters         atomicCounters
}

// New returns a handler that serves no requests yet.
func New(opts Options) *Handler {
	if opts.MaxBodyBytes == 0 {
		opts.MaxBodyBytes = DefaultMaxBodyBytes
	}
	if opts.MaxBufferedBytes == 0 {
		opts.MaxBufferedBytes = DefaultMaxBufferedBytes
	}
	h := &Handler{
		opts: opts,
		// A connection carries one request: on a reused one, a late second copy of an answer
		// would be taken for the answer to the next request.
		backendTransport: &http.Transport{DisableKeepAlives: true, DisableCompression: true},
		retryBudget:      admission.NewBudget(opts.Rand),
		effectsPool:      sync.Pool{New: func() any { return new(currantturn.Effects) }},
	}
	if opts.PeerTLS != nil {
		h.peerTransport = &http3.Transport{
			TLSClientConfig:    opts.PeerTLS,
			DisableCompression: true,
			QUICConfig:         &quic.Config{MaxIdleTimeout: peerIdleTimeout, KeepAlivePeriod: peerIdleTimeout / 3},
		}
	}
	return h
}

// ServeHTTP serves a caller's request.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.serve(w, r, h.peerTransport != nil)
}

// PeerHandler returns the handler of requests that a peer has forwarded; they are not
// forwarded again. It rejects requests of another service, because a peer with a
// stale configuration may take this process for one of its own service.
func (h *Handler) PeerHandler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get(protocol.HeaderService) != string(h.opts.Service) {
			h.counters.foreignService.Add(1)
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		h.serve(w, r, false)
	})
}

// AwaitConfirmations waits until the owners of the keys have confirmed this process's
// reports of how its requests ended, except owners that have ended.
func (h *Handler) AwaitConfirmations(ctx context.Context) error {
	t := time.NewTicker(confirmationPollInterval)
	defer t.Stop()
	for h.opts.Claims.Unfinished(h.opts.Clock()) > 0 {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-t.C:
		}
	}
	return nil
}

// Close closes all connections to peers.
func (h *Handler) Close() error {
	if h.peerTransport == nil {
		return nil
	}
	return h.peerTransport.Close()
}

// withEffects calls a state machine through decide and then applies the effects
// that it has written to out.
func (h *Handler) withEffects(decide func(now time.Time, out *currantturn.Effects)) {
	out := h.effectsPool.Get().(*currantturn.Effects)
	decide(h.opts.Clock(), out)
	h.opts.ApplyEffects(out)
	out.Reset()
	h.effectsPool.Put(out)
}

// serve handles one request; mayForward allows forwarding it to a peer.
func (h *Handler) serve(w http.ResponseWriter, r *http.Request, mayForward bool) {
	now := h.opts.Clock()
	p, err := protocol.Parse(r.Method, r.Header)
	x := &exchange{h: h, w: w, r: r, params: p, deadline: now.Add(p.Timeout)}
	if err != nil {
		x.writeOutcome(protocol.Malformed, err.Error(), 0)
		return
	}
	defer x.releaseBuffer()
	if p.NeedsClaim() && !x.bufferBody() {
		return
	}
	if mayForward && x.forwardToPeer() {
		return
	}
	switch {
	case p.NeedsClaim():
		x.runClaimed()
	case p.Watch:
		x.runWatch()
	default:
		x.runUnclaimed()
	}
}
