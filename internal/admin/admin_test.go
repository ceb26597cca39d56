package admin_test

import (
	"bytes"
	"context"
	"crypto/tls"
	"io"
	"net/http"
	"net/netip"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/currantturn/currantturn"
	"github.com/currantturn/currantturn/internal/admin"
	"github.com/currantturn/currantturn/internal/audit"
	"github.com/currantturn/currantturn/internal/event"
	"github.com/currantturn/currantturn/internal/fake/authority"
	"github.com/currantturn/currantturn/internal/metric"
	"github.com/currantturn/currantturn/internal/suite"
	"github.com/currantturn/currantturn/internal/transport/identity"
	"github.com/currantturn/currantturn/pkg/patch"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/sebdah/goldie/v2"
)

func TestAdmin(t *testing.T) { suite.Run(t, "admin") }

var (
	loopback = netip.MustParseAddrPort("127.0.0.1:0")
	start    = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
)

const addService = `{"builds_on": 7, "operations": [{"op": "add_service", "service": "verify", "addresses": ["192.0.2.1:443"]}]}`

func status() admin.Status {
	return admin.Status{
		Name: "verify-1", Role: currantturn.RoleAgent, FailureDomain: "upanga", Release: "0.1.0",
		Started: start, Uptime: 90 * time.Second, Serving: true,
		Configuration: admin.ConfigurationStatus{Version: 7, Position: 9, HighestPosition: 10, Digest: "00ff", InForce: start, LastRead: start},
		Members:       map[string]int{"suspect": 1, "alive": 6},
		Flows:         2000,
		Requests:      &admin.Requests{Slots: 3, Running: 2, Queued: 1, Records: 40},
	}
}

func providers() admin.Providers {
	return admin.Providers{
		Status: status,
		Verdicts: func(limit int) []admin.Verdict {
			return []admin.Verdict{{Position: uint64(limit), Author: "asha", Published: start, Verdict: audit.Rejected, Reason: "no such service"}}
		},
		Members: func(int) []admin.Member {
			return []admin.Member{{
				Name: "verify-2", Role: currantturn.RoleAgent, FailureDomain: "upanga",
				Link: netip.MustParseAddrPort("192.0.2.2:7000"), State: "alive", Incarnation: 3, Since: start,
			}}
		},
		Flows: func(int) []admin.BackendFlows { return nil },
		Audit: audit.NewTrail(nil, "verify-1", 4).Entries,
		DryRun: func(_ context.Context, against currantturn.Version, p []byte) (admin.DryRun, error) {
			return admin.CheckPatchAgainst(&patch.Configuration{Version: 7}, against, p)
		},
		Metrics: metric.NewRegistry(),
	}
}

// serve starts a server that runs until the end of the spec and returns its
// address.
func serve(opts admin.Options) netip.AddrPort {
	GinkgoHelper()
	opts.Address = loopback
	s, err := admin.Listen(opts)
	Expect(err).NotTo(HaveOccurred())
	done := make(chan error, 1)
	go func() { done <- s.Serve() }()
	DeferCleanup(func() {
		Expect(s.Shutdown(context.Background())).To(Succeed())
		Expect(<-done).NotTo(HaveOccurred())
	})
	return s.Address()
}

func request(address netip.AddrPort, method, path, body string) (int, string) {
	GinkgoHelper()
	r, err := http.NewRequest(method, "http://"+address.String()+path, strings.NewReader(body))
	Expect(err).NotTo(HaveOccurred())
	w, err := http.DefaultClient.Do(r)
	Expect(err).NotTo(HaveOccurred())
	defer w.Body.Close()
	text, err := io.ReadAll(w.Body)
	Expect(err).NotTo(HaveOccurred())
	return w.StatusCode, string(text)
}

