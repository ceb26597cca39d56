package flowagent_test

import (
	"time"

	"github.com/currantturn/currantturn"
	"github.com/currantturn/currantturn/internal/event"
	"github.com/currantturn/currantturn/internal/protocol/relay"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// notice passes a balancer's notice to the agent.
func (t *testAgent) notice(drained bool, era, revision uint64) {
	t.out.Reset()
	t.agent.Handle(t.now, balancer, relay.Drained{Drained: drained, Revision: revision, Era: era}, &t.out)
}

// accepts reports whether the agent delivers the opening packet of a new flow.
func (t *testAgent) accepts(n byte) bool {
	GinkgoHelper()
	t.route(otherCaller(n), currantturn.IntentPlace, syn, 100, 0, 0)
	return len(t.out.Deliveries) == 1
}

var _ = Describe("an agent in a drained failure domain", func() {
	It("declines new flows with the reason, and serves the open ones", func() {
		t := newTestAgent(true)
		t.open(caller)
		t.notice(true, 2, 40)
		Expect(t.out.Events).To(HaveLen(1))
		Expect(t.out.Events[0].Number).To(Equal(event.BackendDrained))
		t.notice(true, 2, 41)
		Expect(t.out.Events).To(BeEmpty())
		Expect(t.accepts(1)).To(BeFalse())
		Expect(t.returned()).To(Equal([]currantturn.Intent{currantturn.IntentDeclined}))
		Expect(t.out.Sends).To(Equal([]currantturn.Send{{To: balancer, Message: relay.Drained{Drained: true, Revision: 41, Era: 2}}}))
		Expect(t.agent.Counters().Declined).To(Equal(uint64(1)))
		Expect(t.agent.Counters().Drained).To(Equal(uint64(1)))
		t.route(caller, currantturn.IntentHeld, ack, 101, 501, 50)
		Expect(t.out.Deliveries).To(HaveLen(1))
		t.route(caller, currantturn.IntentPlace, syn, 100, 1, 0) // a late copy
		Expect(t.out.Deliveries).To(HaveLen(1))
		t.tick(time.Second)
		for _, s := range t.out.Sends {
			if r, ok := s.Message.(relay.Report); ok {
				Expect(r.Load.Unresponsive).To(BeFalse())
			}
		}
	})

	It("answers searches, and delivers packets of flows that are older than it", func() {
		t := newTestAgent(false)
		t.notice(true, 0, 40)
		t.route(caller, currantturn.IntentSearch, ack, 101, 501, 50)
		Expect(t.out.Deliveries).To(HaveLen(1))
	})

	// The backend server has not answered, and the caller sends a copy.
	It("returns a copy of an opening packet that the backend server has not answered, which may still come", func() {
		t := newTestAgent(true)
		Expect(t.accepts(1)).To(BeTrue())
		t.tick(50 * time.Millisecond) // returned, since it is not answered
		t.notice(true, 0, 40)
		Expect(t.accepts(1)).To(BeFalse())
		Expect(t.returned()).To(Equal([]currantturn.Intent{currantturn.IntentUnanswered}))
	})

	DescribeTable("follows the notice with the newest position", func(era, revision uint64, taken bool) {
		t := newTestAgent(true)
		t.notice(true, 2, 40)
		t.notice(false, era, revision)
		Expect(t.accepts(1)).To(Equal(taken))
	},
		Entry("an earlier revision", uint64(2), uint64(39), false),
		Entry("an earlier era", uint64(1), uint64(99), false),
		Entry("the same position", uint64(2), uint64(40), true),
		Entry("a later revision", uint64(2), uint64(41), true),
		Entry("a later era", uint64(3), uint64(5), true),
	)

	It("is not drained again by an older notice after the end", func() {
		t := newTestAgent(true)
		t.notice(true, 2, 40)
		t.notice(false, 2, 44)
		Expect(t.out.Events[0].Number).To(Equal(event.BackendRestored))
		t.notice(true, 2, 43) // from a balancer that is cut off
		Expect(t.accepts(1)).To(BeTrue())
	})

	// All balancers that said so are gone, and those in their place may not know that the
	// agent has to be told.
	It("takes new flows again when nobody repeats the notice for a minute", func() {
		t := newTestAgent(true)
		t.notice(true, 2, 40)
		t.tick(59 * time.Second)
		Expect(t.accepts(1)).To(BeFalse())
		t.notice(true, 2, 40)
		t.tick(59 * time.Second)
		Expect(t.accepts(2)).To(BeFalse())
		t.tick(2 * time.Second)
		Expect(t.out.Events).To(ContainElement(HaveField("Number", event.BackendRestored)))
		Expect(t.accepts(3)).To(BeTrue())
		Expect(t.agent.Drained(t.now)).To(BeFalse())
	})

	It("holds nothing against new flows after its own restart", func() {
		t := newTestAgent(true)
		Expect(t.agent.Drained(t.now)).To(BeFalse())
		Expect(t.accepts(1)).To(BeTrue())
	})
})
