package flowagent_test

import (
	"net/netip"

	"github.com/currantturn/currantturn"
	"github.com/currantturn/currantturn/internal/protocol/relay"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("an agent beside balancers of earlier builds", func() {
	earlier := netip.MustParseAddrPort("10.1.0.9:7120")
	var a *testAgent
	// learn passes a packet of a held flow, whose envelope carries a position.
	learn := func(from netip.AddrPort, intent currantturn.Intent, p currantturn.Position) {
		e := currantturn.Envelope{Intent: intent, Service: "verify", Demand: demand, Position: p, ReadsLoads: intent == currantturn.IntentPlace}
		e.Packet = currantturn.Packet{Flow: currantturn.FlowKey{Caller: caller, Service: service}, Mark: currantturn.MarkOpening, Payload: packet(caller, service, syn, 100, 0, 0)}
		a.agent.Route(a.now, from, &e, &a.out)
	}
	// reported returns the position that a balancer is told with a denial.
	reported := func() currantturn.Position {
		a.out.Reset()
		a.agent.Handle(a.now, balancer, relay.Query{Flows: relay.Flows(nil).Append(currantturn.FlowKey{Caller: earlier, Service: service}, 0)}, &a.out)
		reply := a.out.Sends[0].Message.(relay.QueryReply)
		return reply.Position()
	}
	BeforeEach(func() { a = newTestAgent(true) })

	// They write the age of the backend server where later ones write the era. With it, no
	// denial would ever count as proof again.
	It("takes no era from a balancer that has not shown that it writes one", func() {
		learn(earlier, currantturn.IntentHeld, currantturn.Position{Era: 12_000, Revision: 41})
		Expect(reported()).To(Equal(currantturn.Position{Revision: 41}))
		learn(balancer, currantturn.IntentPlace, currantturn.Position{Era: 2, Revision: 50})
		Expect(reported()).To(Equal(currantturn.Position{Era: 2, Revision: 50}))
		learn(balancer, currantturn.IntentHeld, currantturn.Position{Era: 3, Revision: 7})
		Expect(reported()).To(Equal(currantturn.Position{Era: 3, Revision: 7}))
	})

	It("takes a new era in place of a higher revision of an unknown one", func() {
		learn(balancer, currantturn.IntentPlace, currantturn.Position{Era: 1, Revision: 600})
		learn(earlier, currantturn.IntentHeld, currantturn.Position{Revision: 623})
		Expect(reported()).To(Equal(currantturn.Position{Revision: 623}))
		learn(balancer, currantturn.IntentHeld, currantturn.Position{Era: 1, Revision: 610})
		Expect(reported()).To(Equal(currantturn.Position{Revision: 623}), "the higher revision is the safe side")
		learn(balancer, currantturn.IntentHeld, currantturn.Position{Era: 2, Revision: 40})
		Expect(reported()).To(Equal(currantturn.Position{Era: 2, Revision: 40}))
	})
})
