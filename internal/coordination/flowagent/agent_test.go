package flowagent_test

import (
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/currantturn/currantturn"
	"github.com/currantturn/currantturn/internal/coordination/flowagent"
	"github.com/currantturn/currantturn/internal/protocol/relay"
	"github.com/currantturn/currantturn/internal/suite"
	"github.com/currantturn/currantturn/platform"
	"github.com/currantturn/currantturn/platform/platformtest"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestFlowAgent(t *testing.T) { suite.Run(t, "flowagent") }

const (
	syn     = platformtest.Open
	ack     = platformtest.Ack
	fin     = platformtest.Close
	rst     = platformtest.Reset
	bounced = platformtest.Bounced
)

var (
	start    = time.Unix(1_000_000, 0)
	balancer = netip.MustParseAddrPort("10.1.0.1:7120")
	caller   = netip.MustParseAddrPort("100.64.0.7:40001")
	service  = netip.MustParseAddrPort("198.18.0.1:443")
	demand   = currantturn.Demand{Slots: 1, Priority: 2, LatencyObjective: 120 * time.Millisecond, Timeout: 800 * time.Millisecond}
)

// packet encodes a packet with the given size of data.
func packet(from, to netip.AddrPort, flags byte, seq, acked uint32, data int) []byte {
	p := platformtest.Packet{From: from, To: to, Flags: flags, Sequence: seq, Acked: acked, Data: strings.Repeat("x", data)}
	return p.Encode()
}

// testAgent is an agent with the effects of its last call.
type testAgent struct {
	agent *flowagent.Agent
	now   time.Time
	out   currantturn.Effects
}

// newTestAgent returns a new agent; fresh means that no flow is older than it.
func newTestAgent(fresh bool) *testAgent {
	return &testAgent{now: start, agent: flowagent.New(flowagent.Options{
		Codec: platform.Packets{}, Service: "verify", Backend: "verify-0", LinkPort: 7120, Started: start, Fresh: fresh,
	})}
}

// route passes a caller's packet from the balancer to the agent.
func (t *testAgent) route(from netip.AddrPort, intent currantturn.Intent, flags byte, seq, acked uint32, data int) {
	GinkgoHelper()
	t.out.Reset()
	e := currantturn.Envelope{Direction: currantturn.ToBackend, Intent: intent, Service: "verify", Demand: demand, ReadsLoads: intent == currantturn.IntentPlace}
	Expect(platform.Packets{}.Decode(packet(from, service, flags, seq, acked, data), currantturn.ToBackend, &e.Packet)).To(Succeed())
	t.agent.Route(t.now, balancer, &e, &t.out)
}

// answer passes a packet from the backend server to the agent.
func (t *testAgent) answer(to netip.AddrPort, flags byte, seq, acked uint32, data int) {
	GinkgoHelper()
	t.out.Reset()
	var p currantturn.Packet
	Expect(platform.Packets{}.Decode(packet(service, to, flags, seq, acked, data), currantturn.ToCaller, &p)).To(Succeed())
	t.agent.Answer(t.now, &p, &t.out)
}

// bounce passes to the agent a caller's packet that the backend server rejected.
func (t *testAgent) bounce(from netip.AddrPort, flags byte, seq, acked uint32, data int) {
	GinkgoHelper()
	t.out.Reset()
	b := packet(from, service, flags|bounced, seq, acked, data)
	copy(b[8:], []byte{10, 1, 0, 1}) // the tag: the balancer's address
	var p currantturn.Packet
	Expect(platform.Packets{}.Decode(b, currantturn.ToCaller, &p)).To(Succeed())
	t.agent.Answer(t.now, &p, &t.out)
}

// tick advances the clock and runs a tick.
func (t *testAgent) tick(after time.Duration) {
	t.out.Reset()
	t.now = t.now.Add(after)
	t.agent.Tick(t.now, &t.out)
}

// open opens a flow at the backend server, whose first sequence number is 500, and
// acknowledges its answer.
func (t *testAgent) open(from netip.AddrPort) {
	GinkgoHelper()
	t.route(from, currantturn.IntentPlace, syn, 100, 0, 0)
	Expect(t.out.Deliveries).To(HaveLen(1))
	t.answer(from, syn|ack, 500, 101, 0)
	Expect(t.out.Sends).To(HaveLen(1))
	t.route(from, currantturn.IntentHeld, ack, 101, 501, 0)
	Expect(t.out.Deliveries).To(HaveLen(1))
}

// returned returns the intents of the packets that were returned to the balancer.
func (t *testAgent) returned() []currantturn.Intent {
	var all []currantturn.Intent
	for _, f := range t.out.Forwards {
		Expect(f.To).To(Equal(balancer))
		all = append(all, f.Envelope.Intent)
	}
	return all
}

// expectDenial checks that the next tick sends the balancer a denial of the caller's
// flow, and nothing else of it has been sent.
func (t *testAgent) expectDenial() {
	GinkgoHelper()
	Expect(t.out.Forwards).To(BeEmpty())
	t.tick(10 * time.Millisecond)
	Expect(t.out.Sends).NotTo(BeEmpty())
	Expect(t.out.Sends[0].To).To(Equal(balancer))
	reply := t.out.Sends[0].Message.(relay.QueryReply)
	Expect(reply.Absent).To(Equal(relay.Flows{}.Append(currantturn.FlowKey{Caller: caller, Service: service}, 0)))
}

// otherCaller returns the address of the n-th other caller.
func otherCaller(n byte) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{100, 64, 1, n}), 40000)
}

