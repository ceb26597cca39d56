package routehistory_test

import (
	"net/netip"
	"testing"
	"time"

	"github.com/currantturn/currantturn"
	"github.com/currantturn/currantturn/internal/state/routehistory"
	"github.com/currantturn/currantturn/internal/suite"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestRouteHistory(t *testing.T) { suite.Run(t, "routehistory") }

var address = netip.MustParseAddrPort("198.18.0.1:443")

// leadingTo returns a configuration with one route to the given services.
func leadingTo(services ...currantturn.ServiceName) *currantturn.Routing {
	route := currantturn.FlowRoute{Address: address}
	for _, s := range services {
		route.Shares = append(route.Shares, currantturn.Share{Service: s, Weight: 1})
	}
	return &currantturn.Routing{Routes: []currantturn.FlowRoute{route}}
}

// services returns the services of entries.
func services(entries []routehistory.Entry) (all []currantturn.ServiceName) {
	for i := range entries {
		Expect(entries[i].Address).To(Equal(address))
		all = append(all, entries[i].Service)
	}
	return all
}

var _ = Describe("a history of routes", func() {
	start := time.Unix(1_000_000, 0)

	It("keeps services that a route stopped leading to, or that lost their route, for a flow's lifetime", func() {
		h := routehistory.New()
		Expect(h.Replace(start, nil, leadingTo("a", "b"))).To(BeTrue())
		Expect(h.Entries(start)).To(BeEmpty())
		Expect(h.Replace(start, leadingTo("a", "b"), leadingTo("a"))).To(BeTrue())
		later := start.Add(10 * time.Second)
		Expect(h.Replace(later, leadingTo("a"), &currantturn.Routing{})).To(BeTrue())
		Expect(services(h.Entries(later))).To(Equal([]currantturn.ServiceName{"a", "b"}))
		Expect(services(h.Entries(start.Add(routehistory.Retention + 1)))).To(Equal([]currantturn.ServiceName{"a"}))
		Expect(h.Entries(later.Add(routehistory.Retention + 1))).To(BeEmpty())
	})

	It("takes over the entries of another process with their ages", func() {
		first, second := routehistory.New(), routehistory.New()
		first.Replace(start, leadingTo("a", "b"), leadingTo("a"))
		later := start.Add(20 * time.Second)
		otherClock := later.Add(-time.Hour)
		Expect(second.Merge(otherClock, first.Entries(later))).To(BeTrue())
		Expect(second.Entries(otherClock)).To(Equal(first.Entries(later)))
		Expect(second.Merge(otherClock.Add(time.Second), first.Entries(later.Add(time.Second)))).To(BeTrue())
		Expect(second.Entries(otherClock.Add(41*time.Second))).To(BeEmpty(), "an exchange must not renew entries")
	})

	It("reports that it is full", func() {
		h := routehistory.New()
		old := &currantturn.Routing{}
		for n := range routehistory.MaxEntries + 1 {
			ip := netip.AddrFrom4([4]byte{198, 18, byte(n >> 8), byte(n)})
			old.Routes = append(old.Routes, currantturn.FlowRoute{
				Address: netip.AddrPortFrom(ip, 443), Shares: []currantturn.Share{{Service: "a", Weight: 1}},
			})
		}
		Expect(h.Replace(start, old, &currantturn.Routing{})).To(BeFalse())
		Expect(h.Entries(start)).To(HaveLen(routehistory.MaxEntries))
	})
})
