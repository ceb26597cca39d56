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
	"strconv"
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

// sizeHeader has the number of bytes of a request's body, as its caller means to send them.
const sizeHeader = "X-Size"

var loopback = netip.MustParseAddrPort("127.0.0.1:0")

// newServerTLS returns a TLS configuration with a self-signed certificate.
func newServerTLS() *tls.Config {
	key, err := ecdsa.GenerateKey(elliptic.P256(), crand.Reader)
	Expect(err).NotTo(HaveOccurred())
	template := &x509.Certificate{SerialNumber: big.NewInt(1), NotAfter: time.Now().Add(time.Hour)}
	der, err := x509.CreateCertificate(crand.Reader, template, template, &key.PublicKey, key)
	Expect(err).NotTo(HaveOccurred())
	return &tls.Config{Certificates: []tls.Certificate{{Certificate: [][]byte{der}, PrivateKey: key}}}
}

// agent is a handler with its state machines and servers, without a link.
type agent struct {
	claims       *claim.Claims
	gate         *admission.Gate
	handler      *request.Handler
	callerServer *request.PeerServer // serves callers over the same HTTP/3
	peerServer   *request.PeerServer
	runs         atomic.Int64
	refuseAfter  atomic.Int64  // if set, peers' requests are refused as of another service after so many bytes of their body
	shortened    atomic.Int64  // requests whose body ended early without an error
	cancelled    chan struct{} // closed when the backend server's request on /hold is cancelled
	release      chan struct{} // the backend server answers /hold once this is closed
}

// fleet is the agents of one service, which exchange messages in memory.
type fleet struct {
	agents []*agent
	byLink map[netip.AddrPort]*agent
	client *http.Client
}

// newFleet starts n agents, whose backend servers have the given number of slots.
func newFleet(n, slots int) *fleet {
	f := &fleet{byLink: map[netip.AddrPort]*agent{}}
	service := currantturn.Service{Name: "verify", Limits: currantturn.Limits{QueuePerBackend: 1}}
	serverTLS := newServerTLS()
	for i := range n {
		a := &agent{cancelled: make(chan struct{}), release: make(chan struct{})}
		server := httptest.NewServer(http.HandlerFunc(a.serveBackend))
		link := netip.MustParseAddrPort(fmt.Sprintf("127.0.0.1:%d", 100+i))
		id := currantturn.BackendID(fmt.Sprint("verify-", i))
		a.claims = claim.New(claim.Options{
			Service: "verify", Self: link, Incarnation: 1, Started: time.Now().Add(-time.Minute), Retention: time.Minute,
			Bytes: 1 << 20, ClockSkew: claim.DefaultClockSkew,
		})
		a.gate = admission.New(admission.Options{ID: id, Service: "verify", WatchLimit: 1, Rand: rand.New(rand.NewPCG(1, 1))})
		a.handler = request.New(request.Options{
			Service: "verify", Backend: netip.MustParseAddrPort(server.Listener.Addr().String()), Claims: a.claims, Gate: a.gate,
			PeerTLS: &tls.Config{InsecureSkipVerify: true}, Clock: time.Now, Rand: rand.New(rand.NewPCG(1, 2)),
			ApplyEffects: func(out *currantturn.Effects) { f.deliver(link, out) },
		})
		var err error
		a.callerServer, err = request.StartPeerServer(loopback, serverTLS, a.handler)
		Expect(err).NotTo(HaveOccurred())
		a.peerServer, err = request.StartPeerServer(loopback, serverTLS, a.servePeers(a.handler.PeerHandler()))
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(func() {
			_ = a.callerServer.Close()
			_ = a.peerServer.Close()
			_ = a.handler.Close()
			server.CloseClientConnections()
			server.Close()
		})
		f.agents = append(f.agents, a)
		f.byLink[link] = a
		service.Backends = append(service.Backends, currantturn.BackendServer{
			ID: id, Agent: link, Stream: a.peerServer.Addr(), Slots: slots, Weight: 1, State: currantturn.BackendActive,
		})
	}
	view := currantturn.NewView(1, []currantturn.Service{service})
	for _, a := range f.agents {
		a.claims.Configure(time.Now().Add(-time.Minute), view, &currantturn.Effects{})
		a.gate.Configure(time.Now(), view, &currantturn.Effects{})
	}
	transport := &http3.Transport{TLSClientConfig: &tls.Config{InsecureSkipVerify: true}}
	DeferCleanup(transport.Close)
	f.client = &http.Client{Transport: transport}
	return f
}

