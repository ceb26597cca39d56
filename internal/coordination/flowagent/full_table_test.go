package flowagent_test

import (
	"net/netip"
	"time"

	"github.com/currantturn/currantturn"
	"github.com/currantturn/currantturn/internal/coordination/flowagent"
	"github.com/currantturn/currantturn/internal/protocol/relay"
	"github.com/currantturn/currantturn/internal/state/shard"
	"github.com/currantturn/currantturn/platform"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("an agent whose flow table is full", func() {
	// newFullAgent returns an agent with room for one flow in each shard, all of it taken.
	newFullAgent := func() *testAgent {
		t := &testAgent{now: start, agent: flowagent.New(flowagent.Options{
			Codec: platform.Packets{}, Service: "verify", Backend: "verify-0", LinkPort: 7120, Started: start, Fresh: true,
			MaxFlows: shard.Shards,
		})}
		for n := uint16(1); t.agent.Counters().Flows < shard.Shards; n++ {
			from := netip.AddrPortFrom(caller.Addr(), n)
			t.route(from, currantturn.IntentPlace, syn, 100, 0, 0)
			if len(t.out.Deliveries) > 0 {
				t.answer(from, syn|ack, 500, 101, 0)
				t.route(from, currantturn.IntentHeld, ack, 101, 501, 0)
			}
		}
		return t
	}
	openFlows := func(t *testAgent) int {
		t.out.Reset()
		t.agent.Handle(t.now, balancer, relay.Probe{}, &t.out)
		return t.out.Sends[0].Message.(relay.Report).Load.Flows
	}

	It("declines a new flow without delivering its packet", func() {
		t := newFullAgent()
		t.route(caller, currantturn.IntentPlace, syn, 100, 0, 0)
		Expect(t.out.Deliveries).To(BeEmpty())
		Expect(t.returned()).To(Equal([]currantturn.Intent{currantturn.IntentDeclined}))
	})

	It("does not count a flow without a record as open with each of its packets", func() {
		t := newFullAgent()
		before := openFlows(t)
		for range 10 {
			t.answer(caller, ack, 900, 101, 50)
			Expect(t.out.Answers).To(HaveLen(1))
		}
		Expect(openFlows(t)).To(Equal(before))
	})

	// A denial makes the balancer reset the flow although its backend server holds it.
	It("does not deny a flow whose record had no room, and delivers its packets", func() {
		t := newFullAgent()
		t.answer(caller, ack, 900, 101, 50)
		t.route(caller, currantturn.IntentHeld, ack, 150, 950, 20)
		Expect(t.out.Deliveries).To(HaveLen(1))
		Expect(t.returned()).To(BeEmpty())
		query := relay.Query{Flows: relay.Flows{}.Append(currantturn.FlowKey{Caller: caller, Service: service}, 950)}
		t.out.Reset()
		t.agent.Handle(t.now, balancer, query, &t.out)
		reply := t.out.Sends[0].Message.(relay.QueryReply)
		Expect(reply.Absent.Len()).To(BeZero())
		Expect(reply.Unsure.Len()).To(Equal(1))

		t.tick(2 * time.Minute)
		t.out.Reset()
		t.agent.Handle(t.now, balancer, query, &t.out)
		Expect(t.out.Sends[0].Message.(relay.QueryReply).Absent.Len()).To(Equal(1), "a flow without a packet for its lifetime has ended")
	})
})
