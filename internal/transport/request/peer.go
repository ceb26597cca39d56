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
	"time"

	"github.com/currantturn/currantturn"
	"github.com/currantturn/currantturn/internal/coordination/admission"
	"github.com/currantturn/currantturn/internal/event"
	protocol "github.com/currantturn/currantturn/internal/protocol/request"
	"github.com/quic-go/quic-go"
	"github.com/quic-go/quic-go/http3"
	"github.com/rotisserie/eris"
)

// errForeignPeer reports a peer that serves another service and ran nothing.
var errForeignPeer = eris.New("peer serves another service")

// passed hands the request to a peer, if the gate chooses one; it returns
// false when the request is still to be served here.
func (x *exchange) passed() bool {
	peer, ok := x.h.opts.Gate.Spill(x.h.opts.Clock(), x.params.Watch)
	if !ok {
		return false
	}
	x.h.decide(func(_ time.Time, out *currantturn.Effects) {
		out.Event(event.RequestSpilled, event.F("service", string(x.h.opts.Service)), event.F("peer", string(peer.ID)))
	})
	res, sent, err := x.callPeer(peer)
	if err == nil {
		defer func() { _ = res.Body.Close() }()
		x.relay(res, x.params.Claimed())
		return true
	}
	x.h.opts.Gate.Unreachable(peer.ID)
	if !sent || x.params.Idempotent && x.r.ContentLength == 0 {
		return false
	}
	x.tell(protocol.Unknown, "the peer that ran the request did not answer", retryAfter)
	return true
}

// callPeer returns the peer's answer, or whether any of the request was sent.
func (x *exchange) callPeer(peer admission.Peer) (res *http.Response, sent bool, err error) {
	ctx, stop := x.r.Context(), func() {}
	var body io.ReadCloser = &single{x.r.Body}
	length := x.r.ContentLength
	if x.params.Claimed() {
		ctx, stop = x.detached()
		body, length = &single{bytes.NewReader(x.body)}, int64(len(x.body))
	}
	if length == 0 {
		body = nil
	}
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { sent = true }})
	res, err = x.call(ctx, x.h.peers, "https://"+peer.Stream.String(), body, length)
	if err != nil {
		stop()
		return nil, sent, err
	}
	res.Body = &endingBody{ReadCloser: res.Body, end: stop}
	if res.StatusCode == http.StatusMisdirectedRequest && res.Header.Get(protocol.HeaderOutcome) == "" {
		_ = res.Body.Close()
		return nil, false, errForeignPeer
	}
	return res, true, nil
}

// PeerServer takes requests from peers over HTTP/3.
type PeerServer struct {
	conn   *net.UDPConn
	server *http3.Server
}

// StartPeers serves the handler to peers that the TLS configuration accepts.
func StartPeers(listen netip.AddrPort, cfg *tls.Config, h http.Handler) (*PeerServer, error) {
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(listen))
	if err != nil {
		return nil, eris.Wrapf(err, "bind peers' address %s", listen)
	}
	p := &PeerServer{conn: conn, server: &http3.Server{
		Handler:     h,
		TLSConfig:   http3.ConfigureTLSConfig(cfg),
		ConnContext: ConnContext,
		QUICConfig:  &quic.Config{MaxIdleTimeout: peerIdle},
	}}
	go func() { _ = p.server.Serve(conn) }()
	return p, nil
}

// Addr is the address that peers connect to.
func (p *PeerServer) Addr() netip.AddrPort {
	return p.conn.LocalAddr().(*net.UDPAddr).AddrPort()
}

// Shutdown lets requests in progress end, until the context does.
func (p *PeerServer) Shutdown(ctx context.Context) error {
	err := p.server.Shutdown(ctx)
	_ = p.conn.Close()
	return err
}

// Close stops at once.
func (p *PeerServer) Close() error {
	err := p.server.Close()
	_ = p.conn.Close()
	return err
}
