package statesync

import (
	"math"
	"net/netip"
	"slices"
	"strings"
	"time"

	"github.com/currantturn/currantturn"
	"github.com/currantturn/currantturn/internal/protocol/message"
	"github.com/currantturn/currantturn/internal/state/roster"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// Guards against balancers that look silent to each other, because what another writer wrote
// does not fit into their heartbeats.
var _ = Describe("the size of a heartbeat", func() {
	address := netip.MustParseAddrPort("255.255.255.254:65535")
	name := func(n int) string { return strings.Repeat("n", n) }
	// backend returns a registration with the largest values and names of the given sizes.
	backend := func(id currantturn.BackendID, nameBytes int) currantturn.Registration {
		return currantturn.Registration{
			ID: id, Service: currantturn.ServiceName(name(nameBytes)), Address: address, FailureDomain: currantturn.FailureDomain(name(nameBytes)),
			Slots: 1 << 16, State: currantturn.BackendDraining, WarmUpRemaining: time.Hour, StartedAt: time.UnixMilli(1<<47 - 1),
			CreatedRevision: math.MaxUint64, Sequence: math.MaxUint64,
		}
	}

	It("has room for the largest change beside the largest values of everything else", func() {
		largest := Heartbeat{
			Position: currantturn.Position{Era: math.MaxUint64, Revision: math.MaxUint64}, Version: math.MaxUint64, AgeMS: math.MaxUint32,
			Peers: slices.Repeat([]netip.AddrPort{address}, maxHeartbeatPeers+2), Capacity: 1.1e300, Since: math.MaxUint64,
			RecordedMS: math.MaxUint32, Searches: true, Announced: math.MaxUint32, Unverified: true, Digest: math.MaxUint64,
		}
		for size := 1; ; size++ {
			c := change{since: math.MaxUint64, servers: []roster.Entry{{Registration: backend("a", 1)}}, orders: []currantturn.DrainOrder{{FailureDomain: currantturn.FailureDomain(name(size)), Revoked: true}}}
			if !c.measured().fits {
				Expect(size).To(BeNumerically(">", 100))
				return
			}
			h := largest
			h.Changed, h.Orders = c.servers, c.orders
			_, err := message.Encode(h)
			Expect(err).NotTo(HaveOccurred(), "a name of %d bytes", size)
		}
	})

	DescribeTable("leaves a change out that does not fit, and nothing else", func(ids, nameBytes int, fits bool) {
		now := time.Unix(1_000_000, 0)
		var out currantturn.Effects
		f := New(now, Options{Self: address, Seeds: []netip.AddrPort{netip.MustParseAddrPort("10.0.0.2:7120")}, ApplyWithin: 3 * time.Second})
		listing := currantturn.Listing{Position: currantturn.Position{Revision: 5}}
		routing := listing
		routing.Items = []currantturn.Item{{Routing: &currantturn.Routing{Version: 1}}}
		f.ApplyListing(now, now, routing, listing, &out)
		changes := currantturn.Listing{Position: currantturn.Position{Revision: 9}}
		for n := range ids {
			r := backend(currantturn.BackendID(strings.Repeat(string(rune('a'+n)), 192)), nameBytes)
			r.StartedAt = now
			changes.Items = append(changes.Items, currantturn.Item{Registration: &r})
		}
		f.ApplyChanges(now, currantturn.Position{Revision: 5}, changes, &out)
		out.Reset()
		f.SendHeartbeats(now, &out)
		Expect(out.Sends).To(HaveLen(1))
		h := out.Sends[0].Message.(Heartbeat)
		Expect(h.Revision).To(Equal(uint64(9)))
		Expect(len(h.Changed) > 0).To(Equal(fits))
		_, err := message.Encode(h)
		Expect(err).NotTo(HaveOccurred())
	},
		Entry("one with usual names", 1, 12, true),
		Entry("one with the longest names", 1, 200, true),
		Entry("two with the longest names", 2, 200, false),
		Entry("four with the longest keys", 4, 12, false),
	)
})
