package flowagent_test

import (
	"net/netip"
	"time"

	"github.com/currantturn/currantturn"
	"github.com/currantturn/currantturn/internal/coordination/flowagent"
	"github.com/currantturn/currantturn/internal/event"
	"github.com/currantturn/currantturn/internal/protocol/relay"
	"github.com/currantturn/currantturn/platform"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("an agent beside a cold backend server that bears one request per second", func() {
	const limit = 3 // 1 x 1 + 2
	warming := func(remaining time.Duration) currantturn.Warming {
		return currantturn.Warming{WarmUp: currantturn.WarmUp{Duration: 4 * time.Second, Rate: 1}, Remaining: remaining}
	}
	newAgent := func(remaining time.Duration) *testAgent {
		t := &testAgent{now: start, agent: flowagent.New(flowagent.Options{
			Codec: platform.Packets{}, Service: "verify", Backend: "verify-0", LinkPort: 7120, Started: start, Fresh: true,
			WarmUpOvershoot: 1, WarmUpTolerance: 2,
		})}
		t.agent.Handle(t.now, balancer, relay.WarmUp{Warming: warming(remaining), Revision: 1}, &t.out)
		return t
	}
	// reports returns the loads that the last call sent to the balancers.
	reports := func(t *testAgent) map[netip.AddrPort]relay.Load {
		all := map[netip.AddrPort]relay.Load{}
		for _, s := range t.out.Sends {
			switch m := s.Message.(type) {
			case relay.Report:
				all[s.To] = m.Load
			case relay.Accepted:
				all[s.To] = m.Load
			}
		}
		return all
	}

	It("declines new flows beyond the limit at once, and says for how long", func() {
		t := newAgent(4 * time.Second)
		for n := range byte(limit) {
			t.open(otherCaller(n))
		}
		t.now = t.now.Add(500 * time.Millisecond)
		t.route(caller, currantturn.IntentPlace, syn, 100, 0, 0)
		Expect(t.out.Deliveries).To(BeEmpty())
		Expect(t.returned()).To(Equal([]currantturn.Intent{currantturn.IntentDeclined}))
		t.tick(0)
		Expect(reports(t)[balancer].DeclinesMS).To(Equal(uint16(600)))
		Expect(reports(t)[balancer].Unresponsive).To(BeFalse())
		t.tick(600 * time.Millisecond)
		Expect(reports(t)[balancer].DeclinesMS).To(BeZero())
		t.open(caller)
		Expect(t.agent.Counters().Limited).To(Equal(uint64(1)))
	})

	// Processes that do not send the warm-up refuse messages with fields that they do not
	// know.
	It("says so only to balancers that send the warm-up", func() {
		t := newAgent(4 * time.Second)
		for n := range byte(limit) {
			t.open(otherCaller(n))
		}
		earlier := netip.MustParseAddrPort("10.1.0.2:7120")
		t.agent.Handle(t.now, earlier, relay.Probe{}, &t.out)
		Expect(reports(t)[earlier].DeclinesMS).To(BeZero())
		t.tick(300 * time.Millisecond)
		Expect(reports(t)).To(HaveLen(2))
		Expect(reports(t)[earlier].DeclinesMS).To(BeZero())
		Expect(reports(t)[balancer].DeclinesMS).To(Equal(uint16(800)))
	})

	// The backend server may not have received the first one, so a copy may open the flow.
	It("counts copies of opening packets, and holds those beyond the limit back", func() {
		t := newAgent(4 * time.Second)
		for n := range byte(limit - 1) {
			t.open(otherCaller(n))
		}
		t.route(caller, currantturn.IntentPlace, syn, 100, 0, 0)
		Expect(t.out.Deliveries).To(HaveLen(1))
		t.now = t.now.Add(200 * time.Millisecond)
		t.route(caller, currantturn.IntentPlace, syn, 100, 1, 0)
		Expect(t.out.Deliveries).To(BeEmpty())
		Expect(t.out.Forwards).To(BeEmpty(), "the flow is held here")
		t.now = t.now.Add(time.Second)
		t.route(caller, currantturn.IntentPlace, syn, 100, 2, 0)
		Expect(t.out.Deliveries).To(HaveLen(1))
	})

	It("counts opening packets that the backend server bounces", func() {
		t := newAgent(4 * time.Second)
		for n := range byte(limit) {
			t.route(otherCaller(n), currantturn.IntentPlace, syn, 100, 0, 0)
			t.bounce(otherCaller(n), syn, 100, 0, 0)
		}
		t.route(caller, currantturn.IntentPlace, syn, 100, 0, 0)
		Expect(t.out.Deliveries).To(BeEmpty())
	})

	It("delivers the packets of open flows beyond the limit", func() {
		t := newAgent(4 * time.Second)
		for n := range byte(limit) {
			t.open(otherCaller(n))
		}
		for n := range byte(limit) {
			t.route(otherCaller(n), currantturn.IntentHeld, ack, 101, 501, 0)
			Expect(t.out.Deliveries).To(HaveLen(1))
		}
	})

	// Its registration, with the same ID, shows the restart a heartbeat later.
	It("takes a backend server for cold that has lost an open flow", func() {
		t := newAgent(0)
		t.open(caller)
		t.now = t.now.Add(2 * time.Second)
		t.bounce(caller, ack, 101, 501, 50)
		for n := range byte(limit) {
			t.open(otherCaller(n))
		}
		t.route(otherCaller(limit), currantturn.IntentPlace, syn, 100, 0, 0)
		Expect(t.returned()).To(Equal([]currantturn.Intent{currantturn.IntentDeclined}))
	})

	It("reports in events when the backend server is cold and warm", func() {
		t := newAgent(time.Second)
		t.tick(10 * time.Millisecond)
		Expect(t.out.Events).To(HaveLen(1))
		Expect(t.out.Events[0].Number).To(Equal(event.BackendCold))
		t.tick(500 * time.Millisecond)
		Expect(t.out.Events).To(BeEmpty())
		t.tick(500 * time.Millisecond)
		Expect(t.out.Events).To(HaveLen(1))
		Expect(t.out.Events[0].Number).To(Equal(event.BackendWarm))
	})
})
