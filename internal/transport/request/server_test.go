package request_test

import (
	"context"
	"crypto/tls"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/currantturn/currantturn/internal/transport/request"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/quic-go/quic-go"
	"github.com/quic-go/quic-go/http3"
)

// clientTLS accepts any certificate of an HTTP/3 server.
var clientTLS = &tls.Config{InsecureSkipVerify: true, NextProtos: []string{http3.NextProtoH3}}

// startServer starts a server with the given handler and returns its address.
func startServer(h http.HandlerFunc) (*request.Server, *net.UDPAddr) {
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(loopback))
	Expect(err).NotTo(HaveOccurred())
	s := request.NewServer(h, http3.ConfigureTLSConfig(newServerTLS()), &quic.Config{MaxIdleTimeout: time.Minute})
	go func() { _ = s.Serve(conn) }()
	DeferCleanup(func() {
		_ = s.Close()
		_ = conn.Close()
	})
	return s, conn.LocalAddr().(*net.UDPAddr)
}

// getFrom requests the root of the server at addr over a transport.
func getFrom(ctx context.Context, tr *http3.Transport, addr *net.UDPAddr) (*http.Response, error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "https://"+addr.String(), nil)
	Expect(err).NotTo(HaveOccurred())
	return tr.RoundTrip(r)
}

var _ = Describe("the planned stop of a server", func() {
	It("does not wait for a client that ignores the request to close its connection", func(ctx SpecContext) {
		s, addr := startServer(func(http.ResponseWriter, *http.Request) {})
		conn, err := quic.DialAddr(ctx, addr.String(), clientTLS, &quic.Config{KeepAlivePeriod: time.Second})
		Expect(err).NotTo(HaveOccurred())
		Expect(s.Shutdown(ctx)).To(Succeed())
		Eventually(conn.Context().Done()).Should(BeClosed())
	}, SpecTimeout(20*time.Second))

	It("does not wait for a client whose end it did not receive", func(ctx SpecContext) {
		s, addr := startServer(func(http.ResponseWriter, *http.Request) {})
		udp, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(loopback))
		Expect(err).NotTo(HaveOccurred())
		client := &quic.Transport{Conn: udp}
		tr := &http3.Transport{
			TLSClientConfig: clientTLS,
			Dial: func(ctx context.Context, _ string, tlsConfig *tls.Config, cfg *quic.Config) (*quic.Conn, error) {
				return client.DialEarly(ctx, addr, tlsConfig, cfg)
			},
		}
		res, err := getFrom(ctx, tr, addr)
		Expect(err).NotTo(HaveOccurred())
		Expect(res.Body.Close()).To(Succeed())
		Expect(udp.Close()).To(Succeed()) // no packet tells the server of it
		Expect(s.Shutdown(ctx)).To(Succeed())
	}, SpecTimeout(20*time.Second))

	It("waits for a request that takes longer than idle connections may stay open", func(ctx SpecContext) {
		started, release := make(chan struct{}), make(chan struct{})
		s, addr := startServer(func(w http.ResponseWriter, _ *http.Request) {
			close(started)
			<-release
			_, _ = io.WriteString(w, "whole answer")
		})
		tr := &http3.Transport{TLSClientConfig: clientTLS}
		DeferCleanup(tr.Close)
		body := make(chan string, 1)
		go func() {
			defer GinkgoRecover()
			res, err := getFrom(ctx, tr, addr)
			Expect(err).NotTo(HaveOccurred())
			p, err := io.ReadAll(res.Body)
			Expect(err).NotTo(HaveOccurred())
			body <- string(p)
		}()
		<-started
		stopped := make(chan error, 1)
		go func() { stopped <- s.Shutdown(ctx) }()
		Consistently(stopped, 3*time.Second).ShouldNot(Receive())
		close(release)
		Eventually(ctx, body).Should(Receive(Equal("whole answer")))
		Eventually(ctx, stopped).Should(Receive(BeNil()))
	}, SpecTimeout(20*time.Second))
})
