package core

import (
	"context"
	"crypto/rand"
	"crypto/tls"
	"net"
	"net/http"
	"net/netip"
	"os"
	"time"

	"github.com/currantturn/currantturn"
	"github.com/currantturn/currantturn/internal/coordination/limit"
	"github.com/currantturn/currantturn/internal/coordination/rank"
	"github.com/currantturn/currantturn/internal/protocol/connid"
	protocol "github.com/currantturn/currantturn/internal/protocol/request"
	"github.com/currantturn/currantturn/internal/transport/flowconn"
	"github.com/currantturn/currantturn/internal/transport/request"
	"github.com/quic-go/quic-go"
	"github.com/quic-go/quic-go/http3"
	"github.com/rotisserie/eris"
)

const (
	// callerIdleTimeout is how long a caller's connection without traffic stays
	// open.
	callerIdleTimeout = 30 * time.Second
	// callerInitialPacketBytes is the size of QUIC packets to callers; it leaves
	// room for the envelope within an MTU of 1,500.
	callerInitialPacketBytes = 1200
	// maxCallerStreams is the maximum number of requests in progress on one
	// connection.
	maxCallerStreams = 256
	// limitRetryAfter is the Retry-After value sent to a caller at its limit of
	// requests.
	limitRetryAfter = time.Second
)

// ErrLimited reports a connection refused because of a limit.
var ErrLimited = eris.New("caller or host has reached its limit of flows")

func init() {
	// quic-go warns that it cannot set the receive buffer size of a connection
	// that is not a socket; the link sets the size for its own socket.
	_ = os.Setenv("QUIC_GO_DISABLE_RECEIVE_BUFFER_WARNING", "true")
}

// callerServer serves HTTP/3 to the callers of one service address, over a
// flowconn.Conn instead of a socket.
type callerServer struct {
	conn      *flowconn.Conn
	transport *quic.Transport
	server    *request.Server
}

// newCallerServer creates the server of a service address and starts it.
func newCallerServer(address netip.AddrPort, a *Agent) *callerServer {
	conn := flowconn.New(address, func(caller netip.AddrPort, p []byte) {
		a.node.sendToCaller(&currantturn.Packet{
			Flow:    currantturn.FlowKey{Caller: caller, Service: address},
			Mark:    currantturn.MarkData,
			Payload: p,
		})
	})
	secrets := &a.opts.Secrets
	s := &callerServer{
		conn: conn,
		transport: &quic.Transport{
			Conn:                  conn,
			StatelessResetKey:     &secrets.Reset,
			TokenGeneratorKey:     &secrets.Token,
			ConnectionIDGenerator: connid.NewGenerator(secrets.ConnIDs, rank.Seed(a.opts.ID), rand.Reader),
			ConnContext:           a.admitFlow,
		},
		server: request.NewServer(a.limitRequests(a.handler), nil, nil),
	}
	go s.serve(a.opts.CallerTLS)
	return s
}

// admitFlow counts a caller's connection until it ends, or returns ErrLimited at
// the limit.
func (a *Agent) admitFlow(ctx context.Context, info *quic.ClientInfo) (context.Context, error) {
	remote, ok := info.RemoteAddr.(*net.UDPAddr)
	if !ok {
		return nil, ErrLimited
	}
	caller := remote.AddrPort().Addr().Unmap()
	if verdict := a.limiter.OpenFlow(a.opts.Clock(), caller); verdict != limit.Allowed {
		return nil, ErrLimited
	}
	context.AfterFunc(ctx, func() { a.limiter.CloseFlow(caller) })
	return ctx, nil
}

// refuseRequest refuses a request of a caller at its limit and advises when to
// retry. This attempt did not run, but if the request has a key, an earlier
// attempt may have run.
func refuseRequest(w http.ResponseWriter, r *http.Request, verdict limit.Verdict) {
	outcome := protocol.NotRun
	key := r.Header.Get(protocol.HeaderKey)
	if key != "" {
		outcome = protocol.Unknown
	}
	protocol.WriteOutcome(w, outcome, key, "limit reached: "+string(verdict), limitRetryAfter)
}

// serve handles connections until the server is closed.
func (s *callerServer) serve(tlsConfig *tls.Config) {
	listener, err := s.transport.ListenEarly(http3.ConfigureTLSConfig(tlsConfig), &quic.Config{
		MaxIdleTimeout:          callerIdleTimeout,
		InitialPacketSize:       callerInitialPacketBytes,
		DisablePathMTUDiscovery: true,
		MaxIncomingStreams:      maxCallerStreams,
	})
	if err != nil {
		return
	}
	_ = s.server.ServeListener(listener)
}

func (s *callerServer) close() {
	_ = s.server.Close()
	_ = s.transport.Close()
	_ = s.conn.Close()
}
