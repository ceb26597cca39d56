package flowagent_test

import (
	"time"

	"github.com/currantturn/currantturn"
	"github.com/currantturn/currantturn/internal/protocol/relay"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// Guards against resets of open flows after an agent's restart (review/6): a balancer that stood
// still forwards a copy of the opening packet of a flow that the backend server has held for long.
var _ = Describe("a late copy of an opening packet, at an agent that is younger than the flow", func() {
	var t *testAgent
	BeforeEach(func() { t = newTestAgent(false) })

	// deliverCopy delivers the copy to the backend server, which may repeat its answer.
	deliverCopy := func(repeatsAnswer bool) {
		GinkgoHelper()
		t.route(caller, currantturn.IntentPlace, syn, 100, 1, 0)
		Expect(t.out.Deliveries).To(HaveLen(1))
		if repeatsAnswer {
			t.answer(caller, syn|ack, 500, 101, 0)
		} else {
			t.tick(50 * time.Millisecond)
		}
	}
	// queried returns the reply to a query for the flow.
	queried := func(acked uint32) relay.QueryReply {
		t.out.Reset()
		t.agent.Handle(t.now, balancer, relay.Query{
			Flows: relay.Flows{}.Append(currantturn.FlowKey{Caller: caller, Service: service}, acked),
		}, &t.out)
		return t.out.Sends[0].Message.(relay.QueryReply)
	}

	DescribeTable("does not make it deny the flow", func(repeatsAnswer bool, intent currantturn.Intent) {
		deliverCopy(repeatsAnswer)
		Expect(queried(7001).Unsure.Len()).To(Equal(1))
		t.route(caller, intent, ack, 301, 7001, 50)
		Expect(t.returned()).To(BeEmpty())
		Expect(t.out.Deliveries).To(HaveLen(1), "only the backend server knows")
		t.answer(caller, ack, 7001, 351, 100)
		Expect(t.out.Sends).To(HaveLen(1))
		Expect(t.out.Sends[0].Message).To(BeAssignableToTypeOf(relay.Held{}))
		Expect(queried(7101).Held.Len()).To(Equal(1))
		Expect(t.agent.Counters().Flows).To(Equal(1))
	},
		Entry("of a search, after a repeated answer", true, currantturn.IntentSearch),
		Entry("of a search, without an answer", false, currantturn.IntentSearch),
		Entry("of its balancer, after a repeated answer", true, currantturn.IntentHeld),
		Entry("of its balancer, without an answer", false, currantturn.IntentHeld),
	)

	DescribeTable("lets it deny a flow that the backend server bounces, and keeps it unsure", func(repeatsAnswer bool) {
		deliverCopy(repeatsAnswer)
		for range 2 {
			t.route(caller, currantturn.IntentSearch, ack, 301, 77_001, 50)
			Expect(t.out.Deliveries).To(HaveLen(1))
			t.bounce(caller, ack, 301, 77_001, 50)
			Expect(t.out.Answers).To(BeEmpty(), "a reset")
			t.expectDenial()
		}
		Expect(queried(77_001).Unsure.Len()).To(Equal(1))
	},
		Entry("after its answer", true),
		Entry("without an answer", false),
	)

	It("is confirmed as of a held flow by a packet that the backend server sends on it", func() {
		t.route(caller, currantturn.IntentSearch, ack, 301, 7001, 50)
		deliverCopy(true)
		t.answer(caller, ack, 7001, 351, 100) // to the data that came before the copy
		Expect(queried(7101).Held.Len()).To(Equal(1))
	})

	It("is followed by a late first acknowledgement and by recent data", func() {
		deliverCopy(true)
		t.route(caller, currantturn.IntentHeld, ack, 101, 501, 0)
		Expect(t.out.Deliveries).To(HaveLen(1))
		t.route(caller, currantturn.IntentHeld, ack, 301, 7001, 50)
		Expect(t.returned()).To(BeEmpty())
		Expect(t.out.Deliveries).To(HaveLen(1))
		t.answer(caller, ack, 7001, 351, 100)
		Expect(queried(7101).Held.Len()).To(Equal(1))
		Expect(t.agent.Counters().Running).To(BeZero())
	})

	It("leaves an agent that has records of all flows certain", func() {
		t = newTestAgent(true)
		deliverCopy(true)
		Expect(queried(7001).Absent.Len()).To(Equal(1))
		t.route(caller, currantturn.IntentSearch, ack, 301, 7001, 50)
		Expect(t.out.Deliveries).To(BeEmpty())
		t.expectDenial()
	})
})
