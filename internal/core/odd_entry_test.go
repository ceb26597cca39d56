package core_test

import (
	"fmt"
	"maps"
	"net/http/httptest"
	"net/netip"
	"slices"
	"strings"
	"time"

	"github.com/currantturn/currantturn"
	"github.com/currantturn/currantturn/internal/core"
	"github.com/currantturn/currantturn/internal/transport/published"
	"github.com/currantturn/currantturn/platform"
	"github.com/currantturn/currantturn/platform/platformtest"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// Guards against balancers that stop following the store after another writer left an entry that
// no backend server writes, in what they list or in what they watch.
var _ = Describe("a balancer that reads an odd entry of another writer", func() {
	const nestedLists = 500_000
	var store *platformtest.Store
	host := func(n int) platformtest.Registration {
		return platformtest.Registration{
			Service: "verify", Address: fmt.Sprintf("127.0.3.%d:8080", n+1), Zone: "a", Version: "1", MaxConcurrency: 3,
			State: "ready", Sequence: 4, Born: 1767225600123,
		}
	}
	configure := func(version uint64) {
		store.Configure(platformtest.Configuration{Version: version, Routes: []platformtest.Route{{
			Hostname: "198.18.0.1", Prefix: "/443/", Service: "verify", TargetLatencyMS: 120, TimeoutMS: 800,
		}}})
	}
	start := func() *core.FlowBalancer {
		s := httptest.NewServer(store.Handler(func() platformtest.Mode { return platformtest.Normal }))
		DeferCleanup(s.Close)
		port := freePort()
		b, err := core.StartFlowBalancer(core.FlowBalancerOptions{
			Codec: platform.Packets{}, Store: platform.NewStore(netip.MustParseAddrPort(strings.TrimPrefix(s.URL, "http://")), func(string, error) {}),
			Link: at("127.0.2.1", port), Callers: at("127.0.2.2", port), State: at("127.0.2.1", port),
			ApplyWithin: 3 * time.Second, Seed: 1, Pull: published.Read, Clock: time.Now, Report: func(currantturn.Event) {},
		})
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(b.Close)
		return b
	}
	// inForce returns the backend servers that may get new flows.
	inForce := func(b *core.FlowBalancer) (ids []string) {
		for _, e := range b.Published().Servers {
			if e.Placeable() {
				ids = append(ids, string(e.ID))
			}
		}
		return ids
	}
	version := func(b *core.FlowBalancer) func() currantturn.Version {
		return func() currantturn.Version { s := b.Published(); return s.RoutingVersion() }
	}
	BeforeEach(func() {
		store = platformtest.NewStore()
		configure(1)
		for n := range 2 {
			store.Register(fmt.Sprintf("h-%d", n), host(n))
		}
	})

	DescribeTable("goes on following", func(value string) {
		watching := start()
		Eventually(version(watching)).WithTimeout(5 * time.Second).Should(Equal(currantturn.Version(1)))
		store.Write("servers/a-foreign", []byte(value))
		configure(2)
		Eventually(version(watching)).WithTimeout(5 * time.Second).Should(Equal(currantturn.Version(2)))
		Expect(inForce(watching)).To(Equal([]string{"h-0", "h-1"}))

		listing := start()
		Eventually(version(listing)).WithTimeout(5 * time.Second).Should(Equal(currantturn.Version(2)))
		store.Register("h-2", host(2))
		configure(3)
		for _, b := range []*core.FlowBalancer{watching, listing} {
			Eventually(version(b)).WithTimeout(5 * time.Second).Should(Equal(currantturn.Version(3)))
			Expect(inForce(b)).To(Equal([]string{"h-0", "h-1", "h-2"}))
		}
	},
		Entry("very deeply nested", strings.Repeat("[", nestedLists)+strings.Repeat("]", nestedLists)),
		Entry("with a number too large", `{"service":"verify","address":"10.1.0.9:8080","zone":"a","version":"1","max_concurrency":1e30,"state":"ready","warmup_remaining_ms":0,"sequence":4}`),
		Entry("with a port out of range", `{"service":"verify","address":"10.1.0.9:70000","zone":"a","version":"1","max_concurrency":3,"state":"ready","warmup_remaining_ms":0,"sequence":4}`),
	)

	// Guards against resets of the flows of a backend server over whose registration another
	// writer writes (review/11, review/12).
	DescribeTable("keeps the backend server in force under whose ID it stands, until that writes again", func(value string) {
		b := start()
		Eventually(version(b)).WithTimeout(5 * time.Second).Should(Equal(currantturn.Version(1)))
		store.Write("servers/h-0", []byte(value))
		configure(2)
		Eventually(version(b)).WithTimeout(5 * time.Second).Should(Equal(currantturn.Version(2)))
		own := b.Published().Servers[0]
		Expect(string(own.ID)).To(Equal("h-0"))
		Expect(own.Placeable() && own.Conflicting()).To(BeTrue())
		Expect(own.Service).To(Equal(currantturn.ServiceName("verify")))
		Expect(own.Address.String()).To(Equal(host(0).Address))
		store.Register("h-0", host(0))
		configure(3)
		Eventually(version(b)).WithTimeout(5 * time.Second).Should(Equal(currantturn.Version(3)))
		own = b.Published().Servers[0]
		Expect(own.Placeable() && !own.Conflicting()).To(BeTrue())
	},
		Entry("bytes that can't be read", "\x00\xff"),
		Entry("fields missing", `{"service":"verify"}`),
		Entry("a service that isn't named", foreign("service", `"inventory"`)),
		Entry("another address", foreign("address", `"127.0.3.9:9"`)),
		Entry("a start that is far ahead", foreign("born", "4102444800000")),
	)
})

// foreign returns a registration at the address of the first host, with one field of another value.
func foreign(field, value string) string {
	fields := map[string]string{
		"service": `"verify"`, "address": `"127.0.3.1:8080"`, "zone": `"a"`, "version": `"1"`, "max_concurrency": "3",
		"state": `"ready"`, "warmup_remaining_ms": "0", "sequence": "4", "born": "1767225600123",
	}
	fields[field] = value
	var all []string
	for _, name := range slices.Sorted(maps.Keys(fields)) {
		all = append(all, `"`+name+`":`+fields[name])
	}
	return "{" + strings.Join(all, ",") + "}"
}
