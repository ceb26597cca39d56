package flowbalancer

import (
	"net/netip"
	"time"

	"github.com/currantturn/currantturn"
	"github.com/currantturn/currantturn/internal/coordination/statesync"
	"github.com/currantturn/currantturn/internal/protocol/relay"
	"github.com/currantturn/currantturn/internal/state/roster"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// A backend server that starts again under its ID knows nothing of before.
var _ = Describe("the target of a backend server", func() {
	start := time.Unix(1_000_000, 0)
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	entry := roster.Entry{Registration: currantturn.Registration{
		ID: "a", Service: "verify", Address: netip.MustParseAddrPort("10.1.0.9:8080"), Slots: 2, State: currantturn.BackendActive,
		StartedAt: start, CreatedRevision: 5, Sequence: 40, WarmUpRemaining: time.Second,
	}}
	planOf := func(now time.Time, e roster.Entry, old *plan) *plan {
		return newPlan(now, &statesync.State{Routing: &currantturn.Routing{Version: 1}, Servers: []roster.Entry{e}}, 7120, old)
	}
	// used is a plan whose target has a load, is avoided and does not answer.
	used := func() *plan {
		p := planOf(start, entry, nil)
		t := p.targets[0]
		t.updateLoad(at(10), relay.Load{Running: 9, Waiting: 30, Flows: 500, Unresponsive: true})
		t.countSentFlow()
		t.setForwards(true)
		t.unanswered = unansweredQueries{first: start, last: at(400), count: 3}
		t.loggedSlow, t.loggedUnresponsive = true, true
		return p
	}

	// Guards against new flows that are refused although nothing declines them: packets are
	// handled side by side, each with the time of its arrival.
	It("declines nothing before a load report that declines nothing", func() {
		t := planOf(start, entry, nil).targets[0]
		t.updateLoad(at(10), relay.Load{})
		Expect(t.declines(at(9))).To(BeFalse())
		t.updateLoad(at(20), relay.Load{DeclinesMS: 5})
		Expect(t.declines(at(19)) && t.declines(at(24))).To(BeTrue())
		t.updateLoad(at(22), relay.Load{})
		Expect(t.declines(at(21))).To(BeFalse())
	})

	It("keeps its state while the registration is of the same start", func() {
		e := entry
		e.Sequence, e.CreatedRevision = 50, 60
		old := used()
		t := planOf(at(900), e, old).targets[0]
		Expect(t.load).To(Equal(old.targets[0].load))
		Expect(t.unanswered).To(Equal(old.targets[0].unanswered))
		Expect(t.warmUpUntil).To(Equal(at(1000)), "the published warm-up does not begin again")
	})

	DescribeTable("keeps none of its state after a restart", func(restart func(e *roster.Entry)) {
		e := entry
		e.StartedAt, e.Sequence = at(800), 1
		restart(&e)
		t := planOf(at(900), e, used()).targets[0]
		Expect(t.load).To(BeZero())
		Expect(t.reportedAt).To(BeZero())
		Expect(t.avoidUntil).To(BeZero())
		Expect(t.sentSinceReport).To(BeZero())
		Expect(t.unanswered).To(BeZero())
		Expect(t.loggedSlow || t.loggedUnresponsive || t.forwardsSearches()).To(BeFalse())
		Expect(t.warmUpUntil).To(Equal(at(900).Add(e.WarmUpRemaining)))
	},
		Entry("under its key", func(*roster.Entry) {}),
		Entry("after its registration was removed", func(e *roster.Entry) { e.CreatedRevision = 70 }),
		Entry("with a clock that was set back", func(e *roster.Entry) { e.StartedAt = at(-5000) }),
		Entry("with a warm-up of another length", func(e *roster.Entry) { e.WarmUpRemaining = 3 * time.Second }),
	)
})
