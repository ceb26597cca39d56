package flowagent_test

import (
	"time"

	"github.com/currantturn/currantturn"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// What an agent holds back is lost with its process: its caller would have to send it
// again, at the earliest once the next process runs.
var _ = Describe("an agent that stops as planned", func() {
	It("declines new flows, serves open ones, and is finished once no request is left", func() {
		t := newTestAgent(true)
		t.open(caller)
		t.agent.MarkStopping()
		Expect(t.agent.Finished()).To(BeTrue())
		t.route(otherCaller(1), currantturn.IntentPlace, syn, 100, 0, 0)
		Expect(t.returned()).To(Equal([]currantturn.Intent{currantturn.IntentDeclined}))
		t.route(caller, currantturn.IntentHeld, ack, 101, 501, 50)
		Expect(t.out.Deliveries).To(HaveLen(1))
		Expect(t.agent.Finished()).To(BeFalse())
		t.answer(caller, ack, 501, 151, 100)
		Expect(t.agent.Finished()).To(BeTrue())
	})

	It("delivers the requests that wait, in order of arrival", func() {
		t := newTestAgent(true)
		for n := range byte(4) {
			t.open(otherCaller(n))
		}
		for n := range byte(4) {
			t.route(otherCaller(n), currantturn.IntentHeld, ack, 101, 501, 50)
			t.now = t.now.Add(time.Millisecond)
		}
		t.agent.MarkStopping()
		Expect(t.agent.Finished()).To(BeFalse())
		t.out.Reset()
		t.agent.ReleaseAll(t.now, &t.out)
		Expect(t.out.Deliveries).To(HaveLen(3))
		for n := range t.out.Deliveries {
			Expect(t.out.Deliveries[n].Flow.Caller).To(Equal(otherCaller(byte(n + 1))))
		}
	})
})
