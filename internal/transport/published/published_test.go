package published_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/currantturn/currantturn"
	"github.com/currantturn/currantturn/internal/coordination/statesync"
	"github.com/currantturn/currantturn/internal/state/roster"
	"github.com/currantturn/currantturn/internal/suite"
	"github.com/currantturn/currantturn/internal/transport/published"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestPublished(t *testing.T) { suite.Run(t, "published") }

var _ = Describe("published state", func() {
	state := statesync.State{
		Position: currantturn.Position{Era: 2, Revision: 40},
		Routing: &currantturn.Routing{Version: 7, Routes: []currantturn.FlowRoute{{
			Address: netip.MustParseAddrPort("198.18.0.1:443"), Shares: []currantturn.Share{{Service: "verify", Weight: 1}},
			LatencyObjective: 120 * time.Millisecond,
		}}},
		Servers: []roster.Entry{{
			Registration: currantturn.Registration{
				ID: "a", Service: "verify", Address: netip.MustParseAddrPort("10.1.0.9:8080"), Slots: 3,
				State: currantturn.BackendDraining, StartedAt: time.UnixMilli(1767225600123).UTC(),
			},
			Gone: time.UnixMilli(1767225700456).UTC(), WasDraining: true,
		}},
	}
	startServer := func(h http.Handler) netip.AddrPort {
		s := httptest.NewServer(h)
		DeferCleanup(s.Close)
		return netip.MustParseAddrPort(strings.TrimPrefix(s.URL, "http://"))
	}

	It("is read in full by a reader without routing", func() {
		addr := startServer(published.Handler(func() statesync.State { return state }))
		got, err := published.Read(context.Background(), addr, 0)
		Expect(err).NotTo(HaveOccurred())
		want := state
		want.Version = 7
		Expect(got).To(Equal(want))
	})

	It("is read without the routing by a reader that has its version", func() {
		addr := startServer(published.Handler(func() statesync.State { return state }))
		got, err := published.Read(context.Background(), addr, 7)
		Expect(err).NotTo(HaveOccurred())
		Expect(got.Routing).To(BeNil())
		Expect(got.Version).To(Equal(currantturn.Version(7)))
		Expect(got.Servers).To(Equal(state.Servers))
	})

	It("gives an error if it is malformed or unavailable", func() {
		addr := startServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("x")) }))
		_, err := published.Read(context.Background(), addr, 0)
		Expect(err).To(MatchError(currantturn.ErrMalformed))
		addr = startServer(http.NotFoundHandler())
		_, err = published.Read(context.Background(), addr, 0)
		Expect(err).To(MatchError(currantturn.ErrUnavailable))
	})
})
