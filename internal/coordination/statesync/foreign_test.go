package statesync_test

import (
	"math"
	"net/netip"
	"time"

	"github.com/currantturn/currantturn"
	"github.com/currantturn/currantturn/internal/coordination/statesync"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// Guards against resets of the flows of backend servers that another writer's entries hide
// (review/11, review/12).
var _ = Describe("a state with entries of another writer", func() {
	start := time.Unix(1_000_000, 0)
	routes := []currantturn.FlowRoute{{Address: netip.MustParseAddrPort("198.18.0.1:443"), Shares: []currantturn.Share{{Service: "verify", Weight: 1}}}}
	backend := func(id currantturn.BackendID, service currantturn.ServiceName, started time.Time) currantturn.Item {
		return currantturn.Item{Registration: &currantturn.Registration{
			ID: id, Service: service, Address: netip.MustParseAddrPort("10.1.0.9:8080"), Slots: 2, State: currantturn.BackendActive, StartedAt: started,
		}}
	}
	own := backend("a", "verify", start)
	var out currantturn.Effects
	// listed returns a feed that has read the items.
	listed := func(fresh bool, items ...currantturn.Item) *statesync.Feed {
		f := statesync.New(start, statesync.Options{Self: netip.MustParseAddrPort("10.0.0.1:7120"), Seed: 1, ApplyWithin: applyWithin, Fresh: fresh})
		routing, servers := at(5), at(5)
		routing.Items, servers.Items = []currantturn.Item{{Routing: &currantturn.Routing{Version: 1, Routes: routes}}}, items
		f.ApplyListing(start, start, routing, servers, &out)
		return f
	}
	change := func(f *statesync.Feed, now time.Time, item currantturn.Item) statesync.State {
		before := f.State(now).Position
		changes := at(before.Revision + 1)
		changes.Items = []currantturn.Item{item}
		f.ApplyChanges(now, before, changes, &out)
		return f.State(now)
	}

	DescribeTable("holds no reset back for what it knows, after a start resets wait until hidden backend servers have written",
		func(fresh, held bool, items ...currantturn.Item) {
			f := listed(fresh, items...)
			Expect(f.State(start).ResetsHeld).To(Equal(held))
			f.Tick(start.Add(3*time.Second), &out)
			Expect(f.State(start.Add(3 * time.Second)).ResetsHeld).To(BeFalse())
		},
		Entry("registrations alone", false, false, own),
		Entry("what can't be used", false, true, own, currantturn.Item{Unusable: "b"}),
		Entry("a service that isn't named", false, true, own, backend("b", "inventory", start)),
		Entry("a start far ahead", false, true, own, backend("b", "verify", start.Add(48*time.Hour))),
		Entry("while no flow can be older", true, false, own, currantturn.Item{Unusable: "b"}),
	)

	DescribeTable("keeps the backend server in force over whose registration one stands", func(item currantturn.Item) {
		f := listed(true, own)
		s := change(f, start.Add(time.Second), item)
		Expect(s.Servers[0].Registration).To(Equal(*own.Registration))
		Expect(s.Servers[0].Placeable()).To(BeTrue())
		Expect(s.ResetsHeld).To(BeFalse())
		s = change(f, start.Add(2*time.Second), own)
		Expect(s.Servers).To(HaveLen(1))
		Expect(s.Servers[0].Conflicting()).To(BeFalse())
	},
		Entry("what can't be used", currantturn.Item{Unusable: "a"}),
		Entry("a service that isn't named", backend("a", "inventory", start)),
		Entry("a start far ahead", backend("a", "verify", start.Add(48*time.Hour))),
	)

	// Starts and sequences are compared only after the store has returned from a copy.
	DescribeTable("has a backend server's own registration in force again after the store returned from a copy", func(odd func(r *currantturn.Registration)) {
		f := newHistoryFleet(3)
		copied := f.store.copied()
		foreign := registration("a", 9)
		foreign.Slots = 7
		odd(&foreign)
		f.store.register(foreign)
		f.run(time.Second)
		f.store.restore(copied)
		f.run(time.Second)
		own := registration("a", 12)
		own.Slots = 3
		f.store.register(own)
		f.run(70 * time.Second)
		for _, b := range f.balancers {
			s := b.feed.State(f.now)
			Expect(s.Servers[0].Slots).To(Equal(3))
			Expect(s.Servers[0].Placeable() && !s.Servers[0].Conflicting()).To(BeTrue())
		}
	},
		Entry("over the highest sequence", func(r *currantturn.Registration) { r.Sequence = math.MaxUint64 }),
		Entry("over a start that is ahead", func(r *currantturn.Registration) { r.StartedAt = time.Unix(1_000_000, 0).Add(30 * time.Minute) }),
		Entry("over another service", func(r *currantturn.Registration) { r.Service = "inventory" }),
	)

	It("has the registration of a named service in force at once over that of one that isn't", func() {
		f := listed(false, backend("a", "inventory", start))
		s := change(f, start.Add(time.Second), own)
		Expect(s.Servers[0].Registration).To(Equal(*own.Registration))
		Expect(s.Servers[0].Placeable() && !s.Servers[0].Conflicting()).To(BeTrue())
	})

	// Backend servers may register before the operator names their service.
	It("has a registration in force whose service the next configuration names", func() {
		f := listed(false, own, backend("b", "reports", start))
		next := &currantturn.Routing{Version: 2, Routes: []currantturn.FlowRoute{routes[0]}}
		next.Routes[0].Shares = []currantturn.Share{{Service: "reports", Weight: 1}}
		s := change(f, start.Add(time.Second), currantturn.Item{Routing: next})
		Expect(s.Servers).To(HaveLen(2))
		Expect(s.Servers[1].Placeable() && !s.Servers[1].Conflicting()).To(BeTrue())
	})
})
