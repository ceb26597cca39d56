package statesync_test

import (
	"fmt"
	"maps"
	"net/netip"
	"slices"
	"strings"
	"time"

	"github.com/currantturn/currantturn"
	"github.com/currantturn/currantturn/internal/coordination/statesync"
	"github.com/currantturn/currantturn/internal/event"
	"github.com/currantturn/currantturn/internal/state/drained"
	"github.com/currantturn/currantturn/internal/state/roster"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

// exchange plays feeds whose reads, heartbeats and pulls a schedule chooses one by one. What
// the store had at each position is kept, and compared with the feeds that are there.
type exchange struct {
	now     time.Time
	store   *history
	copies  []*history
	had     map[currantturn.Position]string
	feeds   []*exchangeFeed
	sent    []sentHeartbeat
	version int // of the last configuration
}

// exchangeFeed is one feed of an exchange.
type exchangeFeed struct {
	*statesync.Feed
	addr netip.AddrPort
	// earlier is true for a process of a build that sends parts of changes and of states.
	earlier bool
}

// sentHeartbeat is a heartbeat that was not delivered yet.
type sentHeartbeat struct {
	from, to  *exchangeFeed
	heartbeat statesync.Heartbeat
}

func newExchange(feeds int, earlier func(n int) bool) *exchange {
	x := &exchange{now: time.Unix(1_000_000, 0), store: newHistory(), had: map[currantturn.Position]string{}, version: 7}
	x.store.configure(7)
	x.write(func() { x.store.register(registration("s0", 1)) })
	for n := range feeds {
		x.feeds = append(x.feeds, &exchangeFeed{
			addr: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(n + 1)}), 7120), earlier: earlier(n),
		})
	}
	for _, f := range x.feeds {
		x.restart(f)
	}
	for _, f := range x.feeds { // so that each one knows what the others understand
		x.sendHeartbeats(f)
	}
	x.deliverAll("nothing")
	return x
}

func (x *exchange) restart(f *exchangeFeed) {
	var seeds []netip.AddrPort
	for _, other := range x.feeds {
		seeds = append(seeds, other.addr)
	}
	f.Feed = statesync.New(x.now, statesync.Options{Self: f.addr, Seeds: seeds, Seed: uint64(f.addr.Addr().As4()[3]), ApplyWithin: applyWithin})
}

// write writes to the store and keeps what it has then.
func (x *exchange) write(change func()) {
	change()
	var content []string
	for id, r := range x.store.servers {
		content = append(content, fmt.Sprintf("%s is %s", id, r.State))
	}
	for name := range x.store.drained {
		content = append(content, fmt.Sprintf("%s is drained", name))
	}
	slices.Sort(content)
	x.had[x.store.Position] = strings.Join(content, ", ")
}

// content returns what a state says that the store has at its position.
func content(s *statesync.State) string {
	var all []string
	for _, e := range s.Servers {
		if e.Gone.IsZero() && e.LapsesIn == 0 {
			all = append(all, fmt.Sprintf("%s is %s", e.ID, e.State))
		}
	}
	for _, e := range s.Drained {
		if e.LapsesIn == 0 {
			all = append(all, fmt.Sprintf("%s is drained", e.FailureDomain))
		}
	}
	slices.Sort(all)
	return strings.Join(all, ", ")
}

// expectHad expects a feed at a position to have what the store had at it. A state that is
// known to be incomplete, or not verified, claims nothing.
func (x *exchange) expectHad() {
	for _, f := range x.feeds {
		s := f.State(x.now)
		if s.Routing == nil || !s.Complete || s.Unverified || f.earlier {
			continue
		}
		Expect(content(&s)).To(Equal(x.had[s.Position]), "%s at %+v", f.addr, s.Position)
	}
}

// read lets a feed read the store, as it plans to or the changes alone.
func (x *exchange) read(f *exchangeFeed) {
	var out currantturn.Effects
	plan := f.Next(x.now)
	if plan.Step == statesync.StepPause {
		if s := f.State(x.now); s.Routing != nil {
			plan = statesync.Plan{Step: statesync.StepWatch, After: s.Position}
		}
	}
	switch {
	case x.store.away:
		f.RecordFailure(x.now, 0, currantturn.ErrUnavailable, &out)
	case plan.Step == statesync.StepWatch:
		if l, err := x.store.watch(plan.After.Revision); err != nil {
			f.RecordFailure(x.now, l.Era, err, &out)
		} else {
			f.ApplyChanges(x.now, plan.After, l, &out)
		}
	default:
		f.ApplyListing(x.now, x.now, x.store.listRouting(), x.store.listServers(), &out)
	}
	x.sendHeartbeats(f)
}

// sendHeartbeats lets a feed send heartbeats to all others.
func (x *exchange) sendHeartbeats(f *exchangeFeed) {
	var out currantturn.Effects
	f.SendHeartbeats(x.now, &out)
	x.collect(f, &out)
}

