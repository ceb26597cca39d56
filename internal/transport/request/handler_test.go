package request_test

import (
	"bytes"
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	crand "crypto/rand"
	"crypto/sha256"
	"crypto/tls"
	"crypto/x509"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"io"
	"math/big"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/currantturn/currantturn"
	"github.com/currantturn/currantturn/internal/coordination/admission"
	"github.com/currantturn/currantturn/internal/coordination/claim"
	protocol "github.com/currantturn/currantturn/internal/protocol/request"
	"github.com/currantturn/currantturn/internal/suite"
	"github.com/currantturn/currantturn/internal/transport/request"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/quic-go/quic-go/http3"
)

func TestRequest(t *testing.T) { suite.Run(t, "transport/request") }

var loopback = netip.MustParseAddrPort("127.0.0.1:0")

func certificate() *tls.Config {
	key, err := ecdsa.GenerateKey(elliptic.P256(), crand.Reader)
	Expect(err).NotTo(HaveOccurred())
	template := &x509.Certificate{SerialNumber: big.NewInt(1), NotAfter: time.Now().Add(time.Hour)}
	der, err := x509.CreateCertificate(crand.Reader, template, template, &key.PublicKey, key)
	Expect(err).NotTo(HaveOccurred())
	return &tls.Config{Certificates: []tls.Certificate{{Certificate: [][]byte{der}, PrivateKey: key}}}
}

// agent is a handler with its machines and servers, without links.
type agent struct {
	claims  *claim.Claims
	gate    *admission.Gate
	handler *request.Handler
	callers *request.PeerServer // serves callers here: the same HTTP/3
	peers   *request.PeerServer
	runs    atomic.Int64
	stopped chan struct{} // the backend server has seen a cancellation
	hold    chan struct{} // the backend server answers /hold when closed
}

type bench struct {
	agents []*agent
	byLink map[netip.AddrPort]*agent
	client *http.Client
}

func newBench(n, slots int) *bench {
	b := &bench{byLink: map[netip.AddrPort]*agent{}}
	service := currantturn.Service{Name: "verify", Limits: currantturn.Limits{QueuePerBackend: 1}}
	cfg := certificate()
	for i := range n {
		a := &agent{stopped: make(chan struct{}), hold: make(chan struct{})}
		server := httptest.NewServer(http.HandlerFunc(a.backend))
		link := netip.MustParseAddrPort(fmt.Sprintf("127.0.0.1:%d", 100+i))
		id := currantturn.BackendID(fmt.Sprint("verify-", i))
		a.claims = claim.New(claim.Options{
			Service: "verify", Self: link, Incarnation: 1, Started: time.Now().Add(-time.Minute), Retention: time.Minute,
			Bytes: 1 << 20, ClockSkew: claim.DefaultClockSkew,
		})
		a.gate = admission.New(admission.Options{ID: id, Service: "verify", Watches: 1, Rand: rand.New(rand.NewPCG(1, 1))})
		a.handler = request.New(request.Options{
			Service: "verify", Backend: netip.MustParseAddrPort(server.Listener.Addr().String()), Claims: a.claims, Gate: a.gate,
			PeerTLS: &tls.Config{InsecureSkipVerify: true}, Clock: time.Now, Rand: rand.New(rand.NewPCG(1, 2)),
			Carry: func(out *currantturn.Effects) { b.carry(link, out) },
		})
		var err error
		a.callers, err = request.StartPeers(loopback, cfg, a.handler)
		Expect(err).NotTo(HaveOccurred())
		a.peers, err = request.StartPeers(loopback, cfg, a.handler.Peer())
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(func() {
			_ = a.callers.Close()
			_ = a.peers.Close()
			_ = a.handler.Close()
			server.CloseClientConnections()
			server.Close()
		})
		b.agents = append(b.agents, a)
		b.byLink[link] = a
		service.Backends = append(service.Backends, currantturn.BackendServer{
			ID: id, Agent: link, Stream: a.peers.Addr(), Slots: slots, Weight: 1, State: currantturn.BackendActive,
		})
	}
	view := currantturn.NewView(1, []currantturn.Service{service})
	for _, a := range b.agents {
		a.claims.Configure(time.Now().Add(-time.Minute), view, &currantturn.Effects{})
		a.gate.Configure(time.Now(), view, &currantturn.Effects{})
	}
	tr := &http3.Transport{TLSClientConfig: &tls.Config{InsecureSkipVerify: true}}
	DeferCleanup(tr.Close)
	b.client = &http.Client{Transport: tr}
	return b
}

