package core

import (
	"context"
	"crypto/rand"
	"crypto/tls"
	"net/http"
	"net/netip"
	"os"
	"time"

	"github.com/currantturn/currantturn"
	"github.com/currantturn/currantturn/internal/coordination/rank"
	"github.com/currantturn/currantturn/internal/protocol/connid"
	"github.com/currantturn/currantturn/internal/transport/flowconn"
	"github.com/quic-go/quic-go"
	"github.com/quic-go/quic-go/http3"
)

const (
	// callerIdle ends a caller's connection that has been silent.
	callerIdle = 30 * time.Second
	// callerPacketBytes leaves room for the envelope within an MTU of 1,500.
	callerPacketBytes = 1200
	// callerStreams bounds the requests in progress on one connection.
	callerStreams = 256
)

// front serves HTTP/3 to the callers of one service address.
type front struct {
	conn      *flowconn.Conn
	transport *quic.Transport
	server    *http3.Server
}

func init() {
	// quic-go warns that it cannot size the buffer of a connection that is no
	// socket; the link sizes the socket's.
	_ = os.Setenv("QUIC_GO_DISABLE_RECEIVE_BUFFER_WARNING", "true")
}

func newFront(service netip.AddrPort, opts AgentOptions, h http.Handler, answer func(*currantturn.Packet)) *front {
	conn := flowconn.New(service, func(caller netip.AddrPort, p []byte) {
		answer(&currantturn.Packet{
			Flow:    currantturn.FlowKey{Caller: caller, Service: service},
			Mark:    currantturn.MarkData,
			Payload: p,
		})
	})
	f := &front{
		conn: conn,
		transport: &quic.Transport{
			Conn:                  conn,
			StatelessResetKey:     &opts.Secrets.Reset,
			TokenGeneratorKey:     &opts.Secrets.Token,
			ConnectionIDGenerator: connid.NewGenerator(opts.Secrets.ConnIDs, rank.Seed(opts.ID), rand.Reader),
		},
		server: &http3.Server{Handler: h},
	}
	go f.serve(opts.CallerTLS)
	return f
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

func (f *front) shutdown(ctx context.Context) error {
	return f.server.Shutdown(ctx)
}

func (f *front) close() {
	_ = f.server.Close()
	_ = f.transport.Close()
	_ = f.conn.Close()
}
