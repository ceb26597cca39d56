package statesync_test

import (
	"time"

	"github.com/currantturn/currantturn"
	"github.com/currantturn/currantturn/internal/event"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// newHistoryFleet returns n balancers that have read a store that keeps its changes, with a
// configuration of version 7 and the backend servers a and b.
func newHistoryFleet(n int) *fleet {
	f := newFleet(n)
	f.store = newHistory()
	f.store.configure(7)
	for _, id := range []currantturn.BackendID{"a", "b"} {
		f.store.register(registration(id, 1))
	}
	f.run(3 * time.Second)
	return f
}

func registration(id currantturn.BackendID, sequence uint64) currantturn.Registration {
	return currantturn.Registration{ID: id, Service: "verify", Slots: 2, State: currantturn.BackendActive, Sequence: sequence}
}

func draining(id currantturn.BackendID, sequence uint64) currantturn.Registration {
	r := registration(id, sequence)
	r.State = currantturn.BackendDraining
	return r
}

// placeable returns the backend servers that balancer i may place new flows on.
func (f *fleet) placeable(i int) (ids []currantturn.BackendID) {
	s := f.balancers[i].feed.State(f.now)
	if s.PlacementHeld {
		return nil
	}
	for _, e := range s.Servers {
		if e.Placeable() {
			ids = append(ids, e.ID)
		}
	}
	return ids
}

var _ = Describe("a store that returns from a copy", func() {
	It("is followed in its new history, with few reads", func() {
		f := newHistoryFleet(12)
		copied := f.store.copied()
		for n := range uint64(100) {
			f.store.configure(8 + currantturn.Version(n))
			f.run(tickInterval)
		}
		f.store.restore(copied)
		before := f.calls
		f.store.configure(200)
		f.store.register(registration("c", 1))
		f.run(time.Second)
		Expect(f.versions()).To(HaveEach(currantturn.Version(200)))
		for i := range f.balancers {
			Expect(f.placeable(i)).To(ConsistOf(currantturn.BackendID("a"), currantturn.BackendID("b"), currantturn.BackendID("c")))
		}
		f.run(5 * time.Second)
		Expect(f.calls-before).To(BeNumerically("<=", 12*2+25), "one complete reading each, and the watches of two balancers")
		Expect(f.events[event.StoreRestored]).To(Equal(12))
	})

	// The revisions have passed the one that the watch goes on from, so that the store
	// would return changes of another history.
	It("is read anew when its revisions have passed the earlier ones again", func() {
		f := newHistoryFleet(1)
		copied := f.store.copied()
		f.store.configure(8)
		f.run(time.Second)
		f.store.away = true
		f.run(500 * time.Millisecond)
		f.store.restore(copied)
		f.store.register(registration("c", 1))
		for n := range 5 {
			f.store.configure(currantturn.Version(9 + n))
		}
		f.store.away = false
		f.run(time.Second)
		Expect(f.versions()).To(HaveEach(currantturn.Version(13)))
		Expect(f.placeable(0)).To(ContainElement(currantturn.BackendID("c")))
	})

	It("does not put an older configuration in force", func() {
		f := newHistoryFleet(3)
		copied := f.store.copied()
		f.store.configure(8)
		f.run(time.Second)
		f.store.restore(copied)
		f.run(4 * time.Second)
		Expect(f.versions()).To(HaveEach(currantturn.Version(8)))
	})

	It("does not bring back a backend server that drains or has left, unless that writes again", func() {
		f := newHistoryFleet(3)
		copied := f.store.copied()
		f.store.register(draining("a", 5))
		f.store.register(draining("b", 5))
		f.run(time.Second)
		f.store.remove("b")
		f.run(time.Second)
		f.store.restore(copied)
		for range 200 {
			f.run(tickInterval)
			for i := range f.balancers {
				Expect(f.placeable(i)).To(BeEmpty())
			}
		}
		f.store.register(draining("a", 6))
		f.store.remove("b") // lapses
		f.run(3 * time.Second)
		Expect(f.placeable(0)).To(BeEmpty())
		again := registration("b", 1)
		again.WarmUpRemaining = time.Second
		f.store.register(again)
		f.run(time.Second)
		for i := range f.balancers {
			Expect(f.placeable(i)).To(Equal([]currantturn.BackendID{"b"}))
		}
	})

	It("keeps a backend server that the copy does not have if it writes again within two seconds", func() {
		f := newHistoryFleet(3)
		copied := f.store.copied()
		f.store.register(registration("c", 1))
		f.store.register(registration("d", 1))
		f.run(time.Second)
		f.store.restore(copied)
		f.run(1900 * time.Millisecond)
		Expect(f.placeable(0)).To(ContainElements(currantturn.BackendID("c"), currantturn.BackendID("d")))
		f.store.register(registration("c", 3))
		f.run(4 * time.Second)
		for i := range f.balancers {
			Expect(f.placeable(i)).To(ConsistOf(currantturn.BackendID("a"), currantturn.BackendID("b"), currantturn.BackendID("c")))
		}
	})

	It("does not mislead a balancer that starts just then, which learns the rest from its peers first", func() {
		for _, restarted := range []int{0, 2, 5} {
			f := newHistoryFleet(6)
			copied := f.store.copied()
			f.store.register(draining("a", 5))
			f.run(time.Second)
			f.store.remove("a")
			f.run(time.Second)
			f.store.restore(copied)
			f.run(200 * time.Millisecond)
			f.restart(restarted)
			for range 50 {
				f.run(tickInterval)
				Expect(f.placeable(restarted)).NotTo(ContainElement(currantturn.BackendID("a")))
			}
			Expect(f.placeable(restarted)).To(Equal([]currantturn.BackendID{"b"}))
		}
	})

	It("does not hold new flows back for long when no peer answers", func() {
		f := newHistoryFleet(1)
		f.restart(0)
		f.run(500 * time.Millisecond)
		Expect(f.placeable(0)).To(HaveLen(2))
	})

	It("does not take a late response of the earlier era for the present", func() {
		f := newHistoryFleet(1)
		late, lateServers := f.store.listRouting(), f.store.listServers()
		copied := f.store.copied()
		f.store.configure(8)
		f.run(time.Second)
		f.store.restore(copied)
		f.store.configure(9)
		f.store.register(draining("a", 9))
		f.run(time.Second)
		var out currantturn.Effects
		b := f.balancers[0]
		position := b.feed.State(f.now).Position
		late.Revision, lateServers.Revision = 500, 500
		b.feed.ApplyChanges(f.now, position, lateServers, &out)
		b.feed.ApplyListing(f.now, f.now, late, lateServers, &out)
		Expect(b.feed.State(f.now).Position).To(Equal(position))
		Expect(f.placeable(0)).To(Equal([]currantturn.BackendID{"b"}))
		f.store.configure(10)
		f.run(time.Second)
		Expect(f.versions()).To(HaveEach(currantturn.Version(10)))
	})

	// A peer's state has replaced the position that the watch goes on from.
	It("does not take a watch from the earlier history for one from the present", func() {
		f := newHistoryFleet(2)
		b := f.balancers[0]
		copied := f.store.copied()
		f.store.configure(8)
		f.run(time.Second)
		after := b.feed.State(f.now).Position
		f.store.restore(copied)
		var out currantturn.Effects
		peer := f.balancers[1].feed
		peer.ApplyListing(f.now, f.now, f.store.listRouting(), f.store.listServers(), &out)
		b.feed.ApplyPulled(f.now, peer.State(f.now), &out)
		f.store.register(draining("a", 5))
		Expect(f.store.Revision).To(Equal(after.Revision), "the revision was given out again")
		changes, err := f.store.watch(after.Revision)
		Expect(err).NotTo(HaveOccurred())
		b.feed.ApplyChanges(f.now, after, changes, &out)
		f.run(time.Second)
		for i := range f.balancers {
			Expect(f.placeable(i)).To(Equal([]currantturn.BackendID{"b"}))
		}
	})

	It("is noticed in an error response", func() {
		f := newHistoryFleet(1)
		b := f.balancers[0]
		var out currantturn.Effects
		b.feed.RecordFailure(f.now, 2, currantturn.ErrUnavailable, &out)
		f.now = f.now.Add(time.Second)
		Expect(b.feed.Next(f.now).Step).To(BeEquivalentTo("list"))
	})

	It("is followed beside processes that do not know of eras", func() {
		f := newHistoryFleet(4)
		f.withoutEras = func(n int) bool { return n >= 2 }
		f.restart(2)
		f.restart(3)
		f.run(2 * time.Second)
		f.store.configure(8)
		f.run(time.Second)
		Expect(f.versions()).To(HaveEach(currantturn.Version(8)))
		copied := f.store.copied()
		for n := range 20 {
			f.store.configure(currantturn.Version(9 + n))
		}
		f.store.register(draining("a", 7))
		f.run(time.Second)
		f.store.restore(copied)
		f.store.configure(50)
		f.run(2 * time.Second)
		for i := range 2 {
			Expect(f.versions()[i]).To(Equal(currantturn.Version(50)))
			Expect(f.placeable(i)).To(Equal([]currantturn.BackendID{"b"}))
		}
	})

	// The earlier processes stay at a revision of the earlier history, which the store reaches
	// again much later. The joining one may hear of them before or after the store.
	It("is followed by a process that joins processes that do not know of eras", func() {
		for n := range 20 {
			f := newHistoryFleet(4)
			f.withoutEras = func(n int) bool { return n > 0 }
			f.withoutDrains = f.withoutEras // they are from before both
			for i := 1; i < 4; i++ {
				f.restart(i)
			}
			f.run(2 * time.Second)
			copied := f.store.copied()
			for n := range 40 {
				f.store.configure(currantturn.Version(9 + n))
			}
			f.run(time.Second)
			f.store.restore(copied)
			f.store.configure(50)
			f.run(2*time.Second + time.Duration(n)*tickInterval)
			f.store.away = n%2 == 1
			f.restart(0)
			f.run(200 * time.Millisecond)
			f.store.away = false
			f.run(time.Second)
			Expect(f.versions()[0]).To(Equal(currantturn.Version(50)))
			f.store.configure(51)
			f.run(time.Second)
			Expect(f.versions()[0]).To(Equal(currantturn.Version(51)))
		}
	})
})
