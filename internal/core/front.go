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
	// callerIdle ends a caller's connection that has been silent.
	callerIdle = 30 * time.Second
	// callerPacketBytes leaves room for the envelope within an MTU of 1,500.
	callerPacketBytes = 1200
	// callerStreams bounds the requests in progress on one connection.
	callerStreams = 256
	// limitedRetryAfter is the advice to a caller at its limit of requests.
	limitedRetryAfter = time.Second
)

// ErrLimited reports a connection that a limit refuses.
var ErrLimited = eris.New("caller or host is at its limit of flows")

func init() {
	// quic-go warns that it cannot size the buffer of a connection that is no
	// socket; the link sizes the socket's.
	_ = os.Setenv("QUIC_GO_DISABLE_RECEIVE_BUFFER_WARNING", "true")
}

// front serves HTTP/3 to the callers of one service address.
type front struct {
	conn      *flowconn.Conn
	transport *quic.Transport
	server    *http3.Server
}

func newFront(service netip.AddrPort, a *Agent) *front {
	conn := flowconn.New(service, func(caller netip.AddrPort, p []byte) {
		a.node.answer(&currantturn.Packet{
			Flow:    currantturn.FlowKey{Caller: caller, Service: service},
			Mark:    currantturn.MarkData,
			Payload: p,
		})
	})
	secrets := &a.opts.Secrets
	f := &front{
		conn: conn,
		transport: &quic.Transport{
			Conn:                  conn,
			StatelessResetKey:     &secrets.Reset,
			TokenGeneratorKey:     &secrets.Token,
			ConnectionIDGenerator: connid.NewGenerator(secrets.ConnIDs, rank.Seed(a.opts.ID), rand.Reader),
			ConnContext:           a.admitFlow,
		},
		server: &http3.Server{Handler: a.limited(a.handler), ConnContext: request.ConnContext},
	}
	go f.serve(a.opts.CallerTLS)
	return f
}

// admitFlow counts a caller's connection until it ends.
func (a *Agent) admitFlow(ctx context.Context, info *quic.ClientInfo) (context.Context, error) {
	from, ok := info.RemoteAddr.(*net.UDPAddr)
	if !ok {
		return nil, ErrLimited
	}
	caller := from.AddrPort().Addr().Unmap()
	if v := a.limiter.OpenFlow(a.opts.Clock(), caller); v != limit.Allowed {
		return nil, ErrLimited
	}
	context.AfterFunc(ctx, func() { a.limiter.CloseFlow(caller) })
	return ctx, nil
}

// refuse tells a caller at its limit when to come back. This attempt was not
// run, but with a key an earlier one may have been.
func refuse(w http.ResponseWriter, r *http.Request, v limit.Verdict) {
	o := protocol.NotRun
	key := r.Header.Get(protocol.HeaderKey)
	if key != "" {
		o = protocol.Unknown
	}
	protocol.Write(w, o, key, "limit reached: "+string(v), limitedRetryAfter)
}

func (f *front) serve(cfg *tls.Config) {
	ln, err := f.transport.ListenEarly(http3.ConfigureTLSConfig(cfg), &quic.Config{
		MaxIdleTimeout:          callerIdle,
		InitialPacketSize:       callerPacketBytes,
		DisablePathMTUDiscovery: true,
		MaxIncomingStreams:      callerStreams,
	})
	if err != nil {
		return
	}
	_ = f.server.ServeListener(ln)
}

func (f *front) close() {
	_ = f.server.Close()
	_ = f.transport.Close()
	_ = f.conn.Close()
}
