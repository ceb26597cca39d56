package core

import (
	"context"
	"crypto/tls"
	"net/http"
	"net/netip"
	"time"

	"github.com/currantturn/currantturn"
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

func newFront(
	service netip.AddrPort, cfg *tls.Config, reset [32]byte, h http.Handler, answer func(*currantturn.Packet),
) *front {
	conn := flowconn.New(service, func(caller netip.AddrPort, p []byte) {
		answer(&currantturn.Packet{
			Flow:    currantturn.FlowKey{Caller: caller, Service: service},
			Mark:    currantturn.MarkData,
			Payload: p,
		})
	})
	key := quic.StatelessResetKey(reset)
	f := &front{
		conn:      conn,
		transport: &quic.Transport{Conn: conn, StatelessResetKey: &key},
		server:    &http3.Server{Handler: h},
	}
	go f.serve(cfg)
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
