package request

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/quic-go/quic-go"
	"github.com/quic-go/quic-go/http3"
)

// Server is an HTTP/3 server whose planned stop does not depend on its clients: it
// closes connections that a client keeps open without a request, or whose end it
// has not received.
type Server struct {
	server *http3.Server

	mu    sync.Mutex
	conns map[*quic.Conn]*connUse // open connections
}

// connUse is the use of one connection.
type connUse struct {
	requests  int       // in progress
	idleSince time.Time // when the last request ended, or the connection was opened
}

// connKey is the context key of a request's connection.
type connKey struct{}

// NewServer returns a server with the given handler; the TLS and QUIC configurations
// are used by Serve only.
func NewServer(h http.Handler, tlsConfig *tls.Config, quicConfig *quic.Config) *Server {
	s := &Server{conns: make(map[*quic.Conn]*connUse)}
	s.server = &http3.Server{
		Handler: s.trackRequests(h), ConnContext: s.trackConn, TLSConfig: tlsConfig, QUICConfig: quicConfig,
	}
	return s
}

// Serve handles connections on a socket until the server is closed.
func (s *Server) Serve(conn net.PacketConn) error {
	return s.server.Serve(conn)
}

// ServeListener handles the connections of a listener until the server is closed.
func (s *Server) ServeListener(l http3.QUICListener) error {
	return s.server.ServeListener(l)
}

// Close closes all connections at once.
func (s *Server) Close() error {
	return s.server.Close()
}

// Shutdown asks clients to close their connections (GOAWAY), waits for the requests
// in progress, and closes each connection that is still open goAwayTimeout after its
// last request. When the context ends, requests still in progress are cut off and
// its error is returned.
func (s *Server) Shutdown(ctx context.Context) error {
	began := time.Now()
	done := make(chan error, 1)
	go func() { done <- s.server.Shutdown(ctx) }()
	ticker := time.NewTicker(idleCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case err := <-done:
			return err
		case now := <-ticker.C:
			for _, c := range s.abandoned(now, began) {
				_ = c.CloseWithError(quic.ApplicationErrorCode(http3.ErrCodeNoError), "") // never fails
			}
		}
	}
}

// abandoned returns the connections without a request for goAwayTimeout since the
// shutdown began.
func (s *Server) abandoned(now, shutdownBegan time.Time) []*quic.Conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	var all []*quic.Conn
	for c, use := range s.conns {
		if use.requests == 0 && now.Sub(use.idleSince) >= goAwayTimeout && now.Sub(shutdownBegan) >= goAwayTimeout {
			all = append(all, c)
		}
	}
	return all
}

// trackConn is the http3.Server's ConnContext; it keeps the connection in conns until
// it ends.
func (s *Server) trackConn(ctx context.Context, c *quic.Conn) context.Context {
	s.mu.Lock()
	s.conns[c] = &connUse{idleSince: time.Now()}
	s.mu.Unlock()
	context.AfterFunc(c.Context(), func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.conns, c)
	})
	return context.WithValue(ctx, connKey{}, c)
}

// trackRequests counts the requests in progress on each connection.
func (s *Server) trackRequests(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if c, ok := r.Context().Value(connKey{}).(*quic.Conn); ok {
			s.addRequests(time.Now(), c, 1)
			defer func() { s.addRequests(time.Now(), c, -1) }()
		}
		next.ServeHTTP(w, r)
	})
}

// addRequests adds n to the requests in progress on a connection.
func (s *Server) addRequests(now time.Time, c *quic.Conn, n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if use := s.conns[c]; use != nil { // nil once the connection has ended
		use.requests += n
		use.idleSince = now
	}
}

// cancelledByCaller reports whether the caller closed the stream of a request
// while its connection stayed open.
func cancelledByCaller(r *http.Request) bool {
	conn, ok := r.Context().Value(connKey{}).(*quic.Conn)
	return ok && r.Context().Err() != nil && conn.Context().Err() == nil
}
