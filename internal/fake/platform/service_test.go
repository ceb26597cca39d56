package platform_test

import (
	"context"
	"net/http/httptest"
	"net/netip"
	"net/url"
	"testing"
	"time"

	"github.com/currantturn/currantturn"
	fakeplatform "github.com/currantturn/currantturn/internal/fake/platform"
	"github.com/currantturn/currantturn/internal/state/configuration"
	"github.com/currantturn/currantturn/internal/suite"
	"github.com/currantturn/currantturn/internal/transport/platform"
	"github.com/currantturn/currantturn/pkg/patch"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestPlatform(t *testing.T) { suite.Run(t, "platform") }

// encodeAddService returns the patch that adds a service with one address.
func encodeAddService(buildsOn currantturn.Version, name string, last byte) []byte {
	p, err := patch.Encode(&patch.Patch{BuildsOn: buildsOn, Operations: []patch.Operation{patch.AddService{
		Service:   currantturn.ServiceName(name),
		Addresses: []netip.AddrPort{netip.AddrPortFrom(netip.AddrFrom4([4]byte{192, 0, 2, last}), 443)},
	}}})
	Expect(err).NotTo(HaveOccurred())
	return p
}

// startService starts a fake platform and a client that has it as its last address.
func startService(opts platform.Options) (*fakeplatform.Service, *platform.Client) {
	s := fakeplatform.New(time.Now)
	server := httptest.NewServer(s)
	DeferCleanup(server.Close)
	u, err := url.Parse(server.URL)
	Expect(err).NotTo(HaveOccurred())
	opts.URLs = append(opts.URLs, u)
	return s, platform.New(opts)
}

var _ = Describe("platform.Client against the fake platform", func() {
	ctx := context.Background()

	It("reads the log, the snapshot and the VMs, and counts each call", func() {
		s, c := startService(platform.Options{})
		v, err := s.Publish("asha", encodeAddService(0, "verify", 1))
		Expect(err).NotTo(HaveOccurred())
		Expect(v.Outcome).To(Equal(patch.InForce))
		Expect(c.Snapshot(ctx)).To(BeEmpty())
		Expect(s.PublishSnapshot()).To(Succeed())
		p, err := c.Snapshot(ctx)
		Expect(err).NotTo(HaveOccurred())
		got, err := configuration.DecodeSnapshot(p)
		Expect(err).NotTo(HaveOccurred())
		Expect(got).To(Equal(s.Configuration()))
		records, err := c.Watch(ctx, 0, 0)
		Expect(err).NotTo(HaveOccurred())
		Expect(records).To(HaveLen(1))
		rebuilt, _, err := (&patch.Configuration{}).Next(&records[0])
		Expect(err).NotTo(HaveOccurred())
		Expect(rebuilt.Digest).To(Equal(got.Digest), "the record has the same digest after HTTP")
		s.SetVMs([]currantturn.VM{{Name: "vm-1", Role: currantturn.RoleBalancer, State: currantturn.VMLive}})
		Expect(c.VMs(ctx)).To(HaveLen(1))
		Expect(s.Counts()).To(And(HaveField("Snapshots", 2), HaveField("Records", 1), HaveField("VMs", 1)))
		Expect(c.Counters().Reads).To(BeEquivalentTo(4))
	})

	It("waits for a record in one call", func() {
		s, c := startService(platform.Options{})
		done := make(chan []currantturn.Record)
		go func() {
			defer GinkgoRecover()
			records, err := c.Watch(ctx, 0, time.Minute)
			Expect(err).NotTo(HaveOccurred())
			done <- records
		}()
		Eventually(func() int { return s.Counts().Records }).Should(Equal(1))
		_, _ = s.Publish("asha", encodeAddService(0, "verify", 1))
		Eventually(done).Should(Receive(HaveLen(1)))
		Expect(s.Counts().Total()).To(Equal(1))
	})

	It("receives an outdated log, a rewritten log and an outage", func() {
		s, c := startService(platform.Options{})
		for i, name := range []string{"a", "b", "c"} {
			_, _ = s.Publish("asha", encodeAddService(currantturn.Version(i), name, byte(i)))
		}
		s.SetVisibleRecords(1)
		Expect(c.Watch(ctx, 0, 0)).To(HaveLen(1))
		Expect(c.Watch(ctx, 1, 0)).To(BeEmpty())
		s.SetVisibleRecords(-1)
		s.Rewrite([]currantturn.Record{{Position: 1, Patch: []byte("{}")}}, nil)
		Expect(c.Watch(ctx, 0, 0)).To(ConsistOf(HaveField("Patch", []byte("{}"))))
		s.SetDown(true)
		_, err := c.Snapshot(ctx)
		Expect(err).To(MatchError(currantturn.ErrUnavailable))
		Expect(s.Counts().Snapshots).To(Equal(1), "a failed call is counted")
	})

	It("uses the next address after a failure, and stays within its read budget", func() {
		dead, _ := url.Parse("http://127.0.0.1:1")
		s, c := startService(platform.Options{URLs: []*url.URL{dead}, ReadsPerSecond: 0.001, Timeout: 200 * time.Millisecond})
		_, err := c.VMs(ctx)
		Expect(err).To(MatchError(currantturn.ErrUnavailable))
		for range 7 {
			_, err = c.VMs(ctx)
			Expect(err).NotTo(HaveOccurred())
		}
		_, err = c.VMs(ctx)
		Expect(err).To(MatchError(currantturn.ErrUnavailable), "the budget is spent")
		Expect(s.Counts().VMs).To(Equal(7))
	})

	It("reads a whole log that is larger than one response", func() {
		s, c := startService(platform.Options{})
		large := append(encodeAddService(0, "a", 1), make([]byte, 300<<10)...)
		for range 5 {
			_, err := s.Publish("asha", large)
			Expect(err).NotTo(HaveOccurred())
		}
		records, err := platform.ReadLog(ctx, c)
		Expect(err).NotTo(HaveOccurred())
		Expect(records).To(HaveLen(5))
		Expect(s.Counts().Records).To(BeNumerically(">", 2))
	})

	It("returns the results of a runner's reads, and none after the runner is closed", func() {
		s, c := startService(platform.Options{})
		_, _ = s.Publish("asha", encodeAddService(0, "verify", 1))
		results := make(chan *currantturn.ReadResult, 4)
		r := platform.NewRunner(c, func(res *currantturn.ReadResult) { results <- res })
		r.Start(currantturn.Read{Kind: currantturn.ReadRecords})
		Eventually(results).Should(Receive(HaveField("Records", HaveLen(1))))
		r.Start(currantturn.Read{Kind: currantturn.ReadRecords, After: 1, Wait: time.Minute})
		Eventually(func() int { return s.Counts().Records }).Should(Equal(2))
		r.Close()
		Expect(results).NotTo(Receive())
	})
})
