package statesync_test

import (
	"errors"
	"net/netip"
	"testing"
	"time"

	"github.com/currantturn/currantturn"
	"github.com/currantturn/currantturn/internal/coordination/statesync"
	"github.com/currantturn/currantturn/internal/event"
	"github.com/currantturn/currantturn/internal/suite"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestStateSync(t *testing.T) { suite.Run(t, "statesync") }

const (
	applyWithin = 3 * time.Second
	readDelay   = 4 * time.Millisecond
	playStep    = 10 * time.Millisecond
)

// fleet plays balancers that read a modelled store and hear each other.
type fleet struct {
	now     time.Time
	nodes   []*node
	version currantturn.Version
	at      uint64 // store's revision
	servers []currantturn.Registration
	calls   int
	pulls   int
	refuse  func(n int) bool // whose calls the store refuses
	silent  bool             // watches hear nothing
	cut     func(from, to int) bool
	events  map[int]int
}

type node struct {
	at   netip.AddrPort
	feed *statesync.Feed
	busy time.Time // until then a read goes on
	done func(out *currantturn.Effects)
	back bool // a lower version came in force
	last currantturn.Version
}

func newFleet(n int) *fleet {
	f := &fleet{
		now: time.Unix(1_000_000, 0), version: 1, at: 10,
		servers: []currantturn.Registration{{ID: "a", State: currantturn.BackendActive}},
		events:  map[int]int{},
	}
	for i := range n {
		x := &node{at: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i + 1)}), 7120)}
		f.nodes = append(f.nodes, x)
		f.restart(i)
	}
	return f
}

func (f *fleet) restart(i int) {
	x := f.nodes[i]
	x.feed = statesync.New(f.now, statesync.Options{
		Self: x.at, Seeds: []netip.AddrPort{f.nodes[0].at}, Seed: uint64(i + 1), ApplyWithin: applyWithin,
	})
	x.done, x.last = nil, 0
}

func (f *fleet) routing() currantturn.Listing {
	return currantturn.Listing{Revision: f.at, Items: []currantturn.Item{{Routing: &currantturn.Routing{Version: f.version}}}}
}

func (f *fleet) registrations() currantturn.Listing {
	l := currantturn.Listing{Revision: f.at}
	for i := range f.servers {
		l.Items = append(l.Items, currantturn.Item{Registration: &f.servers[i]})
	}
	return l
}

func (f *fleet) play(d time.Duration) {
	for end := f.now.Add(d); f.now.Before(end); f.now = f.now.Add(playStep) {
		for i := range f.nodes {
			f.step(i)
		}
	}
}

func (f *fleet) step(i int) {
	x := f.nodes[i]
	var out currantturn.Effects
	x.feed.Tick(f.now, &out)
	if x.done != nil && (!f.now.Before(x.busy) || f.due(x)) {
		done := x.done
		x.done = nil
		done(&out)
	}
	if x.done == nil {
		f.read(i)
	}
	for _, s := range out.Sends {
		for j, y := range f.nodes {
			if y.at != s.To || f.cut != nil && f.cut(i, j) {
				continue
			}
			if y.feed.Handle(f.now, x.at, s.Message.(statesync.Heartbeat)) == statesync.NewsPull {
				y.feed.Pulled(x.feed.State(), &out)
				f.pulls++
			}
		}
	}
	for _, e := range out.Events {
		f.events[e.Number]++
	}
	if r := x.feed.State().Routing; r != nil {
		x.back = x.back || r.Version < x.last
		x.last = r.Version
	}
}

// due says whether a watch returns early since something changed.
func (f *fleet) due(x *node) bool {
	return !f.silent && x.feed.State().Revision < f.at
}

func (f *fleet) read(i int) {
	x := f.nodes[i]
	plan := x.feed.Next(f.now)
	if plan.Step == statesync.StepPause {
		return
	}
	f.calls++
	x.busy = f.now.Add(readDelay)
	if f.refuse != nil && f.refuse(i) {
		x.done = func(out *currantturn.Effects) { x.feed.Failed(f.now, false, errors.New("refused"), out) }
		return
	}
	began := f.now
	if plan.Step == statesync.StepList {
		f.calls++
		x.done = func(out *currantturn.Effects) { x.feed.Listed(f.now, began, f.routing(), f.registrations(), out) }
		return
	}
	x.busy = f.now.Add(plan.Wait)
	x.done = func(out *currantturn.Effects) {
		l := currantturn.Listing{Revision: f.at, Items: f.registrations().Items}
		if r := x.feed.State().Routing; r == nil || r.Version != f.version {
			l.Items = append(l.Items, f.routing().Items...)
		}
		if f.silent {
			l = currantturn.Listing{Revision: plan.After}
		}
		x.feed.Watched(f.now, l, out)
	}
}

func (f *fleet) publish() {
	f.version += 3
	f.at++
}

func (f *fleet) versions() (all []currantturn.Version) {
	for _, x := range f.nodes {
		Expect(x.back).To(BeFalse())
		v := currantturn.Version(0)
		if r := x.feed.State().Routing; r != nil {
			v = r.Version
		}
		all = append(all, v)
	}
	return all
}