// deliver passes every sent message to its receiver at once, each on a goroutine
// of its own, so that their order may change.
func (f *fleet) deliver(from netip.AddrPort, out *currantturn.Effects) {
	for _, s := range out.Sends {
		go func() {
			var sent currantturn.Effects
			f.byLink[s.To].claims.Handle(time.Now(), from, s.Message, &sent)
			f.deliver(s.To, &sent)
		}()
	}
}

// servePeers returns the handler of peers' requests, or one that refuses them if
// refuseAfter is set.
func (a *agent) servePeers(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		n := a.refuseAfter.Load()
		if n == 0 {
			next.ServeHTTP(w, r)
			return
		}
		_, _ = io.CopyN(io.Discard, r.Body, n)
		w.WriteHeader(http.StatusMisdirectedRequest)
	})
}

// serveBackend is the backend server of an agent; the path chooses its behaviour.
func (a *agent) serveBackend(w http.ResponseWriter, r *http.Request) {
	a.runs.Add(1)
	body, err := io.ReadAll(r.Body) // net/http detects a closed connection only after the body is read
	if size, _ := strconv.Atoi(r.Header.Get(sizeHeader)); err == nil && len(body) < size {
		a.shortened.Add(1)
	}
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
		case <-a.release:
		case <-r.Context().Done():
			close(a.cancelled)
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

// send sends a request to an agent and returns its answer and the body.
func (f *fleet) send(ctx context.Context, agentIndex int, method, path, body string, headers ...string) (*http.Response, string, error) {
	url := "https://" + f.agents[agentIndex].callerServer.Addr().String() + path
	r, err := http.NewRequestWithContext(ctx, method, url, strings.NewReader(body))
	Expect(err).NotTo(HaveOccurred())
	r.Host = "verify"
	for i := 0; i < len(headers); i += 2 {
		r.Header.Add(headers[i], headers[i+1])
	}
	res, err := f.client.Do(r)
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

var _ = Describe("Handler", func() {
	It("runs a request once for its key and repeats the answer at any agent", func(ctx SpecContext) {
		f := newFleet(3, 3)
		for range 5 {
			key := newKey()
			for i := range 3 {
				res, body, err := f.send(ctx, i, "POST", "/check", "TZ-1", protocol.HeaderKey, key)
				Expect(err).NotTo(HaveOccurred())
				Expect([]any{res.StatusCode, outcome(res), body}).To(Equal([]any{200, "answered", "/check TZ-1"}))
			}
			res, _, err := f.send(ctx, 1, "POST", "/check", "TZ-2", protocol.HeaderKey, key)
			Expect(err).NotTo(HaveOccurred())
			Expect([]any{res.StatusCode, outcome(res)}).To(Equal([]any{422, "key_reused"}))
		}
		Expect(f.agents[0].runs.Load() + f.agents[1].runs.Load() + f.agents[2].runs.Load()).To(BeEquivalentTo(5))
		for _, a := range f.agents {
			Expect(a.handler.AwaitConfirmations(ctx)).To(Succeed())
		}
	}, SpecTimeout(20*time.Second))

	It("repeats a large answer as not kept, and a cut-off answer as outcome unknown", func(ctx SpecContext) {
		f := newFleet(2, 3)
		key := newKey()
		_, body, err := f.send(ctx, 0, "POST", "/large", "", protocol.HeaderKey, key)
		Expect(err).NotTo(HaveOccurred())
		Expect(body).To(HaveLen(8 << 20))
		res, _, err := f.send(ctx, 1, "POST", "/large", "", protocol.HeaderKey, key)
		Expect(err).NotTo(HaveOccurred())
		Expect([]any{res.StatusCode, outcome(res)}).To(Equal([]any{409, "answer_not_kept"}))

		key = newKey()
		_, _, err = f.send(ctx, 0, "POST", "/cut", "", protocol.HeaderKey, key)
		Expect(err).To(HaveOccurred())
		res, _, err = f.send(ctx, 1, "POST", "/cut", "", protocol.HeaderKey, key)
		Expect(err).NotTo(HaveOccurred())
		Expect([]any{res.StatusCode, outcome(res)}).To(Equal([]any{502, "outcome_unknown"}))
	}, SpecTimeout(20*time.Second))

	DescribeTable("never relays a cut-off answer as complete", func(ctx SpecContext, path string) {
		f := newFleet(1, 3)
		res, body, err := f.send(ctx, 0, "GET", path, "")
		Expect(err != nil || outcome(res) == "outcome_unknown").To(BeTrue(), "%d bytes were relayed as a complete answer", len(body))
	},
		Entry("with a Content-Length", "/cut", SpecTimeout(10*time.Second)),
		Entry("with chunked encoding", "/cut-chunked", SpecTimeout(10*time.Second)),
		Entry("ended by closing the connection", "/until-close", SpecTimeout(10*time.Second)),
	)

	It("adds a digest to an answer without a length, and removes hop-by-hop headers", func(ctx SpecContext) {
		f := newFleet(1, 3)
		res, body, err := f.send(ctx, 0, "GET", "/large", "")
		Expect(err).NotTo(HaveOccurred())
		digest := sha256.Sum256([]byte(body))
		Expect(res.Trailer.Get(protocol.HeaderDigest)).To(Equal("sha-256=:" + base64.StdEncoding.EncodeToString(digest[:]) + ":"))
		res, _, err = f.send(ctx, 0, "GET", "/", "", "Proxy-Authorization", "a", "X-End", "c")
		Expect(err).NotTo(HaveOccurred())
		Expect(res.Header.Get("X-Seen")).To(Equal("c"))
	}, SpecTimeout(20*time.Second))

	It("refuses at once a request that cannot get a slot, and never runs its key", func(ctx SpecContext) {
		f := newFleet(1, 1)
		var wg sync.WaitGroup
		defer wg.Wait()
		for range 2 { // one runs, the other fills the queue
			wg.Go(func() {
				defer GinkgoRecover()
				res, _, err := f.send(ctx, 0, "POST", "/hold", "", protocol.HeaderKey, newKey())
				Expect(err).NotTo(HaveOccurred())
				Expect(outcome(res)).To(Equal("answered"))
			})
		}
		Eventually(func() int { l := f.agents[0].gate.Load(time.Now()); return l.Running + l.Queued }).Should(Equal(2))
		key := newKey()
		for range 2 {
			res, body, err := f.send(ctx, 0, "POST", "/hold", "", protocol.HeaderKey, key)
			Expect(err).NotTo(HaveOccurred())
			Expect([]any{res.StatusCode, outcome(res)}).To(Equal([]any{503, "not_run"}))
			Expect(res.Header.Get(protocol.HeaderRetryAfter)).To(Equal("1"))
			var refusal protocol.OutcomeBody
			Expect(json.Unmarshal([]byte(body), &refusal)).To(Succeed())
			Expect(refusal.Key).To(Equal(key))
		}
		close(f.agents[0].release)
		wg.Wait()
		Expect(f.agents[0].runs.Load()).To(BeEquivalentTo(2))
		res, _, err := f.send(ctx, 0, "POST", "/hold", "", protocol.HeaderKey, key)
		Expect(err).NotTo(HaveOccurred())
		Expect(outcome(res)).To(Equal("not_run"), "a closed key must not run when a slot is free again")
	}, SpecTimeout(20*time.Second))

	It("forwards requests of a draining agent to a peer and runs none itself", func(ctx SpecContext) {
		f := newFleet(2, 3)
		f.agents[0].gate.SetLeaving(true)
		for _, headers := range [][]string{nil, {protocol.HeaderKey, newKey()}, {protocol.HeaderWatch, "?1"}} {
			res, body, err := f.send(ctx, 0, "POST", "/check", "TZ-1", headers...)
			Expect(err).NotTo(HaveOccurred())
			Expect([]any{outcome(res), body}).To(Equal([]any{"answered", "/check TZ-1"}))
		}
		Expect(f.agents[0].runs.Load()).To(BeZero())
		Expect(f.agents[1].runs.Load()).To(BeEquivalentTo(3))
	}, SpecTimeout(20*time.Second))

	DescribeTable("forwards a cancellation to the backend server", func(ctx SpecContext, headers ...string) {
		f := newFleet(1, 1)
		if len(headers) > 0 {
			headers = append(headers, newKey())
		}
		cancellable, cancel := context.WithCancel(ctx)
		done := make(chan struct{})
		go func() {
			defer GinkgoRecover()
			defer close(done)
			_, _, err := f.send(cancellable, 0, "POST", "/hold", "", headers...)
			Expect(err).To(MatchError(context.Canceled))
		}()
		Eventually(f.agents[0].runs.Load).Should(BeEquivalentTo(1))
		cancel()
		Eventually(ctx, f.agents[0].cancelled).Should(BeClosed())
		<-done
		Eventually(func() int { return f.agents[0].gate.Load(time.Now()).Running }).Should(BeZero())
	},
		Entry("of a request without a key", SpecTimeout(10*time.Second)),
		Entry("of a request with a key", protocol.HeaderKey, SpecTimeout(10*time.Second)),
	)

	It("refuses at its deadline a request whose body does not arrive", func(ctx SpecContext) {
		f := newFleet(1, 1)
		body, neverWritten := io.Pipe()
		DeferCleanup(neverWritten.Close)
		r, err := http.NewRequestWithContext(ctx, http.MethodPost, "https://"+f.agents[0].callerServer.Addr().String()+"/check", body)
		Expect(err).NotTo(HaveOccurred())
		r.Header.Set(protocol.HeaderKey, newKey())
		r.Header.Set(protocol.HeaderTimeout, "0.2")
		res, err := f.client.Do(r)
		Expect(err).NotTo(HaveOccurred())
		Expect(outcome(res)).To(Equal("not_accepted"))
		Expect(res.Body.Close()).To(Succeed())
		Expect(f.agents[0].runs.Load()).To(BeZero())
	}, SpecTimeout(10*time.Second))

	It("does not run a request that a peer forwarded for another service", func(ctx SpecContext) {
		f := newFleet(1, 1)
		r := httptest.NewRequest(http.MethodGet, "/check", nil)
		r.Header.Set(protocol.HeaderService, "reports")
		w := httptest.NewRecorder()
		f.agents[0].handler.PeerHandler().ServeHTTP(w, r)
		Expect(w.Code).To(Equal(http.StatusMisdirectedRequest))
		Expect(f.agents[0].runs.Load()).To(BeZero())
		Expect(f.agents[0].handler.Counters().ForeignService).To(Equal(uint64(1)))
	})

	It("answers not run when the backend server cannot be reached", func(ctx SpecContext) {
		f := newFleet(1, 1)
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		unreachable := netip.MustParseAddrPort(ln.Addr().String())
		Expect(ln.Close()).To(Succeed())
		a := f.agents[0]
		h := request.New(request.Options{
			Service: "verify", Backend: unreachable, Claims: a.claims, Gate: a.gate, Clock: time.Now,
			ApplyEffects: func(*currantturn.Effects) {}, Rand: rand.New(rand.NewPCG(1, 3)),
		})
		for _, method := range []string{"GET", "POST"} {
			w := httptest.NewRecorder()
			r := httptest.NewRequest(method, "/check", strings.NewReader(""))
			h.ServeHTTP(w, r)
			Expect([]any{w.Code, w.Header().Get(protocol.HeaderOutcome)}).To(Equal([]any{503, "not_run"}))
		}
	})
})