var _ = Describe("an agent of opaque flows", func() {
	It("accepts new flows and notifies their balancer when the backend server answers", func() {
		t := newTestAgent(true)
		t.open(caller)
		Expect(t.agent.Counters().Flows).To(Equal(1))
	})

	It("returns packets that acknowledge another backend server's answer", func() {
		t := newTestAgent(true)
		t.route(caller, currantturn.IntentPlace, syn, 100, 0, 0)
		t.answer(caller, syn|ack, 500, 101, 0)
		t.route(caller, currantturn.IntentHeld, ack, 101, 90000, 0)
		Expect(t.out.Deliveries).To(BeEmpty())
		Expect(t.returned()).To(Equal([]currantturn.Intent{currantturn.IntentAbsent}))
	})

	It("returns packets of a flow that the backend server has not answered yet", func() {
		t := newTestAgent(true)
		t.route(caller, currantturn.IntentPlace, syn, 100, 0, 0)
		t.route(caller, currantturn.IntentHeld, ack, 101, 501, 50)
		Expect(t.out.Deliveries).To(BeEmpty())
		Expect(t.returned()).To(Equal([]currantturn.Intent{currantturn.IntentAbsent}))
	})

	It("refuses unknown flows if it has a record of all flows, and delivers their packets otherwise", func() {
		t := newTestAgent(true)
		t.route(caller, currantturn.IntentSearch, ack, 101, 501, 10)
		Expect(t.out.Deliveries).To(BeEmpty())
		t.expectDenial()
		t = newTestAgent(false)
		t.route(caller, currantturn.IntentSearch, ack, 101, 501, 10)
		Expect(t.out.Deliveries).To(HaveLen(1))
		t.bounce(caller, ack, 101, 501, 10)
		t.expectDenial()
		t.route(caller, currantturn.IntentHeld, ack, 101, 501, 10)
		t.bounce(caller, ack, 101, 501, 10)
		Expect(t.returned()).To(Equal([]currantturn.Intent{currantturn.IntentAbsent}))
		t.now = t.now.Add(2 * time.Minute)
		t.route(caller, currantturn.IntentSearch, ack, 101, 501, 10)
		Expect(t.out.Deliveries).To(BeEmpty())
	})

	It("is unsure of unknown flows until it has run for the lifetime of a flow, unless no flow is older than it", func() {
		unsure := func(t *testAgent) bool {
			t.out.Reset()
			t.agent.Handle(t.now, balancer, relay.Query{
				Flows: relay.Flows{}.Append(currantturn.FlowKey{Caller: caller, Service: service}, 501),
			}, &t.out)
			reply := t.out.Sends[0].Message.(relay.QueryReply)
			Expect(reply.Absent.Len() + reply.Unsure.Len()).To(Equal(1))
			return reply.Unsure.Len() == 1
		}
		Expect(unsure(newTestAgent(true))).To(BeFalse())
		t := newTestAgent(false)
		Expect(unsure(t)).To(BeTrue())
		t.now = t.now.Add(time.Minute)
		Expect(unsure(t)).To(BeTrue())
		t.now = t.now.Add(time.Second)
		Expect(unsure(t)).To(BeFalse())
	})

	It("records a flow that is older than itself from a packet of the backend server", func() {
		t := newTestAgent(false)
		t.answer(caller, ack, 900, 150, 30)
		Expect(t.out.Answers).To(HaveLen(1))
		t.route(caller, currantturn.IntentSearch, ack, 150, 930, 0)
		Expect(t.out.Deliveries).To(HaveLen(1))
		Expect(t.out.Sends[0].Message).To(BeAssignableToTypeOf(relay.Held{}))
	})

	// After a restart of all processes a balancer would otherwise search on until the
	// caller's next packet, which may be a second later.
	It("notifies the balancer of a packet once the backend server has shown that it holds the older flow", func() {
		t := newTestAgent(false)
		t.route(caller, currantturn.IntentSearch, ack, 101, 501, 10)
		Expect(t.out.Deliveries).To(HaveLen(1))
		Expect(t.out.Sends).To(BeEmpty())
		t.answer(caller, ack, 501, 111, 0)
		Expect(t.out.Sends).To(HaveLen(1))
		Expect(t.out.Sends[0].To).To(Equal(balancer))
		Expect(t.out.Sends[0].Message).To(BeAssignableToTypeOf(relay.Held{}))
		Expect(t.agent.Counters().Flows).To(Equal(1))
		t.answer(caller, ack, 501, 111, 100)
		Expect(t.out.Sends).To(BeEmpty())
	})

	It("forgets an older flow that the backend server bounces, or does not answer", func() {
		t := newTestAgent(false)
		t.route(caller, currantturn.IntentSearch, ack, 101, 501, 10)
		t.bounce(caller, ack, 101, 501, 10)
		t.expectDenial()
		Expect(t.agent.Counters().Flows).To(BeZero())
		t.route(caller, currantturn.IntentSearch, ack, 101, 501, 10)
		t.now = t.now.Add(4 * time.Second)
		for range 100 { // each tick sweeps a part of the table
			t.tick(10 * time.Millisecond)
		}
		Expect(t.agent.Counters().Flows).To(BeZero())
	})

	// Guards against claims, and then resets, of flows that another backend server holds
	// (review/2): an opening packet lay in a queue of a VM that stood still, and the backend
	// server repeats its answer after the agent's restart.
	DescribeTable("does not take its backend server's repeated answer to an opening packet for an open flow", func(answerFirst bool) {
		t := newTestAgent(false)
		repeat := func() {
			t.answer(caller, syn|ack, 500, 101, 0)
			Expect(t.out.Answers).To(HaveLen(1))
			Expect(t.out.Sends).To(BeEmpty())
		}
		if answerFirst {
			repeat()
		}
		t.route(caller, currantturn.IntentSearch, ack, 101, 77_001, 20) // it accepted another answer
		Expect(t.out.Deliveries).To(HaveLen(1))
		Expect(t.out.Sends).To(BeEmpty())
		if !answerFirst {
			repeat()
		}
		t.bounce(caller, ack, 101, 77_001, 20)
		Expect(t.out.Answers).To(BeEmpty(), "a reset")
		t.expectDenial()
	},
		Entry("that arrives before the search", true),
		Entry("that arrives after the search", false),
	)

	DescribeTable("finds a flow older than itself whose opening was not yet acknowledged", func(answerFirst bool) {
		t := newTestAgent(false)
		if answerFirst {
			t.answer(caller, syn|ack, 500, 101, 0)
		}
		t.route(caller, currantturn.IntentSearch, ack, 101, 501, 20)
		Expect(t.out.Deliveries).To(HaveLen(1))
		if !answerFirst {
			t.answer(caller, syn|ack, 500, 101, 0) // both were under way
			Expect(t.out.Sends).To(BeEmpty())
		}
		t.answer(caller, ack, 501, 121, 0)
		Expect(t.out.Sends).To(HaveLen(1))
		Expect(t.out.Sends[0].Message).To(BeAssignableToTypeOf(relay.Held{}))
		t.route(caller, currantturn.IntentSearch, ack, 121, 501, 20)
		Expect(t.out.Sends[0].Message).To(BeAssignableToTypeOf(relay.Held{}))
	},
		Entry("after its backend server repeats its answer", true),
		Entry("before its backend server repeats its answer", false),
	)

	It("returns packets for another service", func() {
		t := newTestAgent(true)
		t.agent.SetService("reports")
		t.route(caller, currantturn.IntentPlace, syn, 100, 0, 0)
		Expect(t.out.Deliveries).To(BeEmpty())
		Expect(t.returned()).To(Equal([]currantturn.Intent{currantturn.IntentDeclined}))
		t.route(caller, currantturn.IntentHeld, ack, 101, 501, 0)
		Expect(t.returned()).To(Equal([]currantturn.Intent{currantturn.IntentAbsent}))
		Expect(t.agent.Counters().Foreign).To(Equal(uint64(2)))
	})

	It("resets an open flow once when the backend server bounces its packets", func() {
		t := newTestAgent(true)
		t.open(caller)
		t.bounce(caller, ack, 101, 501, 20)
		Expect(t.out.Answers).To(HaveLen(1))
		Expect(t.out.Answers[0].Payload[12]).To(Equal(byte(rst)))
		t.bounce(caller, ack, 101, 501, 20)
		Expect(t.out.Answers).To(BeEmpty(), "a second reset")
	})

	// A restart loses the backend server's answer to the opening packet; the caller's copy
	// opens the flow at its next incarnation.
	DescribeTable("follows a backend server that restarts before the caller acknowledges its answer", func(first, second uint32) {
		t := newTestAgent(true)
		t.route(caller, currantturn.IntentPlace, syn, 100, 0, 0)
		t.answer(caller, syn|ack, first, 101, 0)
		t.route(caller, currantturn.IntentHeld, syn, 100, 1, 0)
		t.answer(caller, syn|ack, second, 101, 0)
		t.route(caller, currantturn.IntentHeld, ack, 101, first+1, 20)
		Expect(t.out.Deliveries).To(BeEmpty(), "it acknowledges the earlier incarnation's answer")
		Expect(t.returned()).To(Equal([]currantturn.Intent{currantturn.IntentAbsent}))
		t.route(caller, currantturn.IntentHeld, ack, 101, second+1, 20)
		Expect(t.out.Deliveries).To(HaveLen(1))
	},
		Entry("with a higher sequence number", uint32(500), uint32(1<<30)),
		Entry("with a lower sequence number", uint32(1<<30), uint32(500)),
	)

	It("frees the slot of a request that a restart of the backend server lost, once a packet bounces", func() {
		t := newTestAgent(true)
		for n := range byte(4) {
			t.open(otherCaller(n))
			t.route(otherCaller(n), currantturn.IntentHeld, ack, 101, 501, 50)
		}
		Expect(t.agent.Counters().Running).To(Equal(1))
		t.bounce(otherCaller(0), ack, 101, 501, 50) // the caller's copy
		t.tick(10 * time.Millisecond)
		Expect(t.out.Deliveries).To(HaveLen(1), "the next one, which bounces too")
		t.bounce(otherCaller(1), ack, 101, 501, 50)
		t.open(otherCaller(9))
		t.tick(10 * time.Millisecond)
		Expect(t.agent.Counters().Flows).To(Equal(5))
		Expect(t.agent.Counters().Forgotten).To(Equal(uint64(2)))
	})

	It("returns an opening packet that bounces or is not answered in time", func() {
		t := newTestAgent(true)
		t.route(caller, currantturn.IntentPlace, syn, 100, 0, 0)
		t.bounce(caller, syn, 100, 0, 0)
		Expect(t.returned()).To(Equal([]currantturn.Intent{currantturn.IntentDeclined}))
		t.route(otherCaller(1), currantturn.IntentPlace, syn, 100, 0, 0)
		t.tick(30 * time.Millisecond)
		Expect(t.out.Forwards).To(BeEmpty())
		t.tick(20 * time.Millisecond)
		Expect(t.returned()).To(Equal([]currantturn.Intent{currantturn.IntentUnanswered}))
		t.route(otherCaller(1), currantturn.IntentHeld, syn, 100, 1, 0)
		Expect(t.out.Deliveries).To(HaveLen(1), "the caller's copy")
		t.bounce(otherCaller(1), syn, 100, 1, 0)
		Expect(t.returned()).To(Equal([]currantturn.Intent{currantturn.IntentDeclined}))
	})

	It("declines new flows at once while the backend server is unresponsive, except for periodic retries", func() {
		t := newTestAgent(true)
		for n := range byte(2) {
			t.route(otherCaller(n), currantturn.IntentPlace, syn, 100, 0, 0)
			t.tick(50 * time.Millisecond)
		}
		retries := 0
		for n := range byte(50) {
			t.now = t.now.Add(20 * time.Millisecond)
			t.route(otherCaller(10+n), currantturn.IntentPlace, syn, 100, 0, 0)
			retries += len(t.out.Deliveries)
		}
		Expect(retries).To(BeNumerically("~", 4, 1))
		t.answer(otherCaller(10), syn|ack, 500, 101, 0)
		t.route(otherCaller(100), currantturn.IntentPlace, syn, 100, 0, 0)
		Expect(t.out.Deliveries).To(HaveLen(1))
	})

	Describe("with more requests than slots", func() {
		var t *testAgent
		BeforeEach(func() {
			t = newTestAgent(true)
			for n := range byte(3) {
				t.open(otherCaller(n))
			}
			t.route(otherCaller(0), currantturn.IntentHeld, ack, 101, 501, 50)
			Expect(t.out.Deliveries).To(HaveLen(1))
		})

		It("holds the next request until the previous one is answered", func() {
			t.route(otherCaller(1), currantturn.IntentHeld, ack, 101, 501, 50)
			Expect(t.out.Deliveries).To(BeEmpty())
			t.route(otherCaller(1), currantturn.IntentHeld, ack, 151, 501, 30)
			t.route(otherCaller(1), currantturn.IntentHeld, ack, 101, 501, 50) // resent by its caller
			Expect(t.out.Deliveries).To(BeEmpty())
			t.answer(otherCaller(0), ack, 501, 151, 100)
			Expect(t.out.Deliveries).To(HaveLen(2))
			Expect(t.out.Deliveries[0].Sequence).To(Equal(uint32(101)))
			Expect(t.out.Deliveries[1].Sequence).To(Equal(uint32(151)))
			Expect(t.agent.Counters().Running).To(Equal(1))
		})

		It("delivers acknowledgements and repeated data at once", func() {
			t.route(otherCaller(1), currantturn.IntentHeld, ack, 101, 501, 0)
			Expect(t.out.Deliveries).To(HaveLen(1))
			t.answer(otherCaller(0), ack, 501, 151, 100)
			t.route(otherCaller(0), currantturn.IntentHeld, ack, 101, 501, 50)
			Expect(t.out.Deliveries).To(HaveLen(1))
			Expect(t.agent.Counters().Running).To(BeZero())
		})

		It("holds a closing packet behind the data before it", func() {
			t.route(otherCaller(1), currantturn.IntentHeld, ack, 101, 501, 50)
			t.route(otherCaller(1), currantturn.IntentHeld, fin|ack, 151, 501, 0)
			Expect(t.out.Deliveries).To(BeEmpty())
			t.answer(otherCaller(0), ack, 501, 151, 100)
			Expect(t.out.Deliveries).To(HaveLen(2))
			Expect(t.out.Deliveries[1].Mark).To(Equal(currantturn.MarkClosing))
		})

		It("drops a request whose timeout has expired and never runs it", func() {
			t.route(otherCaller(1), currantturn.IntentHeld, ack, 101, 501, 50)
			t.tick(900 * time.Millisecond)
			t.answer(otherCaller(0), ack, 501, 151, 100)
			Expect(t.out.Deliveries).To(BeEmpty())
			Expect(t.agent.Counters().GaveUp).To(Equal(uint64(1)))
		})

		It("delivers one waiting request beyond the slots for each objective without an answer", func() {
			t.route(otherCaller(1), currantturn.IntentHeld, ack, 101, 501, 50)
			t.route(otherCaller(2), currantturn.IntentHeld, ack, 101, 501, 50)
			t.tick(110 * time.Millisecond)
			Expect(t.out.Deliveries).To(BeEmpty())
			t.tick(10 * time.Millisecond)
			Expect(t.out.Deliveries).To(HaveLen(1))
			t.tick(110 * time.Millisecond)
			Expect(t.out.Deliveries).To(BeEmpty())
			t.tick(10 * time.Millisecond)
			Expect(t.out.Deliveries).To(HaveLen(1))
		})

		It("delivers no late request beyond the slots while the backend server answers", func() {
			t.route(otherCaller(1), currantturn.IntentHeld, ack, 101, 501, 50)
			for n := range byte(6) { // a timely request waits whenever the slot gets free
				previous, next := otherCaller(10+n-1), otherCaller(10+n)
				if n == 0 {
					previous = otherCaller(0)
				}
				t.tick(100 * time.Millisecond)
				Expect(t.out.Deliveries).To(BeEmpty())
				t.open(next)
				t.route(next, currantturn.IntentHeld, ack, 101, 501, 50)
				t.answer(previous, ack, 501, 151, 100)
				Expect(t.out.Deliveries).To(HaveLen(1))
				Expect(t.out.Deliveries[0].Flow.Caller).To(Equal(next))
			}
		})

		// Callers open flows that they do not use at once.
		It("counts the time of a first request from its arrival if its flow was opened long before", func() {
			t.now = t.now.Add(700 * time.Millisecond)
			t.route(otherCaller(1), currantturn.IntentHeld, ack, 101, 501, 50)
			t.tick(200 * time.Millisecond)
			Expect(t.agent.Counters().GaveUp).To(BeZero())
			Expect(t.out.Deliveries).To(HaveLen(1))
		})

		It("drops the request of a flow that is reset", func() {
			t.route(otherCaller(1), currantturn.IntentHeld, ack, 101, 501, 50)
			t.route(otherCaller(2), currantturn.IntentHeld, ack, 101, 501, 50)
			t.route(otherCaller(1), currantturn.IntentHeld, rst, 151, 501, 0)
			t.answer(otherCaller(0), ack, 501, 151, 100)
			Expect(t.out.Deliveries).To(HaveLen(1))
			Expect(t.out.Deliveries[0].Flow.Caller).To(Equal(otherCaller(2)))
			Expect(t.agent.Counters().Running).To(Equal(1))
		})

		It("queues the first request of a reopened flow behind earlier requests of other flows", func() {
			t.route(otherCaller(1), currantturn.IntentHeld, ack, 101, 501, 50)
			t.route(otherCaller(2), currantturn.IntentHeld, ack, 101, 501, 50)
			t.route(otherCaller(1), currantturn.IntentHeld, rst, 151, 501, 0)
			t.open(otherCaller(1)) // its caller reuses the port
			t.route(otherCaller(1), currantturn.IntentHeld, ack, 101, 501, 50)
			t.answer(otherCaller(0), ack, 501, 151, 100)
			Expect(t.out.Deliveries).To(HaveLen(1))
			Expect(t.out.Deliveries[0].Flow.Caller).To(Equal(otherCaller(2)))
		})

		It("frees the slot of a request that is never answered", func() {
			t.route(otherCaller(1), currantturn.IntentHeld, ack, 101, 501, 50)
			for range 64 * 6 { // the second request is dropped
				t.tick(10 * time.Millisecond)
			}
			Expect(t.agent.Counters().Running).To(BeZero())
		})
	})

	It("reports its load to recently active balancers", func() {
		t := newTestAgent(true)
		t.open(caller)
		t.tick(10 * time.Millisecond)
		Expect(t.out.Sends).To(HaveLen(1))
		t.tick(10 * time.Millisecond)
		Expect(t.out.Sends).To(BeEmpty(), "a report before the next interval")
		t.route(caller, currantturn.IntentHeld, ack, 101, 501, 10)
		t.tick(200 * time.Millisecond)
		Expect(t.out.Sends).To(Equal([]currantturn.Send{{To: balancer, Message: relay.Report{Load: relay.Load{Running: 1, Flows: 1}}}}))
		for range 10 {
			t.tick(time.Second)
		}
		Expect(t.out.Sends).To(BeEmpty(), "a report to an inactive balancer")
	})
})

