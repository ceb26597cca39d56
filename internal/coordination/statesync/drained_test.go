package statesync_test

import (
	"net/netip"
	"slices"
	"strings"
	"time"

	"github.com/currantturn/currantturn"
	"github.com/currantturn/currantturn/internal/coordination/statesync"
	"github.com/currantturn/currantturn/internal/event"
	"github.com/currantturn/currantturn/internal/protocol/message"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// ignoresDrains reports whether balancer n does not know of drained failure domains.
func (f *fleet) ignoresDrains(n int) bool {
	return f.withoutDrains != nil && f.withoutDrains(n)
}

// forgetDrained changes a heartbeat and a state between two balancers of which one may be a
// process that does not know of drained failure domains.
func (f *fleet) forgetDrained(from, to int, h *statesync.Heartbeat, state *statesync.State) {
	self := f.balancers[from].addr
	if f.ignoresDrains(from) {
		state.Drained, state.DrainedKnown, state.Complete = nil, false, false
		h.Orders = nil
		h.Peers = slices.DeleteFunc(slices.Clone(h.Peers), func(p netip.AddrPort) bool { return p == self })
	}
	if f.ignoresDrains(to) {
		state.Drained, state.DrainedKnown, state.Complete = nil, true, true
		Expect(h.Orders).To(BeEmpty(), "its decoder accepts no fields that it does not know")
		h.Peers = append([]netip.AddrPort{self, self}, h.Peers...) // all peers count for it
	}
}

// withoutOrders returns a listing as a process reads it that does not know of orders.
func withoutOrders(l currantturn.Listing) currantturn.Listing {
	l.Items = slices.DeleteFunc(slices.Clone(l.Items), func(i currantturn.Item) bool { return i.Drain != nil })
	return l
}

// drained returns the failure domains that are drained according to balancer i.
func (f *fleet) drained(i int) []string {
	names := []string{}
	for _, e := range f.balancers[i].feed.State(f.now).Drained {
		names = append(names, string(e.FailureDomain))
	}
	return names
}

// expectDrained expects all balancers to have the same drained failure domains.
func (f *fleet) expectDrained(names ...string) {
	GinkgoHelper()
	for i := range f.balancers {
		if !f.ignoresDrains(i) {
			Expect(f.drained(i)).To(Equal(append([]string{}, names...)), "balancer %d", i)
		}
	}
}

var _ = Describe("drained failure domains", func() {
	const spread = time.Second

	It("are read with the rest, and spread to all balancers though two of them watch", func() {
		f := newHistoryFleet(24)
		calls, pulls := f.calls, f.pulls
		f.store.drain("upanga")
		f.run(spread)
		f.expectDrained("upanga")
		Expect(f.calls-calls).To(BeNumerically("<=", 4), "no balancer lists the store")
		f.restart(5)
		f.run(spread)
		f.expectDrained("upanga")
		f.store.undrain("upanga")
		f.run(spread)
		f.expectDrained()
		Expect(f.pulls-pulls).To(BeNumerically("<=", 24), "changes are small")
		Expect(f.events[event.DomainDrained]).To(Equal(25))
		Expect(f.events[event.DomainRestored]).To(Equal(24))
	})

	// A heartbeat that does not fit into a message is not sent at all.
	It("fit into a heartbeat with the longest names that the store takes", func() {
		f := newHistoryFleet(24)
		for n := range 4 {
			f.store.drain(currantturn.FailureDomain(strings.Repeat(string(rune('a'+n)), 187)))
		}
		f.run(spread)
		Expect(f.drained(23)).To(HaveLen(4))
		Expect(f.largestHeartbeat).To(BeNumerically(">", 800))
		Expect(f.largestHeartbeat).To(BeNumerically("<=", message.MaxBytes))
	})

	It("may be several, each with its own end", func() {
		f := newHistoryFleet(6)
		f.store.drain("kurasini")
		f.run(spread)
		f.store.drain("upanga")
		f.store.register(registration("c", 1))
		f.run(spread)
		f.expectDrained("kurasini", "upanga")
		f.store.undrain("kurasini")
		f.run(spread)
		f.expectDrained("upanga")
	})

	It("stay drained when an order is taken back and given again at once", func() {
		f := newHistoryFleet(6)
		f.store.drain("upanga")
		f.run(spread)
		f.store.undrain("upanga")
		f.store.drain("upanga")
		f.run(spread)
		f.expectDrained("upanga")
		f.store.undrain("upanga")
		f.store.drain("upanga")
		f.store.undrain("upanga")
		f.run(spread)
		f.expectDrained()
	})

	It("are known without backend servers, and without a meaning for the deployment", func() {
		f := newHistoryFleet(2)
		f.store.drain("nowhere")
		f.run(spread)
		f.expectDrained("nowhere")
		Expect(f.placeable(0)).To(HaveLen(2))
		f.run(10 * time.Second)
		Expect(f.events[event.DomainDrained]).To(Equal(2), "logged once by each")
	})

	It("stay drained while the store is away, also for a balancer that starts then", func() {
		f := newHistoryFleet(6)
		f.store.drain("upanga")
		f.run(spread)
		f.store.away = true
		f.run(10 * time.Second)
		f.restart(2)
		f.run(2 * time.Second)
		f.expectDrained("upanga")
		f.store.away = false
		f.store.undrain("upanga")
		f.run(4 * time.Second)
		f.expectDrained()
	})

	// The watchers missed the changes between, and read everything anew.
	It("are those of a complete reading after the store has dropped its history", func() {
		f := newHistoryFleet(6)
		f.store.drain("upanga")
		f.run(spread)
		f.store.away = true
		f.run(time.Second)
		f.store.undrain("upanga")
		f.store.drain("kurasini")
		f.store.compact()
		f.store.away = false
		f.run(3 * time.Second)
		f.expectDrained("kurasini")
	})

	It("reach a balancer that the store refuses, and one that its peers do not reach", func() {
		f := newHistoryFleet(6)
		f.readRefused = func(n int) bool { return n == 0 || n == 1 }
		f.heartbeatLost = func(from, to int) bool { return from == 5 || to == 5 }
		f.run(5 * time.Second)
		f.store.drain("upanga")
		f.run(4 * time.Second)
		f.expectDrained("upanga")
	})

	// The copy is older than the order, which the operator writes again within two seconds.
	DescribeTable("stay drained when the store returns from a copy without the order", func(balancers int, age time.Duration) {
		f := newHistoryFleet(balancers)
		f.run(age)
		copied := f.store.copied()
		f.store.drain("upanga")
		f.run(spread)
		f.store.restore(copied)
		for n := range 190 {
			f.run(tickInterval)
			if n == 20 && balancers > 1 {
				f.restart(balancers / 2)
			}
			for i := range f.balancers {
				if s := f.balancers[i].feed.State(f.now); s.Routing != nil && !s.PlacementHeld {
					Expect(f.drained(i)).To(Equal([]string{"upanga"}), "balancer %d after %s", i, time.Duration(n)*tickInterval)
				}
			}
		}
		f.store.drain("upanga")
		f.run(10 * time.Second)
		f.expectDrained("upanga")
	},
		Entry("with one balancer", 1, time.Second),
		Entry("with balancers that have just started", 6, time.Second),
		Entry("with balancers that have seen all for as long as a flow lives", 6, 65*time.Second),
	)

	It("are taken back when the store returns from a copy without the order, and nobody writes it again", func() {
		f := newHistoryFleet(6)
		copied := f.store.copied()
		f.store.drain("upanga")
		f.run(spread)
		f.store.restore(copied)
		f.run(5 * time.Second)
		f.expectDrained()
	})

	It("are those of the store when it returns from a copy with an order that was taken back", func() {
		f := newHistoryFleet(6)
		f.store.drain("upanga")
		f.run(spread)
		copied := f.store.copied()
		f.store.undrain("upanga")
		f.run(spread)
		f.store.restore(copied)
		f.run(spread)
		f.expectDrained("upanga")
		f.store.undrain("upanga")
		f.run(spread)
		f.expectDrained()
	})

	// A roll replaces processes that pass states on without orders, which then are missing in
	// a newer state.
	It("reach all processes that know of them beside processes that do not", func() {
		for _, old := range []func(int) bool{
			func(n int) bool { return n < 3 }, func(n int) bool { return n >= 3 }, func(n int) bool { return n%2 == 0 }, func(n int) bool { return n != 4 },
		} {
			f := newFleet(6)
			f.withoutDrains = old
			f.store = newHistory()
			f.store.configure(7)
			f.store.register(registration("a", 1))
			f.run(3 * time.Second)
			for n := range 10 {
				f.store.drain("upanga")
				f.store.register(registration("b", uint64(n)))
				f.run(3 * time.Second)
				f.expectDrained("upanga")
				f.store.configure(currantturn.Version(8 + n))
				f.store.undrain("upanga")
				f.run(3 * time.Second)
				f.expectDrained()
				Expect(f.versions()).To(HaveEach(currantturn.Version(8 + n)))
			}
		}
	})

	It("are learned after a state of a process that does not know of them was all there was", func() {
		f := newFleet(3)
		f.withoutDrains = func(n int) bool { return n == 0 }
		f.readRefused = func(n int) bool { return n > 0 }
		f.store = newHistory()
		f.store.configure(7)
		f.store.register(registration("a", 1))
		f.store.drain("upanga")
		f.run(5 * time.Second)
		Expect(f.placeable(1)).To(HaveLen(1))
		Expect(f.drained(1)).To(BeEmpty())
		f.readRefused = func(n int) bool { return n == 2 }
		f.run(6 * time.Second)
		f.expectDrained("upanga")
	})

	It("are not given up for the newer state of a process that may not have them all, while the own state is recent", func() {
		f := newHistoryFleet(1)
		b := f.balancers[0]
		peer := netip.MustParseAddrPort("10.0.0.9:7120")
		h := statesync.Heartbeat{Position: b.feed.State(f.now).Position, Version: 8}
		h.Revision++
		Expect(b.feed.HandleHeartbeat(f.now, peer, h, &currantturn.Effects{})).To(Equal(statesync.OutcomeNone))
		f.store.away = true
		f.run(applyWithin)
		Expect(b.feed.HandleHeartbeat(f.now, peer, h, &currantturn.Effects{})).To(Equal(statesync.OutcomePull))
		h.Peers = []netip.AddrPort{peer}
		f.store.away = false
		f.run(time.Second)
		Expect(b.feed.HandleHeartbeat(f.now, peer, h, &currantturn.Effects{})).To(Equal(statesync.OutcomeNone))
		h.Peers = []netip.AddrPort{peer, peer}
		Expect(b.feed.HandleHeartbeat(f.now, peer, h, &currantturn.Effects{})).To(Equal(statesync.OutcomePull))
	})
})
