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

func addService(builds currantturn.Version, name string, last byte) []byte {
	p, err := patch.Encode(&patch.Patch{BuildsOn: builds, Operations: []patch.Operation{patch.AddService{
		Service:   currantturn.ServiceName(name),
		Addresses: []netip.AddrPort{netip.AddrPortFrom(netip.AddrFrom4([4]byte{192, 0, 2, last}), 443)},
	}}})
	Expect(err).NotTo(HaveOccurred())
	return p
}

func start(opts platform.Options) (*fakeplatform.Service, *platform.Client) {
	s := fakeplatform.New(time.Now)
	server := httptest.NewServer(s)
	DeferCleanup(server.Close)
	u, err := url.Parse(server.URL)
	Expect(err).NotTo(HaveOccurred())
	opts.URLs = append(opts.URLs, u)
	return s, platform.New(opts)
}

var _ = Describe("the reader on the stand-in", func() {
	ctx := context.Background()

	It("reads the log, the snapshot and the VMs, each call counted", func() {
		s, c := start(platform.Options{})
		v, err := s.Publish("asha", addService(0, "verify", 1))
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
		again, _, err := (&patch.Configuration{}).Next(&records[0])
		Expect(err).NotTo(HaveOccurred())
		Expect(again.Digest).To(Equal(got.Digest), "a record keeps its digest over HTTP")
		s.SetVMs([]currantturn.VM{{Name: "vm-1", Role: currantturn.RoleBalancer, State: currantturn.VMLive}})
		Expect(c.VMs(ctx)).To(HaveLen(1))
		Expect(s.Counts()).To(And(HaveField("Snapshots", 2), HaveField("Records", 1), HaveField("VMs", 1)))
		Expect(c.Counters().Reads).To(BeEquivalentTo(4))
	})

	It("waits for a record, counted as one call", func() {
		s, c := start(platform.Options{})
		done := make(chan []currantturn.Record)
		go func() {
			defer GinkgoRecover()
			records, err := c.Watch(ctx, 0, time.Minute)
			Expect(err).NotTo(HaveOccurred())
			done <- records
		}()
		Eventually(func() int { return s.Counts().Records }).Should(Equal(1))
		_, _ = s.Publish("asha", addService(0, "verify", 1))
		Eventually(done).Should(Receive(HaveLen(1)))
		Expect(s.Counts().Total()).To(Equal(1))
	})

	It("shows an older log, a rewritten one and an outage", func() {
		s, c := start(platform.Options{})
		for i, name := range []string{"a", "b", "c"} {
			_, _ = s.Publish("asha", addService(currantturn.Version(i), name, byte(i)))
		}
		s.ShowUntil(1)
		Expect(c.Watch(ctx, 0, 0)).To(HaveLen(1))
		Expect(c.Watch(ctx, 1, 0)).To(BeEmpty())
		s.ShowUntil(-1)
		s.Rewrite([]currantturn.Record{{Position: 1, Patch: []byte("{}")}}, nil)
		Expect(c.Watch(ctx, 0, 0)).To(ConsistOf(HaveField("Patch", []byte("{}"))))
		s.SetDown(true)
		_, err := c.Snapshot(ctx)
		Expect(err).To(MatchError(currantturn.ErrUnavailable))
		Expect(s.Counts().Snapshots).To(Equal(1), "a refused call counts")
	})

	It("turns to the next address after a failure, and keeps its read budget", func() {
		dead, _ := url.Parse("http://127.0.0.1:1")
		s, c := start(platform.Options{URLs: []*url.URL{dead}, ReadsPerSecond: 0.001, Timeout: 200 * time.Millisecond})
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

	It("reads a whole log that is larger than one value", func() {
		s, c := start(platform.Options{})
		large := append(addService(0, "a", 1), make([]byte, 300<<10)...)
		for range 5 {
			_, err := s.Publish("asha", large)
			Expect(err).NotTo(HaveOccurred())
		}
		records, err := platform.ReadLog(ctx, c)
		Expect(err).NotTo(HaveOccurred())
		Expect(records).To(HaveLen(5))
		Expect(s.Counts().Records).To(BeNumerically(">", 2))
	})

	It("hands a machine's reads back, and ends with them", func() {
		s, c := start(platform.Options{})
		_, _ = s.Publish("asha", addService(0, "verify", 1))
		results := make(chan *currantturn.ReadResult, 4)
		r := platform.NewRunner(c, func(res *currantturn.ReadResult) { results <- res })
		r.Do(currantturn.Read{Kind: currantturn.ReadRecords})
		Eventually(results).Should(Receive(HaveField("Records", HaveLen(1))))
		r.Do(currantturn.Read{Kind: currantturn.ReadRecords, After: 1, Wait: time.Minute})
		Eventually(func() int { return s.Counts().Records }).Should(Equal(2))
		r.Close()
		Expect(results).NotTo(Receive())
	})
})