func TestText(t *testing.T) {
	p := providers()
	for name, write := range map[string]func(io.Writer) error{
		"status_text":   func(w io.Writer) error { s := status(); return s.WriteText(w) },
		"members_text":  func(w io.Writer) error { return admin.WriteMembers(w, p.Members(1)) },
		"flows_text":    func(w io.Writer) error { return admin.WriteFlows(w, []admin.BackendFlows{{"verify", "verify-1", 7}}) },
		"verdicts_text": func(w io.Writer) error { return admin.WriteVerdicts(w, p.Verdicts(1)) },
		"audit_text": func(w io.Writer) error {
			return admin.WriteAudit(w, []audit.Entry{
				{Position: 1, Author: "asha", Published: start, Seen: start, Verdict: audit.Accepted, Version: 1, InForce: start},
				{Position: 2, Author: "juma\t\x1b[2J", Published: start, Seen: start, Verdict: audit.Pending},
			})
		},
	} {
		var b bytes.Buffer
		if err := write(&b); err != nil {
			t.Fatal(err)
		}
		goldie.New(t).Assert(t, name, b.Bytes())
	}
}

var _ = Describe("resources", func() {
	It("match their golden files", func() {
		address := serve(admin.Options{Insecure: true, Providers: providers()})
		g := goldie.New(GinkgoTB())
		for name, path := range map[string]string{
			"status": admin.PathStatus, "version": admin.PathVersion, "verdicts": admin.PathVerdicts + "?limit=7",
			"members": admin.PathMembers, "flows": admin.PathFlows, "audit": admin.PathAudit,
		} {
			code, body := request(address, http.MethodGet, path, "")
			Expect(code).To(Equal(http.StatusOK), path)
			g.Assert(GinkgoTB(), name, []byte(body))
		}
		code, body := request(address, http.MethodPost, admin.PathDryRun+"?against=7", addService)
		Expect(code).To(Equal(http.StatusOK))
		g.Assert(GinkgoTB(), "dry_run", []byte(body))
		code, body = request(address, http.MethodPost, admin.PathDryRun+"?against=7", "{}")
		Expect(code).To(Equal(http.StatusOK))
		g.Assert(GinkgoTB(), "dry_run_rejected", []byte(body))
		code, body = request(address, http.MethodGet, admin.PathMetrics, "")
		Expect(code).To(Equal(http.StatusOK))
		Expect(body).To(ContainSubstring(`"currantturn"`))
	})

	DescribeTable("reject", func(method, path, body string, code int, text string) {
		address := serve(admin.Options{Insecure: true, Providers: providers()})
		got, answer := request(address, method, path, body)
		Expect(got).To(Equal(code))
		Expect(answer).To(ContainSubstring(text))
	},
		Entry("a POST of a read-only resource", http.MethodPost, admin.PathStatus, "", http.StatusMethodNotAllowed, ""),
		Entry("a GET of the dry run", http.MethodGet, admin.PathDryRun, "", http.StatusMethodNotAllowed, ""),
		Entry("an unknown path", http.MethodGet, "/v1/other", "", http.StatusNotFound, ""),
		Entry("a limit of zero", http.MethodGet, admin.PathAudit+"?limit=0", "", http.StatusBadRequest, "bad_limit"),
		Entry("a limit above the maximum", http.MethodGet, admin.PathMembers+"?limit=20001", "", http.StatusBadRequest, "bad_limit"),
		Entry("a dry run without version", http.MethodPost, admin.PathDryRun, "{}", http.StatusBadRequest, "bad_version"),
		Entry("a patch for another version", http.MethodPost, admin.PathDryRun+"?against=1", addService, http.StatusConflict, "not_in_force"),
		Entry("a patch above the size limit", http.MethodPost, admin.PathDryRun+"?against=1", strings.Repeat("x", 1<<20+1),
			http.StatusRequestEntityTooLarge, "too_large"),
	)

	It("respond with 501 if they have no provider", func() {
		address := serve(admin.Options{Insecure: true})
		for _, path := range []string{admin.PathStatus, admin.PathVersion, admin.PathMembers, admin.PathMetrics} {
			code, body := request(address, http.MethodGet, path, "")
			Expect(code).To(Equal(http.StatusNotImplemented), path)
			Expect(body).To(ContainSubstring("not_provided"))
		}
	})

	It("can be read by the client", func() {
		c := admin.NewClient(serve(admin.Options{Insecure: true, Providers: providers()}), nil)
		s, err := admin.Read[admin.Status](context.Background(), c, admin.PathStatus)
		Expect(err).NotTo(HaveOccurred())
		Expect(s).To(Equal(status()))
		m, err := admin.Read[[]admin.Member](context.Background(), c, admin.PathMembers)
		Expect(err).NotTo(HaveOccurred())
		Expect(m).To(HaveLen(1))
		c = admin.NewClient(serve(admin.Options{Insecure: true}), nil)
		_, err = admin.Read[admin.Status](context.Background(), c, admin.PathStatus)
		Expect(err).To(MatchError(currantturn.ErrUnavailable))
	})
})

