package core_test

import (
	"bufio"
	"context"
	"crypto/tls"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"testing"
	"time"

	"github.com/currantturn/currantturn"
	"github.com/currantturn/currantturn/internal/core"
	"github.com/currantturn/currantturn/internal/fake/authority"
	"github.com/currantturn/currantturn/internal/fake/backend"
	"github.com/currantturn/currantturn/internal/fake/fabric"
	"github.com/currantturn/currantturn/internal/suite"
	"github.com/currantturn/currantturn/internal/transport/entry"
	"github.com/currantturn/currantturn/internal/transport/identity"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/quic-go/quic-go/http3"
)

func TestCore(t *testing.T) { suite.Run(t, "core") }

var loopback = netip.MustParseAddrPort("127.0.0.1:0")

// plainSealer is a Sealer that authenticates nothing.
type plainSealer struct{}

func (plainSealer) Seal(dst, p []byte) []byte { return append(dst, p...) }

func (plainSealer) Open(_ time.Time, p []byte) ([]byte, error) { return p, nil }

var _ = Describe("the path from callers to backend servers", func() {
	It("replies to requests and keeps a watch open while a balancer stops", func(ctx SpecContext) {
		f, err := fabric.New(fabric.Options{Seed: 1, MaxDelay: 2 * time.Millisecond})
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(f.Close)
		address, err := f.AddService()
		Expect(err).NotTo(HaveOccurred())

		service := currantturn.Service{Name: "verify", Addresses: []netip.AddrPort{address}}
		ca, err := authority.New(time.Now())
		Expect(err).NotTo(HaveOccurred())
		secrets, err := core.NewSecrets(make([]byte, core.MinHashKeyBytes))
		Expect(err).NotTo(HaveOccurred())
		var agents []*core.Agent
		for i := range 3 {
			id := currantturn.BackendID(fmt.Sprintf("verify-%d", i))
			b, err := backend.Start(backend.Options{Name: string(id), Slots: 3, ServiceTime: time.Millisecond})
			Expect(err).NotTo(HaveOccurred())
			DeferCleanup(b.Close)
			files, err := ca.Write(time.Now(), GinkgoT().TempDir(), identity.Peer{Role: currantturn.RoleAgent, Name: string(id)})
			Expect(err).NotTo(HaveOccurred())
			self, err := identity.Open(files, time.Now, func(currantturn.Event) {})
			Expect(err).NotTo(HaveOccurred())
			cert, err := tls.LoadX509KeyPair(files.Certificate, files.Key)
			Expect(err).NotTo(HaveOccurred())
			a, err := core.StartAgent(core.AgentOptions{
				ID: id, Service: "verify", Link: loopback, Stream: loopback, Backend: b.Addr(),
				CallerTLS: &tls.Config{Certificates: []tls.Certificate{cert}}, Identity: self,
				Retention: time.Minute, MaxClaimBytes: 1 << 20,
				Sealer: plainSealer{}, Secrets: secrets, Clock: time.Now, Report: func(currantturn.Event) {},
			})
			Expect(err).NotTo(HaveOccurred())
			DeferCleanup(a.Close)
			agents = append(agents, a)
			service.Backends = append(service.Backends, currantturn.BackendServer{
				ID: id, Agent: a.Link(), Stream: a.Stream(), Slots: 3, Weight: 1, State: currantturn.BackendActive,
			})
		}
		view := currantturn.NewView(1, []currantturn.Service{service})
		for _, a := range agents {
			a.Configure(view)
		}
		var entries []netip.AddrPort
		var balancers []*core.Balancer
		for range 3 {
			e, err := entry.OpenProxy(f.Addr(), loopback)
			Expect(err).NotTo(HaveOccurred())
			b, err := core.StartBalancer(core.BalancerOptions{
				Link: loopback, Entry: e, Sealer: plainSealer{}, Secrets: secrets,
				Clock: time.Now, Report: func(currantturn.Event) {},
			})
			Expect(err).NotTo(HaveOccurred())
			b.Configure(view)
			entries = append(entries, e.Addr())
			balancers = append(balancers, b)
		}
		f.SetBalancers(entries)

		tr := &http3.Transport{TLSClientConfig: &tls.Config{InsecureSkipVerify: true}}
		DeferCleanup(tr.Close)
		client := &http.Client{Transport: tr}
		base := "https://" + address.String()
		watch := get(ctx, client, base+"/watch?every=5ms")
		lines := bufio.NewScanner(watch.Body)

		f.SetBalancers(entries[1:])
		Expect(balancers[0].Close()).To(Succeed())
		for i := range 50 {
			res := get(ctx, client, fmt.Sprintf("%s/check?chassis=%d", base, i))
			body, err := io.ReadAll(res.Body)
			Expect(err).NotTo(HaveOccurred())
			Expect(string(body)).To(Equal(fmt.Sprintf(" /check?chassis=%d\n", i)))
			Expect(lines.Scan()).To(BeTrue())
			Expect(lines.Text()).To(Equal(fmt.Sprint(i)))
		}
		for _, b := range balancers[1:] {
			Expect(b.Close()).To(Succeed())
		}
	}, SpecTimeout(20*time.Second))
})

func get(ctx context.Context, client *http.Client, url string) *http.Response {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	Expect(err).NotTo(HaveOccurred())
	res, err := client.Do(r)
	Expect(err).NotTo(HaveOccurred())
	Expect(res.StatusCode).To(Equal(http.StatusOK))
	return res
}
