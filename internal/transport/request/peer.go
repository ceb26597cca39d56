package request

import (
	"bytes"
	"context"
	"crypto/tls"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/netip"
	"sync"
	"time"

	"github.com/currantturn/currantturn"
	"github.com/currantturn/currantturn/internal/coordination/admission"
	"github.com/currantturn/currantturn/internal/event"
	protocol "github.com/currantturn/currantturn/internal/protocol/request"
	"github.com/quic-go/quic-go"
	"github.com/quic-go/quic-go/http3"
	"github.com/rotisserie/eris"
)

// errOtherService reports that the peer serves another service and did not run the request.
var errOtherService = eris.New("peer serves another service")

// errBodyWithdrawn reports that a request's body is not to be sent to the peer.
var errBodyWithdrawn = eris.New("request body is no longer available")

// forwardToPeer forwards the request to a peer, if the gate chooses one. It
// returns false if the request is still to be served here.
func (x *exchange) forwardToPeer() bool {
	peer, ok := x.h.opts.Gate.Spill(x.h.opts.Clock(), x.params.Watch)
	if !ok {
		return false
	}
	x.h.withEffects(func(_ time.Time, out *currantturn.Effects) {
		out.Event(event.RequestSpilled, event.F("service", string(x.h.opts.Service)), event.F("peer", string(peer.ID)))
	})
	body := &callerBody{Reader: x.r.Body}
	res, sent, err := x.callPeer(peer, body)
	if err == nil {
		defer func() { _ = res.Body.Close() }()
		x.relay(res, x.params.NeedsClaim())
		return true
	}
	x.h.opts.Gate.MarkUnreachable(peer.ID)
	switch unread := body.withdraw(); {
	case !sent && unread, x.params.Idempotent && x.r.ContentLength == 0:
		return false
	case !sent:
		// Only the rest of the body is left.
		x.writeOutcome(protocol.NotRun, "the peer refused the request after a part of its body", defaultRetryAfter)
		return true
	}
	x.writeOutcome(protocol.Unknown, "the peer that ran the request did not answer", defaultRetryAfter)
	return true
}

// callPeer forwards the request to the peer and returns its answer. The body is that of
// a request without a claim. With an error, sent reports whether the peer may have run
// the request.
func (x *exchange) callPeer(peer admission.Peer, unclaimedBody io.Reader) (res *http.Response, sent bool, err error) {
	ctx, cancel := x.r.Context(), func() {}
	var body io.ReadCloser = &oneShotBody{unclaimedBody}
	length := x.r.ContentLength
	if x.params.NeedsClaim() {
		ctx, cancel = x.detachedContext()
		body, length = &oneShotBody{bytes.NewReader(x.body)}, int64(len(x.body))
	}
	if length == 0 {
		body = nil
	}
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { sent = true }})
	res, err = x.roundTrip(ctx, x.h.peerTransport, "https://"+peer.Stream.String(), body, length)
	if err != nil {
		cancel()
		return nil, sent, err
	}
	res.Body = &bodyWithCancel{ReadCloser: res.Body, cancel: cancel}
	if res.StatusCode == http.StatusMisdirectedRequest && res.Header.Get(protocol.HeaderOutcome) == "" {
		_ = res.Body.Close()
		return nil, false, errOtherService
	}
	return res, true, nil
}

// callerBody is the body of a caller's request, which can be read only once. An HTTP
// client may go on reading it after its call has returned.
type callerBody struct {
	io.Reader
	mu            sync.Mutex
	read, revoked bool
}

// Read reads from the body unless it was withdrawn.
func (b *callerBody) Read(p []byte) (int, error) {
	b.mu.Lock()
	if b.revoked {
		b.mu.Unlock()
		return 0, errBodyWithdrawn
	}
	b.read = true
	b.mu.Unlock()
	return b.Reader.Read(p)
}

// withdraw ends the reading of the body and reports whether it is still whole.
func (b *callerBody) withdraw() (unread bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.revoked = true
	return !b.read
}

// PeerServer receives requests from peers over HTTP/3.
type PeerServer struct {
	conn   *net.UDPConn
	server *Server
}

// StartPeerServer starts a server for the peers that the TLS configuration accepts.
func StartPeerServer(listen netip.AddrPort, cfg *tls.Config, h http.Handler) (*PeerServer, error) {
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(listen))
	if err != nil {
		return nil, eris.Wrapf(err, "listen for peers on %s", listen)
	}
	p := &PeerServer{conn: conn, server: NewServer(h, http3.ConfigureTLSConfig(cfg), &quic.Config{MaxIdleTimeout: peerIdleTimeout})}
	go func() { _ = p.server.Serve(conn) }()
	return p, nil
}

// Addr returns the address that peers connect to.
func (p *PeerServer) Addr() netip.AddrPort {
	return p.conn.LocalAddr().(*net.UDPAddr).AddrPort()
}

// Shutdown waits for the requests in progress, until the context ends, and closes
// the socket; see Server.Shutdown.
func (p *PeerServer) Shutdown(ctx context.Context) error {
	err := p.server.Shutdown(ctx)
	_ = p.conn.Close()
	return err
}

// Close closes the server and its socket without waiting for requests.
func (p *PeerServer) Close() error {
	err := p.server.Close()
	_ = p.conn.Close()
	return err
}