// issue writes a new certificate, its key and the certificate of the authority
// into a directory.
func issue(a *authority.Authority, dir string) admin.Credentials {
	GinkgoHelper()
	f, err := a.Write(time.Now(), dir, identity.Peer{Role: currantturn.RoleAgent, Name: "verify-1"})
	Expect(err).NotTo(HaveOccurred())
	return admin.Credentials{CAFile: f.Authorities, CertificateFile: f.Certificate, KeyFile: f.Key}
}

func newAuthority() *authority.Authority {
	GinkgoHelper()
	a, err := authority.New(time.Now())
	Expect(err).NotTo(HaveOccurred())
	return a
}

var _ = Describe("mutual TLS", func() {
	It("is required unless Insecure is set and the address is loopback", func() {
		for _, opts := range []admin.Options{
			{Address: loopback},
			{Address: loopback, TLS: &tls.Config{}},
			{Address: netip.MustParseAddrPort("0.0.0.0:0"), Insecure: true},
		} {
			_, err := admin.Listen(opts)
			Expect(err).To(MatchError(admin.ErrInsecure))
		}
	})

	It("accepts only certificates of its authority, and reports rejected ones", func() {
		fleet, other := newAuthority(), newAuthority()
		dir := GinkgoT().TempDir()
		files := issue(fleet, dir)
		cfg, err := files.ServerTLS()
		Expect(err).NotTo(HaveOccurred())
		refused := make(chan currantturn.Event, 8)
		address := serve(admin.Options{TLS: cfg, Providers: providers(), Report: func(e currantturn.Event) { refused <- e }})

		read := func(cfg *tls.Config) error {
			_, err := admin.Read[admin.Status](context.Background(), admin.NewClient(address, cfg), admin.PathStatus)
			return err
		}
		good, err := issue(fleet, GinkgoT().TempDir()).ClientTLS()
		Expect(err).NotTo(HaveOccurred())
		Expect(read(good)).To(Succeed())

		anonymous := good.Clone()
		anonymous.Certificates = nil
		Expect(read(anonymous)).To(MatchError(currantturn.ErrUnavailable))
		foreign, err := issue(other, GinkgoT().TempDir()).ClientTLS()
		Expect(err).NotTo(HaveOccurred())
		foreign.RootCAs = good.RootCAs
		Expect(read(foreign)).To(MatchError(currantturn.ErrUnavailable))
		Expect(read(nil)).To(MatchError(currantturn.ErrUnavailable))
		for range 2 {
			e := <-refused
			Expect(e.Number).To(Equal(event.AdminRefused))
			Expect(event.Check(e)).To(Succeed())
		}

		By("using the previous files while the new ones are invalid")
		Expect(os.WriteFile(files.KeyFile, nil, 0o600)).To(Succeed())
		Expect(read(good)).To(Succeed())

		By("using files that were replaced after the start")
		issue(other, dir)
		Expect(read(good)).To(MatchError(currantturn.ErrUnavailable))
		renewed, err := issue(other, GinkgoT().TempDir()).ClientTLS()
		Expect(err).NotTo(HaveOccurred())
		Expect(read(renewed)).To(Succeed())
	})

	It("names a file that cannot be loaded", func() {
		files := issue(newAuthority(), GinkgoT().TempDir())
		files.CAFile = files.KeyFile
		_, err := files.ServerTLS()
		Expect(err).To(MatchError(currantturn.ErrMalformed))
		files.CertificateFile = "absent.pem"
		_, err = files.ClientTLS()
		Expect(err).To(MatchError(ContainSubstring("absent.pem")))
	})
})