var _ = Describe("an agent with many balancers", func() {
	It("stays within its rate limit and sends reports to every balancer", func() {
		t := newTestAgent(true)
		const balancers, seconds = 60, 4
		reportsTo := map[netip.AddrPort]int{}
		for n := range 100 * seconds {
			if n%100 == 0 { // every balancer sends a probe
				for b := range byte(balancers) {
					from := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, 1, b}), 7120)
					t.agent.Handle(t.now, from, relay.Probe{}, &currantturn.Effects{})
				}
			}
			if n%4 == 0 { // a new flow changes the load, so that reports are due early
				t.open(otherCaller(byte(n / 4)))
			}
			t.tick(10 * time.Millisecond)
			for _, s := range t.out.Sends {
				reportsTo[s.To]++
			}
		}
		reports := 0
		for _, n := range reportsTo {
			Expect(n).To(BeNumerically(">=", seconds))
			reports += n
		}
		Expect(reportsTo).To(HaveLen(balancers + 1))
		Expect(reports).To(BeNumerically("<=", 65*seconds+64)) // reportsPerSecond, and a burst of maxBalancers
	})
})

func BenchmarkKnownFlow(b *testing.B) {
	a := flowagent.New(flowagent.Options{Codec: platform.Packets{}, Service: "verify", LinkPort: 7120, Started: start, Fresh: true})
	var out currantturn.Effects
	send := func(flags byte, seq, acked uint32) {
		e := currantturn.Envelope{Intent: currantturn.IntentHeld, Service: "verify", Demand: demand}
		if err := (platform.Packets{}).Decode(packet(caller, service, flags, seq, acked, 0), currantturn.ToBackend, &e.Packet); err != nil {
			b.Fatal(err)
		}
		a.Route(start, balancer, &e, &out)
	}
	send(syn, 100, 0)
	var p currantturn.Packet
	if err := (platform.Packets{}).Decode(packet(service, caller, syn|ack, 500, 101, 0), currantturn.ToCaller, &p); err != nil {
		b.Fatal(err)
	}
	a.Answer(start, &p, &out)
	known := packet(caller, service, ack, 101, 501, 0)
	e := currantturn.Envelope{Intent: currantturn.IntentHeld, Service: "verify", Demand: demand}
	b.ReportAllocs()
	for b.Loop() {
		out.Reset()
		if err := (platform.Packets{}).Decode(known, currantturn.ToBackend, &e.Packet); err != nil {
			b.Fatal(err)
		}
		a.Route(start, balancer, &e, &out)
	}
}