// carry delivers messages at once, on goroutines of their own.
func (b *bench) carry(from netip.AddrPort, out *currantturn.Effects) {
	for _, s := range out.Sends {
		go func() {
			var more currantturn.Effects
			b.byLink[s.To].claims.Handle(time.Now(), from, s.Message, &more)
			b.carry(s.To, &more)
		}()
	}
}

func (a *agent) backend(w http.ResponseWriter, r *http.Request) {
	a.runs.Add(1)
	body, _ := io.ReadAll(r.Body) // net/http sees a closed connection only after that
	switch r.URL.Path {
	case "/cut", "/cut-chunked":
		if r.URL.Path == "/cut" {
			w.Header().Set("Content-Length", "1000000")
		}
		_, _ = w.Write(make([]byte, 500000))
		w.(http.Flusher).Flush()
		panic(http.ErrAbortHandler)
	case "/until-close":
		conn, buf, _ := w.(http.Hijacker).Hijack()
		_, _ = buf.WriteString("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\npartial")
		_ = buf.Flush()
		_ = conn.Close()
		return
	case "/hold":
		select {
		case <-a.hold:
		case <-r.Context().Done():
			close(a.stopped)
			return
		}
	case "/large":
		for range 256 {
			_, _ = w.Write(bytes.Repeat([]byte("x"), 32<<10))
		}
		return
	}
	w.Header().Set("X-Seen", r.Header.Get("Proxy-Authorization")+r.Header.Get("X-Named")+r.Header.Get("X-End"))
	_, _ = fmt.Fprintf(w, "%s %s", r.URL.Path, body)
}

func (b *bench) do(ctx context.Context, at int, method, path, body string, headers ...string) (*http.Response, string, error) {
	url := "https://" + b.agents[at].callers.Addr().String() + path
	r, err := http.NewRequestWithContext(ctx, method, url, strings.NewReader(body))
	Expect(err).NotTo(HaveOccurred())
	r.Host = "verify"
	for i := 0; i < len(headers); i += 2 {
		r.Header.Add(headers[i], headers[i+1])
	}
	res, err := b.client.Do(r)
	if err != nil {
		return nil, "", err
	}
	defer func() { _ = res.Body.Close() }()
	p, err := io.ReadAll(res.Body)
	return res, string(p), err
}

func newKey() string {
	var random [10]byte
	_, _ = crand.Read(random[:])
	return protocol.NewKey(time.Now(), random).String()
}

func outcome(res *http.Response) string { return res.Header.Get(protocol.HeaderOutcome) }