// deliverAll delivers all heartbeats in their order.
func (x *exchange) deliverAll(part string) {
	for _, m := range x.sent {
		x.deliver(m, part)
	}
	x.sent = nil
}

// collect keeps the heartbeats that a feed sends.
func (x *exchange) collect(from *exchangeFeed, out *currantturn.Effects) {
	for _, s := range out.Sends {
		for _, to := range x.feeds {
			if to.addr == s.To {
				x.sent = append(x.sent, sentHeartbeat{from, to, s.Message.(statesync.Heartbeat)})
			}
		}
	}
}

// deliver delivers a heartbeat; part chooses what a process of an earlier build leaves out.
func (x *exchange) deliver(m sentHeartbeat, part string) {
	h := m.heartbeat
	if m.from.earlier {
		h.Peers = []netip.AddrPort{m.from.addr}
		switch part {
		case "registrations":
			h.Changed = nil
		case "orders":
			h.Orders = nil
		}
	}
	var out currantturn.Effects
	if m.to.HandleHeartbeat(x.now, m.from.addr, h, &out) == statesync.OutcomePull {
		x.pull(m.to, m.from, part)
	}
	for _, e := range out.Events {
		Expect(e.Number).NotTo(Equal(event.StateDiffers), "a false alarm")
	}
}

// pull applies the state of one feed to another one.
func (x *exchange) pull(to, from *exchangeFeed, part string) {
	s := from.State(x.now)
	s.Version = s.RoutingVersion()
	if from.earlier {
		s.Complete = false
		switch part {
		case "registrations":
			s.Servers = slices.DeleteFunc(slices.Clone(s.Servers), func(e roster.Entry) bool { return e.ID != "s0" })
		case "orders":
			s.Drained = []drained.Entry{}
		}
	}
	to.ApplyPulled(x.now, s, &currantturn.Effects{})
}

// publish writes one item, which its number chooses.
func (x *exchange) publish(n int) {
	id := currantturn.BackendID(fmt.Sprintf("s%d", n%5+1))
	domain := currantturn.FailureDomain([]string{"kurasini", "upanga"}[n%2])
	x.write(func() {
		switch r, found := x.store.servers[id]; n / 5 {
		case 0, 1:
			x.store.register(registration(id, r.Sequence+1))
		case 2:
			r.State, r.Sequence = currantturn.BackendDraining, r.Sequence+1
			if found {
				x.store.register(r)
			}
		case 3:
			x.store.remove(id)
		case 4, 5:
			x.store.drain(domain)
		default:
			x.store.undrain(domain)
		}
	})
}

// playExchange plays a random schedule. Then every feed reads what it plans to, and has what
// the store has.
func playExchange(t *rapid.T) {
	RegisterFailHandler(func(message string, _ ...int) { t.Fatal(message) })
	earlier := rapid.SampledFrom([]string{"none", "none", "first", "last"}).Draw(t, "earlier build")
	feeds := rapid.IntRange(2, 4).Draw(t, "feeds")
	x := newExchange(feeds, func(n int) bool { return earlier == "first" && n == 0 || earlier == "last" && n == feeds-1 })
	part := rapid.SampledFrom([]string{"registrations", "orders", "nothing"})
	feed := func(name string) *exchangeFeed { return x.feeds[rapid.IntRange(0, feeds-1).Draw(t, name)] }
	disturbances := []string{"configure", "compact", "restart", "away", "restore", "tick"}
	operations := []string{"publish", "publish", "publish", "read", "read", "read", "heartbeat", "heartbeats", "heartbeats", "lose", "pull", "pull again", "pull again"}
	for range rapid.IntRange(10, 60).Draw(t, "operations") {
		operation := rapid.SampledFrom(operations).Draw(t, "operation")
		if rapid.IntRange(0, 9).Draw(t, "disturbed") == 9 {
			operation = rapid.SampledFrom(disturbances).Draw(t, "disturbance")
		}
		switch operation {
		case "publish":
			for range rapid.IntRange(1, 9).Draw(t, "items") {
				x.publish(rapid.IntRange(0, 34).Draw(t, "item"))
			}
		case "read":
			x.read(feed("reader"))
		case "heartbeat", "lose":
			if len(x.sent) > 0 {
				n := rapid.IntRange(0, len(x.sent)-1).Draw(t, "heartbeat")
				m := x.sent[n]
				x.sent = slices.Delete(x.sent, n, n+1)
				if operation == "heartbeat" {
					x.deliver(m, part.Draw(t, "left out"))
				}
			}
		case "heartbeats":
			x.sendHeartbeats(feed("sender"))
			x.deliverAll(part.Draw(t, "left out"))
		case "pull":
			x.pull(feed("to"), feed("from"), part.Draw(t, "left out"))
		case "pull again": // the state of its own position, for a record that reaches further back
			f := feed("to")
			x.read(f)
			x.pull(f, f, "nothing")
			x.sent = nil // the heartbeats with the change are lost
			x.sendHeartbeats(f)
			x.deliverAll(part.Draw(t, "left out"))
		case "tick":
			x.now = x.now.Add(time.Duration(rapid.IntRange(1, 400).Draw(t, "ms")) * time.Millisecond)
			f := feed("ticks")
			var out currantturn.Effects
			f.Tick(x.now, &out)
			x.collect(f, &out)
		case "configure":
			x.version++
			x.write(func() { x.store.configure(currantturn.Version(x.version)) })
		case "compact":
			x.store.compact()
		case "restart":
			x.restart(feed("restarts"))
		case "away":
			x.store.away = !x.store.away
		case "restore":
			x.copies = append(x.copies, x.store.copied())
			c := rapid.SampledFrom(x.copies).Draw(t, "copy")
			x.write(func() { x.store.restore(c) })
		}
		x.expectHad()
	}
	x.store.away = false
	x.write(func() { x.store.configure(currantturn.Version(x.version + 1)) })
	// Until everything was read once more after a return from a copy.
	for range 700 {
		x.now = x.now.Add(100 * time.Millisecond)
		for _, f := range x.feeds {
			f.Tick(x.now, &currantturn.Effects{})
			x.read(f)
		}
		x.sent = nil
	}
	for _, f := range x.feeds {
		s := f.State(x.now)
		Expect(s.Complete).To(BeTrue())
		Expect(content(&s)).To(Equal(x.had[x.store.Position]), "%s in the end", f.addr)
	}
}

