package probe_test

import (
	"context"
	"net/url"
	"testing"

	"github.com/currantturn/currantturn"
	"github.com/currantturn/currantturn/internal/coordination/health"
	"github.com/currantturn/currantturn/internal/fake/backend"
	"github.com/currantturn/currantturn/internal/suite"
	"github.com/currantturn/currantturn/internal/transport/probe"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestProbe(t *testing.T) { suite.Run(t, "probe") }

var _ = Describe("Prober", func() {
	It("reports a backend server as good, draining and failed in turn", func(ctx context.Context) {
		b, err := backend.Start(backend.Options{Name: "verify-1", Slots: 3, LoadOffset: 7})
		Expect(err).NotTo(HaveOccurred())
		base := "http://" + b.Addr().String()
		p := probe.New(parse(base+"/health"), parse(base+"/load"))
		Expect(p.Health(ctx)).To(Equal(health.Good))
		Expect(p.Load(ctx)).To(Equal(7))
		b.Drain()
		Expect(p.Health(ctx)).To(Equal(health.Draining))
		Expect(b.Close()).To(Succeed())
		Expect(p.Health(ctx)).To(Equal(health.Failed))
		_, err = p.Load(ctx)
		Expect(err).To(MatchError(currantturn.ErrUnavailable))
	})

	It("reports a reply without a load as malformed", func(ctx context.Context) {
		b, err := backend.Start(backend.Options{Name: "verify-1", Slots: 3})
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(b.Close)
		p := probe.New(nil, parse("http://"+b.Addr().String()+"/health"))
		_, err = p.Load(ctx)
		Expect(err).To(MatchError(currantturn.ErrMalformed))
		Expect(p.HasHealth()).To(BeFalse())
	})
})

func parse(s string) *url.URL {
	u, err := url.Parse(s)
	Expect(err).NotTo(HaveOccurred())
	return u
}