var _ = Describe("handler", func() {
	It("runs a key once and repeats its answer at any agent", func(ctx SpecContext) {
		b := newBench(3, 3)
		for range 5 {
			key := newKey()
			for at := range 3 {
				res, body, err := b.do(ctx, at, "POST", "/check", "TZ-1", protocol.HeaderKey, key)
				Expect(err).NotTo(HaveOccurred())
				Expect([]any{res.StatusCode, outcome(res), body}).To(Equal([]any{200, "answered", "/check TZ-1"}))
			}
			res, _, err := b.do(ctx, 1, "POST", "/check", "TZ-2", protocol.HeaderKey, key)
			Expect(err).NotTo(HaveOccurred())
			Expect([]any{res.StatusCode, outcome(res)}).To(Equal([]any{422, "key_reused"}))
		}
		Expect(b.agents[0].runs.Load() + b.agents[1].runs.Load() + b.agents[2].runs.Load()).To(BeEquivalentTo(5))
		for _, a := range b.agents {
			Expect(a.handler.Settle(ctx)).To(Succeed())
		}
	}, SpecTimeout(20*time.Second))

	It("tells that a large answer was not kept, and a cut one as unknown", func(ctx SpecContext) {
		b := newBench(2, 3)
		key := newKey()
		_, body, err := b.do(ctx, 0, "POST", "/large", "", protocol.HeaderKey, key)
		Expect(err).NotTo(HaveOccurred())
		Expect(body).To(HaveLen(8 << 20))
		res, _, err := b.do(ctx, 1, "POST", "/large", "", protocol.HeaderKey, key)
		Expect(err).NotTo(HaveOccurred())
		Expect([]any{res.StatusCode, outcome(res)}).To(Equal([]any{409, "answer_not_kept"}))

		key = newKey()
		_, _, err = b.do(ctx, 0, "POST", "/cut", "", protocol.HeaderKey, key)
		Expect(err).To(HaveOccurred())
		res, _, err = b.do(ctx, 1, "POST", "/cut", "", protocol.HeaderKey, key)
		Expect(err).NotTo(HaveOccurred())
		Expect([]any{res.StatusCode, outcome(res)}).To(Equal([]any{502, "outcome_unknown"}))
	}, SpecTimeout(20*time.Second))

	DescribeTable("never passes a cut answer as a whole one", func(ctx SpecContext, path string) {
		b := newBench(1, 3)
		res, body, err := b.do(ctx, 0, "GET", path, "")
		Expect(err != nil || outcome(res) == "outcome_unknown").To(BeTrue(), "%d bytes passed as whole", len(body))
	},
		Entry("with a length", "/cut", SpecTimeout(10*time.Second)),
		Entry("in chunks", "/cut-chunked", SpecTimeout(10*time.Second)),
		Entry("without either", "/until-close", SpecTimeout(10*time.Second)),
	)

	It("gives an answer without a length a digest, and drops headers of one connection", func(ctx SpecContext) {
		b := newBench(1, 3)
		res, body, err := b.do(ctx, 0, "GET", "/large", "")
		Expect(err).NotTo(HaveOccurred())
		sum := sha256.Sum256([]byte(body))
		Expect(res.Trailer.Get(protocol.HeaderDigest)).To(Equal("sha-256=:" + base64.StdEncoding.EncodeToString(sum[:]) + ":"))
		res, _, err = b.do(ctx, 0, "GET", "/", "", "Proxy-Authorization", "a", "X-End", "c")
		Expect(err).NotTo(HaveOccurred())
		Expect(res.Header.Get("X-Seen")).To(Equal("c"))
	}, SpecTimeout(20*time.Second))

	It("refuses at once what cannot get a slot, and lets it never run", func(ctx SpecContext) {
		b := newBench(1, 1)
		var wg sync.WaitGroup
		defer wg.Wait()
		for range 2 { // one runs, one fills the queue
			wg.Go(func() {
				defer GinkgoRecover()
				res, _, err := b.do(ctx, 0, "POST", "/hold", "", protocol.HeaderKey, newKey())
				Expect(err).NotTo(HaveOccurred())
				Expect(outcome(res)).To(Equal("answered"))
			})
		}
		Eventually(func() int { l := b.agents[0].gate.Load(time.Now()); return l.Running + l.Queued }).Should(Equal(2))
		key := newKey()
		for range 2 {
			res, body, err := b.do(ctx, 0, "POST", "/hold", "", protocol.HeaderKey, key)
			Expect(err).NotTo(HaveOccurred())
			Expect([]any{res.StatusCode, outcome(res)}).To(Equal([]any{503, "not_run"}))
			Expect(res.Header.Get(protocol.HeaderRetryAfter)).To(Equal("1"))
			var told protocol.Body
			Expect(json.Unmarshal([]byte(body), &told)).To(Succeed())
			Expect(told.Key).To(Equal(key))
		}
		close(b.agents[0].hold)
		wg.Wait()
		Expect(b.agents[0].runs.Load()).To(BeEquivalentTo(2))
		res, _, err := b.do(ctx, 0, "POST", "/hold", "", protocol.HeaderKey, key)
		Expect(err).NotTo(HaveOccurred())
		Expect(outcome(res)).To(Equal("not_run"), "a free slot must not revive a closed key")
	}, SpecTimeout(20*time.Second))

	It("passes requests of a draining agent to a peer and runs none itself", func(ctx SpecContext) {
		b := newBench(2, 3)
		b.agents[0].gate.SetLeaving(true)
		for _, headers := range [][]string{nil, {protocol.HeaderKey, newKey()}, {protocol.HeaderWatch, "?1"}} {
			res, body, err := b.do(ctx, 0, "POST", "/check", "TZ-1", headers...)
			Expect(err).NotTo(HaveOccurred())
			Expect([]any{outcome(res), body}).To(Equal([]any{"answered", "/check TZ-1"}))
		}
		Expect(b.agents[0].runs.Load()).To(BeZero())
		Expect(b.agents[1].runs.Load()).To(BeEquivalentTo(3))
	}, SpecTimeout(20*time.Second))

	DescribeTable("passes a cancellation on to the backend server", func(ctx SpecContext, headers ...string) {
		b := newBench(1, 1)
		if len(headers) > 0 {
			headers = append(headers, newKey())
		}
		cancellable, cancel := context.WithCancel(ctx)
		done := make(chan struct{})
		go func() {
			defer GinkgoRecover()
			defer close(done)
			_, _, err := b.do(cancellable, 0, "POST", "/hold", "", headers...)
			Expect(err).To(MatchError(context.Canceled))
		}()
		Eventually(b.agents[0].runs.Load).Should(BeEquivalentTo(1))
		cancel()
		Eventually(ctx, b.agents[0].stopped).Should(BeClosed())
		<-done
		Eventually(func() int { return b.agents[0].gate.Load(time.Now()).Running }).Should(BeZero())
	},
		Entry("of a plain request", SpecTimeout(10*time.Second)),
		Entry("of a claimed request", protocol.HeaderKey, SpecTimeout(10*time.Second)),
	)

	It("runs nothing that a peer of another service passes here", func(ctx SpecContext) {
		b := newBench(1, 1)
		r := httptest.NewRequest(http.MethodGet, "/check", nil)
		r.Header.Set(protocol.HeaderService, "reports")
		w := httptest.NewRecorder()
		b.agents[0].handler.Peer().ServeHTTP(w, r)
		Expect(w.Code).To(Equal(http.StatusMisdirectedRequest))
		Expect(b.agents[0].runs.Load()).To(BeZero())
		Expect(b.agents[0].handler.Counters().Foreign).To(Equal(uint64(1)))
	})

	It("tells not run when the backend server cannot be reached", func(ctx SpecContext) {
		b := newBench(1, 1)
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		gone := netip.MustParseAddrPort(ln.Addr().String())
		Expect(ln.Close()).To(Succeed())
		a := b.agents[0]
		h := request.New(request.Options{
			Service: "verify", Backend: gone, Claims: a.claims, Gate: a.gate, Clock: time.Now,
			Carry: func(*currantturn.Effects) {}, Rand: rand.New(rand.NewPCG(1, 3)),
		})
		for _, method := range []string{"GET", "POST"} {
			w := httptest.NewRecorder()
			r := httptest.NewRequest(method, "/check", strings.NewReader(""))
			h.ServeHTTP(w, r)
			Expect([]any{w.Code, w.Header().Get(protocol.HeaderOutcome)}).To(Equal([]any{503, "not_run"}))
		}
	})
})