var _ = Describe("the exchange of the published state", func() {
	// Guards against balancers that take on a position without all that the store had at it
	// (review/1, review/4).
	It("gives a feed at a position what the store had at it", func() {
		DeferCleanup(func() { RegisterFailHandler(Fail) })
		rapid.Check(GinkgoT(), playExchange)
	})

	// manyAtOnce returns a fleet whose watchers receive an order and more registrations than a
	// heartbeat holds in one answer of the store.
	manyAtOnce := func() *fleet {
		f := newHistoryFleet(6)
		f.store.away = true
		f.run(300 * time.Millisecond)
		f.store.drain("upanga")
		for _, id := range []currantturn.BackendID{"p", "q", "r", "s", "t"} {
			f.store.register(registration(id, 1))
		}
		f.store.away = false
		return f
	}

	// Guards against a heartbeat with an order alone (review/1, review/4).
	It("spreads an order together with many registrations of the same answer", func() {
		f := manyAtOnce()
		f.run(2 * time.Second)
		f.expectDrained("upanga")
		for i := range f.balancers {
			Expect(f.placeable(i)).To(ContainElements(slices.Sorted(maps.Keys(f.store.servers))), "balancer %d", i)
		}
	})

	// Guards against a heartbeat that lost its orders after a state was pulled at the same
	// position.
	It("keeps a change whole when a state is pulled at its position", func() {
		x := newExchange(2, func(int) bool { return false })
		a, b := x.feeds[0], x.feeds[1]
		x.read(a)
		x.pull(b, a, "nothing")
		x.write(func() { x.store.drain("upanga") })
		x.write(func() { x.store.register(registration("s1", 1)) })
		x.read(a)
		x.sent = nil
		x.pull(a, a, "nothing")
		x.sendHeartbeats(a)
		x.deliverAll("nothing")
		s := b.State(x.now)
		Expect(s.Position).To(Equal(x.store.Position))
		x.expectHad()
	})

	// Guards against parts of changes that processes of 7785285 and earlier builds send.
	DescribeTable("pulls in place of a change that may not be whole", func(part string) {
		x := newExchange(2, func(n int) bool { return n == 0 })
		a, b := x.feeds[0], x.feeds[1]
		x.read(a)
		x.read(b)
		x.now = x.now.Add(applyWithin) // the own state is no longer recent
		x.write(func() { x.store.drain("upanga") })
		x.write(func() { x.store.register(registration("s1", 1)) })
		x.sent = nil
		x.read(a)
		x.deliverAll(part)
		s := b.State(x.now)
		Expect(s.Position).To(Equal(x.store.Position))
		Expect([]bool{s.Complete, s.ResetsHeld}).To(Equal([]bool{false, true}))
		Expect(b.Next(x.now).Step).To(Equal(statesync.StepList))
		x.read(b)
		s = b.State(x.now)
		Expect([]bool{s.Complete, s.ResetsHeld}).To(Equal([]bool{true, false}))
		x.expectHad()
	},
		Entry("an order without its registrations", "registrations"),
		Entry("registrations without their order", "orders"),
		Entry("all of it", "nothing"),
	)
})
