package identity_test

import (
	"context"
	"crypto/tls"
	"net"
	"os"
	"slices"
	"testing"
	"time"

	"github.com/currantturn/currantturn"
	"github.com/currantturn/currantturn/internal/event"
	"github.com/currantturn/currantturn/internal/fake/authority"
	"github.com/currantturn/currantturn/internal/suite"
	"github.com/currantturn/currantturn/internal/transport/identity"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/quic-go/quic-go"
)

func TestIdentity(t *testing.T) { suite.Run(t, "identity") }

var (
	start    = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	agent    = identity.Peer{Role: currantturn.RoleAgent, Name: "vm-7"}
	balancer = identity.Peer{Role: currantturn.RoleBalancer, Name: "vm-1"}
	anyRole  = identity.AnyOf(currantturn.RoleAgent, currantturn.RoleBalancer)
)

// process is an identity with its files, a clock of its own and its recorded events.
type process struct {
	*identity.Identity
	files  identity.Files
	now    time.Time
	events []int
}

func newAuthority() *authority.Authority {
	a, err := authority.New(start)
	Expect(err).NotTo(HaveOccurred())
	return a
}

// openProcess writes credentials that a issues for the peer, and opens them.
func openProcess(a *authority.Authority, peer identity.Peer) (*process, error) {
	p := &process{now: start}
	p.writeFiles(a, peer)
	var err error
	p.Identity, err = identity.Open(p.files, func() time.Time { return p.now }, func(e currantturn.Event) {
		Expect(event.Check(e)).To(Succeed())
		p.events = append(p.events, e.Number)
	})
	return p, err
}

// writeFiles replaces the process's files by newly issued ones.
func (p *process) writeFiles(a *authority.Authority, peer identity.Peer) {
	var err error
	dir := GinkgoT().TempDir()
	if p.files.Key != "" {
		dir = p.files.Key[:len(p.files.Key)-len("/key.pem")]
	}
	p.files, err = a.Write(p.now, dir, peer)
	Expect(err).NotTo(HaveOccurred())
}

// setAuthorities replaces the content of the process's authorities file.
func (p *process) setAuthorities(all ...*authority.Authority) {
	var b []byte
	for _, a := range all {
		b = append(b, a.PEM()...)
	}
	Expect(os.WriteFile(p.files.Authorities, b, 0o600)).To(Succeed())
}

// connect returns the two ends of a connection, which unlike a pipe lets both ends write at
// the same time.
func connect() (net.Conn, net.Conn) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	defer l.Close()
	a, err := net.Dial("tcp4", l.Addr().String())
	Expect(err).NotTo(HaveOccurred())
	b, err := l.Accept()
	Expect(err).NotTo(HaveOccurred())
	for _, c := range []net.Conn{a, b} {
		Expect(c.SetDeadline(time.Now().Add(10 * time.Second))).To(Succeed())
	}
	return a, b
}

// handshake connects a client and a server and returns the error of each.
func handshake(client, server *tls.Config) (error, error) {
	a, b := connect()
	defer func() { _ = a.Close() }()
	result := make(chan error, 1)
	go func() {
		s := tls.Server(b, server)
		err := s.Handshake()
		if err == nil {
			_, err = s.Write([]byte{1})
		}
		_ = b.Close()
		result <- err
	}()
	c := tls.Client(a, client)
	err := c.Handshake()
	if err == nil {
		_, err = c.Read(make([]byte, 1))
	}
	_ = a.Close()
	return err, <-result
}