var _ = Describe("the published state", func() {
	everywhere := func(f *fleet) {
		GinkgoHelper()
		Expect(f.versions()).To(HaveEach(f.version))
	}

	It("is known within a moment of the start", func() {
		f := newFleet(8)
		f.play(100 * time.Millisecond)
		everywhere(f)
	})

	It("reaches every balancer within the bound while few of them watch", func() {
		f := newFleet(12)
		f.play(3 * time.Second)
		before := f.calls
		f.play(10 * time.Second)
		// Two watchers that wait a third of the bound each.
		Expect(f.calls - before).To(BeNumerically("<=", 30))
		for range 5 {
			f.publish()
			f.play(500 * time.Millisecond)
			everywhere(f)
		}
	})

	It("reaches balancers that the store turns away, through the others", func() {
		f := newFleet(6)
		f.play(3 * time.Second)
		f.refuse = func(n int) bool { return n%2 == 0 }
		f.play(2 * time.Second)
		f.publish()
		f.play(applyWithin)
		everywhere(f)
	})

	It("reaches a balancer that restarts while the store turns it away", func() {
		f := newFleet(4)
		f.play(2 * time.Second)
		f.publish()
		f.play(time.Second)
		f.refuse = func(n int) bool { return n == 2 }
		f.restart(2)
		f.play(time.Second)
		everywhere(f)
	})

	It("reaches balancers whose peers are cut off, by their own reads", func() {
		f := newFleet(6)
		f.play(3 * time.Second)
		f.cut = func(_, to int) bool { return to == 5 }
		f.play(2 * time.Second)
		f.publish()
		f.play(applyWithin)
		everywhere(f)
	})

	It("has a line in the log when a balancer begins to watch the store for others", func() {
		f := newFleet(6)
		f.play(4 * time.Second)
		watched := f.events[event.StoreWatched] - f.events[event.StoreLeftToOthers]
		Expect(watched).To(Equal(2), "the watchers of a fleet")
		f.cut = func(from, to int) bool { return from == 5 || to == 5 }
		f.play(3 * time.Second)
		Expect(f.events[event.StoreWatched] - f.events[event.StoreLeftToOthers]).To(BeNumerically(">", watched))
		f.cut = nil
		f.play(3 * time.Second)
		Expect(f.events[event.StoreWatched] - f.events[event.StoreLeftToOthers]).To(Equal(watched))
	})

	It("carries a changed registration in heartbeats, without pulls", func() {
		f := newFleet(12)
		f.play(3 * time.Second)
		before := f.pulls
		for range 5 {
			f.servers[0].WarmUp += time.Second
			f.at++
			f.play(time.Second)
			for _, x := range f.nodes {
				Expect(x.feed.State().Revision).To(Equal(f.at))
				Expect(x.feed.State().Servers[0].WarmUp).To(Equal(f.servers[0].WarmUp))
			}
		}
		Expect(f.pulls - before).To(BeNumerically("<=", 3))
	})

	It("is watched by those with the fastest links", func() {
		f := newFleet(6)
		for i, x := range f.nodes {
			x.feed = statesync.New(f.now, statesync.Options{
				Self: x.at, Seeds: []netip.AddrPort{f.nodes[0].at}, Seed: uint64(i), ApplyWithin: applyWithin, Capacity: float64(10 + i/4),
			})
		}
		f.play(3 * time.Second)
		for i, x := range f.nodes {
			Expect(x.feed.Next(f.now).Step == statesync.StepPause).To(Equal(i < 4), "balancer %d", i)
		}
	})

	It("never goes back when a store shows an older state", func() {
		f := newFleet(3)
		f.play(2 * time.Second)
		f.publish()
		f.play(time.Second)
		f.version -= 3
		f.at--
		f.play(5 * time.Second)
		Expect(f.versions()).To(HaveEach(f.version + 3))
	})

	It("reads everything anew after the history is gone", func() {
		f := newFleet(1)
		f.play(time.Second)
		x := f.nodes[0]
		Expect(x.feed.Next(f.now).Step).To(Equal(statesync.StepWatch))
		var out currantturn.Effects
		x.feed.Failed(f.now, true, errors.New("gone"), &out)
		Expect(x.feed.Next(f.now).Step).To(Equal(statesync.StepList))
		Expect(out.Events).To(BeEmpty())
	})

	It("backs off while the store does not answer, and never far", func() {
		f := newFleet(1)
		f.refuse = func(int) bool { return true }
		f.play(10 * time.Second)
		Expect(f.calls).To(BeNumerically("<", 60))
		f.refuse = nil
		f.play(1300 * time.Millisecond)
		everywhere(f)
	})

	It("keeps a registration that lapses while the store is away, and drops one that stays away", func() {
		f := newFleet(1)
		f.servers = append(f.servers, currantturn.Registration{ID: "b", State: currantturn.BackendActive})
		f.play(time.Second)
		f.refuse = func(int) bool { return true }
		f.play(2 * time.Second)
		f.refuse = nil
		f.servers = f.servers[:1]
		f.at++
		f.play(1500 * time.Millisecond)
		placeable := func() (n int) {
			for _, e := range f.nodes[0].feed.State().Servers {
				if e.Placeable() {
					n++
				}
			}
			return n
		}
		Expect(placeable()).To(Equal(2))
		f.play(4 * time.Second)
		Expect(placeable()).To(Equal(1))
	})
})
