package flowagent_test

import (
	"net/netip"
	"time"

	"github.com/currantturn/currantturn"
	"github.com/currantturn/currantturn/internal/protocol/relay"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// A backend server that accepts flows and resets their requests is never busy.
var _ = Describe("an agent whose backend server resets requests", func() {
	var a *testAgent
	ports := uint16(50_000)
	newCaller := func() netip.AddrPort {
		ports++
		return netip.AddrPortFrom(caller.Addr(), ports)
	}
	// request opens a flow and sends a request on it, which is answered or reset.
	request := func(flags byte, data int) {
		GinkgoHelper()
		from := newCaller()
		a.open(from)
		a.route(from, currantturn.IntentHeld, ack, 101, 501, 50)
		Expect(a.out.Deliveries).To(HaveLen(1))
		a.answer(from, flags, 501, 151, data)
		Expect(a.out.Answers).To(HaveLen(1), "the caller learns of it")
	}
	// accepts reports whether a new flow is delivered to the backend server.
	accepts := func() bool {
		a.route(newCaller(), currantturn.IntentPlace, syn, 100, 0, 0)
		return len(a.out.Deliveries) == 1
	}
	// reported returns the load that a balancer is told.
	reported := func() relay.Load {
		a.out.Reset()
		a.agent.Handle(a.now, balancer, relay.Probe{}, &a.out)
		return a.out.Sends[0].Message.(relay.Report).Load
	}
	BeforeEach(func() { a = newTestAgent(true) })

	It("declines new flows after the third one in a row, but for a trial now and then", func() {
		request(rst, 0)
		request(rst, 0)
		Expect(reported().Unresponsive).To(BeFalse())
		request(rst, 0)
		Expect(reported().Unresponsive).To(BeTrue())
		Expect(accepts()).To(BeTrue(), "the first trial")
		for range 24 {
			a.now = a.now.Add(10 * time.Millisecond)
			Expect(accepts()).To(BeFalse())
			Expect(a.returned()).To(ConsistOf(currantturn.IntentDeclined))
		}
		a.now = a.now.Add(10 * time.Millisecond)
		Expect(accepts()).To(BeTrue(), "the next trial")
	})

	It("accepts new flows again after an answer, on any flow", func() {
		older := newCaller()
		a.open(older)
		for range 3 {
			request(rst, 0)
		}
		a.route(older, currantturn.IntentHeld, ack, 101, 501, 50)
		a.answer(older, ack, 501, 151, 80)
		Expect(reported().Unresponsive).To(BeFalse())
		Expect(accepts()).To(BeTrue())
		Expect(accepts()).To(BeTrue())
	})

	It("counts neither resets with answers in between nor those of idle flows", func() {
		for range 5 {
			request(rst, 0)
			request(rst, 0)
			request(ack, 80)
		}
		for range 5 {
			from := newCaller()
			a.open(from)
			a.answer(from, rst, 501, 101, 0)
		}
		Expect(reported().Unresponsive).To(BeFalse())
	})
})