var _ = Describe("identity", func() {
	var (
		fleetCA   *authority.Authority
		vm1       *process
		vm7       *process
		serverTLS = func(accept identity.Accept) *tls.Config { return vm7.ServerTLS(accept) }
	)
	expectHandshake := func(client, server *tls.Config) {
		GinkgoHelper()
		c, s := handshake(client, server)
		Expect(c).NotTo(HaveOccurred())
		Expect(s).NotTo(HaveOccurred())
	}
	BeforeEach(func() {
		fleetCA = newAuthority()
		var err error
		vm1, err = openProcess(fleetCA, balancer)
		Expect(err).NotTo(HaveOccurred())
		vm7, err = openProcess(fleetCA, agent)
		Expect(err).NotTo(HaveOccurred())
	})

	It("accepts client and server by role or name", func() {
		Expect(vm1.Self()).To(Equal(balancer))
		expectHandshake(vm1.ClientTLS(identity.Only(agent)), serverTLS(identity.AnyOf(currantturn.RoleBalancer)))
		Expect(vm1.Counters().Accepted).To(Equal(uint64(1)))
		Expect(vm7.Counters().Accepted).To(Equal(uint64(1)))
	})

	DescribeTable("server refuses a client with", func(prepare func() *tls.Config, text string) {
		_, err := handshake(prepare(), serverTLS(identity.AnyOf(currantturn.RoleBalancer)))
		Expect(err).To(MatchError(ContainSubstring(text)))
	},
		Entry("another authority", func() *tls.Config {
			other := newAuthority()
			p, err := openProcess(other, balancer)
			Expect(err).NotTo(HaveOccurred())
			p.setAuthorities(other, fleetCA)
			Expect(p.Reload()).To(Succeed())
			return p.ClientTLS(anyRole)
		}, "unknown authority"),
		Entry("another role", func() *tls.Config {
			p, err := openProcess(fleetCA, agent)
			Expect(err).NotTo(HaveOccurred())
			return p.ClientTLS(anyRole)
		}, "not accepted here"),
		Entry("no certificate", func() *tls.Config {
			return &tls.Config{InsecureSkipVerify: true, NextProtos: []string{identity.Protocol}}
		}, "client didn't provide a certificate"),
		Entry("an expired certificate", func() *tls.Config {
			vm7.now = vm7.now.Add(authority.Lifetime + time.Second)
			return vm1.ClientTLS(anyRole)
		}, "expired"),
		Entry("another protocol", func() *tls.Config {
			cfg := vm1.ClientTLS(anyRole)
			cfg.NextProtos = []string{"h3"}
			return cfg
		}, "application protocol"),
		Entry("an old TLS version", func() *tls.Config {
			cfg := vm1.ClientTLS(anyRole)
			cfg.MinVersion, cfg.MaxVersion = tls.VersionTLS12, tls.VersionTLS12
			return cfg
		}, "unsupported versions"),
	)

	It("counts and reports the refusal of a server with another name, role or authority", func() {
		other := identity.Peer{Role: currantturn.RoleAgent, Name: "vm-8"}
		for n, accept := range []identity.Accept{identity.Only(other), identity.AnyOf(currantturn.RoleBalancer)} {
			err, _ := handshake(vm1.ClientTLS(accept), serverTLS(anyRole))
			Expect(err).To(MatchError(ContainSubstring("not accepted here")))
			Expect(vm1.Counters().Refused).To(BeEquivalentTo(n + 1))
		}
		stranger, err := openProcess(newAuthority(), agent)
		Expect(err).NotTo(HaveOccurred())
		err, _ = handshake(vm1.ClientTLS(anyRole), stranger.ServerTLS(anyRole))
		Expect(err).To(MatchError(ContainSubstring("unknown authority")))
		Expect(vm1.events).To(Equal(slices.Repeat([]int{event.PeerRefused}, 3)))
	})

	It("replaces the authority step by step without a restart or a refused peer", func() {
		next := newAuthority()
		client, server := vm1.ClientTLS(anyRole), serverTLS(anyRole)
		for _, step := range []func(){
			func() { vm1.setAuthorities(fleetCA, next) },
			func() { vm7.setAuthorities(fleetCA, next) },
			func() { vm1.writeFiles(next, balancer); vm1.setAuthorities(fleetCA, next) },
			func() { vm7.writeFiles(next, agent); vm7.setAuthorities(fleetCA, next) },
			func() { vm1.setAuthorities(next) },
			func() { vm7.setAuthorities(next) },
		} {
			step()
			Expect(vm1.Reload()).To(Succeed())
			Expect(vm7.Reload()).To(Succeed())
			expectHandshake(client, server)
		}
		Expect(vm1.Counters().Reloads).To(BeEquivalentTo(3))
		outdated, err := openProcess(fleetCA, balancer)
		Expect(err).NotTo(HaveOccurred())
		outdated.setAuthorities(fleetCA, next)
		Expect(outdated.Reload()).To(Succeed())
		_, err = handshake(outdated.ClientTLS(anyRole), server)
		Expect(err).To(MatchError(ContainSubstring("unknown authority")))
	})

	// A peer that keeps the session of an earlier connection presents no certificate again.
	DescribeTable("refuses a peer whose authority was withdrawn, with or without a session of before", func(restart, session bool) {
		old, next := fleetCA, newAuthority()
		client := vm1.ClientTLS(anyRole)
		if session {
			client.ClientSessionCache = tls.NewLRUClientSessionCache(4)
			client.ServerName = "vm-7" // the key of the cache
		}
		server := serverTLS(anyRole)
		expectHandshake(client, server)
		if session {
			_, found := client.ClientSessionCache.Get(client.ServerName)
			Expect(found).To(BeTrue())
		}
		vm7.writeFiles(next, agent)
		vm7.setAuthorities(next)
		vm1.setAuthorities(old, next)
		Expect(vm1.Reload()).To(Succeed())
		if restart {
			var err error
			vm7.Identity, err = identity.Open(vm7.files, func() time.Time { return start }, func(currantturn.Event) {})
			Expect(err).NotTo(HaveOccurred())
			server = serverTLS(anyRole)
		} else {
			Expect(vm7.Reload()).To(Succeed())
		}
		for range 3 {
			_, err := handshake(client, server)
			Expect(err).To(MatchError(ContainSubstring("unknown authority")))
		}
	},
		Entry("until the next reload", false, false),
		Entry("until the next reload, with a session", false, true),
		Entry("before a restart", true, false),
		Entry("before a restart, with a session", true, true),
	)

	DescribeTable("keeps the earlier credentials when the files are invalid", func(corrupt func()) {
		client, server := vm1.ClientTLS(anyRole), serverTLS(anyRole)
		corrupt()
		Expect(vm1.Reload()).NotTo(Succeed())
		Expect(vm1.Counters().ReloadFailures).To(Equal(uint64(1)))
		Expect(vm1.events).To(ContainElement(event.CredentialsReloadFailed))
		expectHandshake(client, server)
		_, err := identity.Open(vm1.files, time.Now, nil)
		Expect(err).To(HaveOccurred())
	},
		Entry("missing key", func() { Expect(os.Remove(vm1.files.Key)).To(Succeed()) }),
		Entry("key of another certificate", func() {
			_, key, err := fleetCA.Issue(start, balancer)
			Expect(err).NotTo(HaveOccurred())
			Expect(os.WriteFile(vm1.files.Key, key, 0o600)).To(Succeed())
		}),
		Entry("authority of another fleet", func() { vm1.setAuthorities(newAuthority()) }),
		Entry("three authorities", func() { vm1.setAuthorities(fleetCA, newAuthority(), newAuthority()) }),
		Entry("no authority", func() { vm1.setAuthorities() }),
		Entry("a certificate in the authorities file that is no CA", func() {
			p, _, err := fleetCA.Issue(start, balancer)
			Expect(err).NotTo(HaveOccurred())
			Expect(os.WriteFile(vm1.files.Authorities, append(fleetCA.PEM(), p...), 0o600)).To(Succeed())
		}),
		Entry("certificate without a name", func() { vm1.writeFiles(fleetCA, identity.Peer{Role: currantturn.RoleAgent}) }),
		Entry("certificate with an unknown role", func() { vm1.writeFiles(fleetCA, identity.Peer{Role: "operator", Name: "vm-1"}) }),
		Entry("file too large", func() {
			Expect(os.WriteFile(vm1.files.Authorities, append(fleetCA.PEM(), make([]byte, 2<<20)...), 0o600)).To(Succeed())
		}),
	)

	It("reports a certificate that expires soon and applies its successor", func() {
		vm1.now = vm1.now.Add(authority.Lifetime - identity.ExpiryNotice + time.Second)
		Expect(vm1.Reload()).To(Succeed())
		vm1.writeFiles(fleetCA, balancer)
		Expect(vm1.Reload()).To(Succeed())
		Expect(vm1.Reload()).To(Succeed())
		Expect(vm1.events).To(Equal([]int{event.CertificateExpiring, event.CredentialsReloaded}))
	})

	It("authenticates QUIC connections between processes", func(ctx SpecContext) {
		ln, err := quic.ListenAddr("127.0.0.1:0", serverTLS(identity.Only(balancer)), nil)
		Expect(err).NotTo(HaveOccurred())
		defer func() { _ = ln.Close() }()
		dial := func(p *process) error {
			c, err := quic.DialAddr(ctx, ln.Addr().String(), p.ClientTLS(identity.Only(agent)), nil)
			if err != nil {
				return err
			}
			_, err = c.AcceptUniStream(ctx)
			_ = c.CloseWithError(0, "")
			return err
		}
		go func() {
			for c, err := ln.Accept(context.Background()); err == nil; c, err = ln.Accept(context.Background()) {
				if s, err := c.OpenUniStream(); err == nil {
					_, _ = s.Write([]byte{1})
				}
			}
		}()
		Expect(dial(vm1)).To(Succeed())
		other, err := openProcess(fleetCA, identity.Peer{Role: currantturn.RoleBalancer, Name: "vm-2"})
		Expect(err).NotTo(HaveOccurred())
		Expect(dial(other)).NotTo(Succeed())
	}, SpecTimeout(10*time.Second))
})
