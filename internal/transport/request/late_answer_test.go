package request_test

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/currantturn/currantturn"
	"github.com/currantturn/currantturn/internal/transport/request"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/quic-go/quic-go/http3"
)

// serveTwice is a backend server that sends each answer a second time, late: when the
// next request arrives on the same connection, before that one's answer.
func serveTwice(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	r := bufio.NewReader(conn)
	late := ""
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		answer := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(req.URL.Path), req.URL.Path)
		if _, err := io.WriteString(conn, late+answer); err != nil {
			return
		}
		late = answer
	}
}

var _ = Describe("a backend server that sends a second copy of an answer late", func() {
	It("never gives it to the next caller", func() {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(ln.Close)
		go func() {
			for {
				conn, err := ln.Accept()
				if err != nil {
					return
				}
				go serveTwice(conn)
			}
		}()
		a := newFleet(1, 3).agents[0]
		h := request.New(request.Options{
			Service: "verify", Backend: netip.MustParseAddrPort(ln.Addr().String()), Claims: a.claims, Gate: a.gate, Clock: time.Now,
			ApplyEffects: func(*currantturn.Effects) {}, Rand: rand.New(rand.NewPCG(1, 4)),
		})
		DeferCleanup(h.Close)
		for n := range 20 {
			path := fmt.Sprintf("/request-%d", n)
			w := httptest.NewRecorder()
			h.ServeHTTP(w, httptest.NewRequest(http.MethodGet, path, nil))
			Expect(w.Code).To(Equal(200))
			Expect(w.Body.String()).To(Equal(path))
		}
	})
})

var _ = Describe("the planned stop of a server under load", func() {
	It("gives each request that it has begun its whole answer", func(ctx SpecContext) {
		var begun atomic.Int64
		s, addr := startServer(func(w http.ResponseWriter, _ *http.Request) {
			begun.Add(1)
			time.Sleep(time.Duration(rand.IntN(20)) * time.Millisecond)
			_, _ = io.WriteString(w, "whole answer")
		})
		var answered atomic.Int64
		var callers sync.WaitGroup
		for range 16 {
			tr := &http3.Transport{TLSClientConfig: clientTLS}
			DeferCleanup(tr.Close)
			for range 4 {
				callers.Go(func() {
					for {
						res, err := getFrom(ctx, tr, addr)
						if err != nil {
							return
						}
						body, err := io.ReadAll(res.Body)
						_ = res.Body.Close()
						if err != nil || string(body) != "whole answer" {
							return
						}
						answered.Add(1)
					}
				})
			}
		}
		Eventually(ctx, answered.Load).Should(BeNumerically(">", 500))
		Expect(s.Shutdown(ctx)).To(Succeed())
		callers.Wait()
		Expect(answered.Load()).To(Equal(begun.Load()))
	}, SpecTimeout(30*time.Second))
})
