package admin

import (
	"context"
	"crypto/tls"
	"errors"
	"log"
	"net"
	"net/http"
	"net/netip"
	"strings"

	"github.com/currantturn/currantturn"
	"github.com/currantturn/currantturn/internal/event"
	"github.com/rotisserie/eris"
	"golang.org/x/net/netutil"
)

// ErrInsecure reports options that would serve the API without mutual TLS, which is
// permitted only with Insecure and on a loopback address.
var ErrInsecure = errors.New("administration API without mutual TLS")

// Options configure a server.
type Options struct {
	Address   netip.AddrPort
	TLS       *tls.Config // must require and verify client certificates
	Insecure  bool        // serves without TLS, on loopback only
	Providers Providers
	Report    func(currantturn.Event)
}

// Server serves the administration API.
type Server struct {
	listener net.Listener
	http     *http.Server
	report   func(currantturn.Event)
}

// Listen returns a server that listens on the address in opts.
func Listen(opts Options) (*Server, error) {
	if err := checkTLS(&opts); err != nil {
		return nil, err
	}
	l, err := net.Listen("tcp", opts.Address.String())
	if err != nil {
		return nil, eris.Wrap(err, "administration API")
	}
	l = netutil.LimitListener(l, maxConnections)
	if !opts.Insecure {
		l = tls.NewListener(l, opts.TLS)
	}
	return &Server{listener: l, http: newHTTPServer(&opts), report: opts.Report}, nil
}

// checkTLS returns ErrInsecure unless the options require client certificates or
// allow plain HTTP on a loopback address.
func checkTLS(opts *Options) error {
	if opts.Insecure {
		if !opts.Address.Addr().IsLoopback() {
			return eris.Wrapf(ErrInsecure, "%s is not a loopback address", opts.Address)
		}
		return nil
	}
	if opts.TLS == nil || opts.TLS.ClientAuth != tls.RequireAndVerifyClientCert {
		return eris.Wrap(ErrInsecure, "client certificates are not verified")
	}
	return nil
}

func newHTTPServer(opts *Options) *http.Server {
	return &http.Server{
		Handler:           newHandler(&opts.Providers),
		ReadHeaderTimeout: readHeaderTimeout,
		ReadTimeout:       readTimeout,
		WriteTimeout:      writeTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ErrorLog:          log.New(errorLogWriter{opts.Report}, "", 0),
	}
}

// errorLogWriter reports the lines of the HTTP server's error log as events.
type errorLogWriter struct {
	report func(currantturn.Event)
}

// Write reports one line of the error log, such as a failed TLS handshake.
func (w errorLogWriter) Write(p []byte) (int, error) {
	if w.report != nil {
		reason := strings.TrimSpace(string(p))
		w.report(currantturn.Event{Number: event.AdminRefused, Fields: []currantturn.Field{event.F("reason", reason)}})
	}
	return len(p), nil
}

// Address returns the address that the server listens on.
func (s *Server) Address() netip.AddrPort {
	return s.listener.Addr().(*net.TCPAddr).AddrPort()
}

// Serve handles requests until Shutdown. It returns a failure and also reports
// it as an event.
func (s *Server) Serve() error {
	err := s.http.Serve(s.listener)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	if s.report != nil {
		s.report(currantturn.Event{Number: event.AdminFailed, Fields: []currantturn.Field{event.F("error", err.Error())}})
	}
	return eris.Wrap(err, "administration API")
}

// Shutdown stops the server once the responses in progress are complete, or when
// the context ends.
func (s *Server) Shutdown(ctx context.Context) error {
	return s.http.Shutdown(ctx)
}
