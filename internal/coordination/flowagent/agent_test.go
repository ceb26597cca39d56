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
	demand   = currantturn.Demand{Slots: 1, Priority: 2, Objective: 120 * time.Millisecond, Timeout: 800 * time.Millisecond}
)

func packet(from, to netip.AddrPort, flags byte, seq, acked uint32, data int) []byte {
	p := platformtest.Packet{From: from, To: to, Flags: flags, Sequence: seq, Acked: acked, Data: strings.Repeat("x", data)}
	return p.Encode()
}

// rig is one agent with the effects of its last decision.
type rig struct {
	agent *flowagent.Agent
	now   time.Time
	out   currantturn.Effects
}

func newRig(fresh bool) *rig {
	return &rig{now: start, agent: flowagent.New(flowagent.Options{
		Codec: platform.Packets{}, Service: "verify", Backend: "verify-0", LinkPort: 7120, Started: start, Fresh: fresh,
	})}
}

func (r *rig) route(from netip.AddrPort, intent currantturn.Intent, flags byte, seq, acked uint32, data int) {
	GinkgoHelper()
	r.out.Reset()
	e := currantturn.Envelope{Direction: currantturn.ToBackend, Intent: intent, Service: "verify", Demand: demand}
	Expect(platform.Packets{}.Decode(packet(from, service, flags, seq, acked, data), currantturn.ToBackend, &e.Packet)).To(Succeed())
	r.agent.Route(r.now, balancer, &e, &r.out)
}

func (r *rig) answer(to netip.AddrPort, flags byte, seq, acked uint32, data int) {
	GinkgoHelper()
	r.out.Reset()
	var p currantturn.Packet
	Expect(platform.Packets{}.Decode(packet(service, to, flags, seq, acked, data), currantturn.ToCaller, &p)).To(Succeed())
	r.agent.Answer(r.now, &p, &r.out)
}

// bounce returns a caller's packet from the backend server.
func (r *rig) bounce(from netip.AddrPort, flags byte, seq, acked uint32, data int) {
	GinkgoHelper()
	r.out.Reset()
	b := packet(from, service, flags|bounced, seq, acked, data)
	copy(b[8:], []byte{10, 1, 0, 1})
	var p currantturn.Packet
	Expect(platform.Packets{}.Decode(b, currantturn.ToCaller, &p)).To(Succeed())
	r.agent.Answer(r.now, &p, &r.out)
}

func (r *rig) tick(after time.Duration) {
	r.out.Reset()
	r.now = r.now.Add(after)
	r.agent.Tick(r.now, &r.out)
}

// open opens a flow at the backend server, whose first sequence number is 500.
func (r *rig) open(from netip.AddrPort) {
	GinkgoHelper()
	r.route(from, currantturn.IntentPlace, syn, 100, 0, 0)
	Expect(r.out.Delivers).To(HaveLen(1))
	r.answer(from, syn|ack, 500, 101, 0)
	Expect(r.out.Sends).To(HaveLen(1))
	r.route(from, currantturn.IntentHeld, ack, 101, 501, 0)
	Expect(r.out.Delivers).To(HaveLen(1))
}

func (r *rig) returned() []currantturn.Intent {
	var all []currantturn.Intent
	for _, f := range r.out.Forwards {
		Expect(f.To).To(Equal(balancer))
		all = append(all, f.Envelope.Intent)
	}
	return all
}

func other(n byte) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{100, 64, 1, n}), 40000)
}

var _ = Describe("an agent of opaque flows", func() {
	It("takes new flows and tells their balancer when the backend server answers", func() {
		r := newRig(true)
		r.open(caller)
		Expect(r.agent.Counters().Flows).To(Equal(1))
	})

	It("returns packets that acknowledge another backend server's answer", func() {
		r := newRig(true)
		r.route(caller, currantturn.IntentPlace, syn, 100, 0, 0)
		r.answer(caller, syn|ack, 500, 101, 0)
		r.route(caller, currantturn.IntentHeld, ack, 101, 90000, 0)
		Expect(r.out.Delivers).To(BeEmpty())
		Expect(r.returned()).To(Equal([]currantturn.Intent{currantturn.IntentAbsent}))
	})

	It("returns packets of a flow that the backend server has not answered yet", func() {
		r := newRig(true)
		r.route(caller, currantturn.IntentPlace, syn, 100, 0, 0)
		r.route(caller, currantturn.IntentHeld, ack, 101, 501, 50)
		Expect(r.out.Delivers).To(BeEmpty())
		Expect(r.returned()).To(Equal([]currantturn.Intent{currantturn.IntentAbsent}))
	})

	It("denies unknown flows if it knows all, and asks the backend server if it does not", func() {
		r := newRig(true)
		r.route(caller, currantturn.IntentSearch, ack, 101, 501, 10)
		Expect(r.out.Delivers).To(BeEmpty())
		Expect(r.out.Sends[0].Message).To(BeAssignableToTypeOf(relay.Absent{}))
		r = newRig(false)
		r.route(caller, currantturn.IntentSearch, ack, 101, 501, 10)
		Expect(r.out.Delivers).To(HaveLen(1))
		r.bounce(caller, ack, 101, 501, 10)
		Expect(r.returned()).To(Equal([]currantturn.Intent{currantturn.IntentAbsent}))
		r.now = r.now.Add(2 * time.Minute)
		r.route(caller, currantturn.IntentSearch, ack, 101, 501, 10)
		Expect(r.out.Delivers).To(BeEmpty())
	})

	It("knows all if its backend server had just started when it did, and not if that was long before", func() {
		for age, knows := range map[time.Duration]bool{300 * time.Millisecond: true, 5 * time.Second: false, 0: false} {
			r := newRig(false)
			r.agent.Handle(r.now, balancer, relay.Query{
				Flows: relay.Flows{}.Append(currantturn.FlowKey{Caller: caller, Service: service}, 501), AgeMS: relay.AgeMS(age),
			}, &r.out)
			answer := r.out.Sends[0].Message.(relay.Answer)
			Expect(answer.Absent.Len() == 1).To(Equal(knows))
			Expect(answer.Unsure.Len() == 1).To(Equal(!knows))
		}
	})

	It("knows a flow that is older than itself by what the backend server sends", func() {
		r := newRig(false)
		r.answer(caller, ack, 900, 150, 30)
		Expect(r.out.Answers).To(HaveLen(1))
		r.route(caller, currantturn.IntentSearch, ack, 150, 930, 0)
		Expect(r.out.Delivers).To(HaveLen(1))
		Expect(r.out.Sends[0].Message).To(BeAssignableToTypeOf(relay.Held{}))
	})

	It("returns packets for another service", func() {
		r := newRig(true)
		r.agent.SetService("reports")
		r.route(caller, currantturn.IntentPlace, syn, 100, 0, 0)
		Expect(r.out.Delivers).To(BeEmpty())
		Expect(r.returned()).To(Equal([]currantturn.Intent{currantturn.IntentDeclined}))
		r.route(caller, currantturn.IntentHeld, ack, 101, 501, 0)
		Expect(r.returned()).To(Equal([]currantturn.Intent{currantturn.IntentAbsent}))
		Expect(r.agent.Counters().Foreign).To(Equal(uint64(2)))
	})

	It("resets an open flow only when the backend server bounces it", func() {
		r := newRig(true)
		r.open(caller)
		r.bounce(caller, ack, 101, 501, 20)
		Expect(r.out.Answers).To(HaveLen(1))
		Expect(r.out.Answers[0].Payload[12]).To(Equal(byte(rst)))
		r.bounce(caller, ack, 101, 501, 20)
		Expect(r.out.Answers).To(BeEmpty(), "once")
	})

	It("returns an opening packet that bounces or is not answered in time", func() {
		r := newRig(true)
		r.route(caller, currantturn.IntentPlace, syn, 100, 0, 0)
		r.bounce(caller, syn, 100, 0, 0)
		Expect(r.returned()).To(Equal([]currantturn.Intent{currantturn.IntentDeclined}))
		r.route(other(1), currantturn.IntentPlace, syn, 100, 0, 0)
		r.tick(30 * time.Millisecond)
		Expect(r.out.Forwards).To(BeEmpty())
		r.tick(20 * time.Millisecond)
		Expect(r.returned()).To(Equal([]currantturn.Intent{currantturn.IntentDeclined}))
	})

	It("declines new flows at once while the backend server is silent, but for a try now and then", func() {
		r := newRig(true)
		for n := range byte(2) {
			r.route(other(n), currantturn.IntentPlace, syn, 100, 0, 0)
			r.tick(50 * time.Millisecond)
		}
		tries := 0
		for n := range byte(50) {
			r.now = r.now.Add(20 * time.Millisecond)
			r.route(other(10+n), currantturn.IntentPlace, syn, 100, 0, 0)
			tries += len(r.out.Delivers)
		}
		Expect(tries).To(BeNumerically("~", 4, 1))
		r.answer(other(10), syn|ack, 500, 101, 0)
		r.route(other(100), currantturn.IntentPlace, syn, 100, 0, 0)
		Expect(r.out.Delivers).To(HaveLen(1))
	})

	Describe("with more requests than slots", func() {
		var r *rig
		BeforeEach(func() {
			r = newRig(true)
			for n := range byte(3) {
				r.open(other(n))
			}
			r.route(other(0), currantturn.IntentHeld, ack, 101, 501, 50)
			Expect(r.out.Delivers).To(HaveLen(1))
		})

		It("keeps the next request until the answer to the one before", func() {
			r.route(other(1), currantturn.IntentHeld, ack, 101, 501, 50)
			Expect(r.out.Delivers).To(BeEmpty())
			r.route(other(1), currantturn.IntentHeld, ack, 151, 501, 30)
			r.route(other(1), currantturn.IntentHeld, ack, 101, 501, 50) // repeated by its caller
			Expect(r.out.Delivers).To(BeEmpty())
			r.answer(other(0), ack, 501, 151, 100)
			Expect(r.out.Delivers).To(HaveLen(2))
			Expect(r.out.Delivers[0].Sequence).To(Equal(uint32(101)))
			Expect(r.out.Delivers[1].Sequence).To(Equal(uint32(151)))
			Expect(r.agent.Counters().Running).To(Equal(1))
		})

		It("passes on acknowledgements and repeats of data that was passed on", func() {
			r.route(other(1), currantturn.IntentHeld, ack, 101, 501, 0)
			Expect(r.out.Delivers).To(HaveLen(1))
			r.answer(other(0), ack, 501, 151, 100)
			r.route(other(0), currantturn.IntentHeld, ack, 101, 501, 50)
			Expect(r.out.Delivers).To(HaveLen(1))
			Expect(r.agent.Counters().Running).To(BeZero())
		})

		It("keeps a close behind the data before it", func() {
			r.route(other(1), currantturn.IntentHeld, ack, 101, 501, 50)
			r.route(other(1), currantturn.IntentHeld, fin|ack, 151, 501, 0)
			Expect(r.out.Delivers).To(BeEmpty())
			r.answer(other(0), ack, 501, 151, 100)
			Expect(r.out.Delivers).To(HaveLen(2))
			Expect(r.out.Delivers[1].Mark).To(Equal(currantturn.MarkClosing))
		})

		It("drops a request whose caller has given up, which then never runs", func() {
			r.route(other(1), currantturn.IntentHeld, ack, 101, 501, 50)
			r.tick(900 * time.Millisecond)
			r.answer(other(0), ack, 501, 151, 100)
			Expect(r.out.Delivers).To(BeEmpty())
			Expect(r.agent.Counters().GaveUp).To(Equal(uint64(1)))
		})

		It("hands on a request that has waited for most of its time", func() {
			r.route(other(1), currantturn.IntentHeld, ack, 101, 501, 50)
			r.tick(500 * time.Millisecond)
			Expect(r.out.Delivers).To(BeEmpty())
			r.tick(100 * time.Millisecond)
			Expect(r.out.Delivers).To(HaveLen(1))
		})

		It("drops the request of a flow that is reset", func() {
			r.route(other(1), currantturn.IntentHeld, ack, 101, 501, 50)
			r.route(other(2), currantturn.IntentHeld, ack, 101, 501, 50)
			r.route(other(1), currantturn.IntentHeld, rst, 151, 501, 0)
			r.answer(other(0), ack, 501, 151, 100)
			Expect(r.out.Delivers).To(HaveLen(1))
			Expect(r.out.Delivers[0].Flow.Caller).To(Equal(other(2)))
			Expect(r.agent.Counters().Running).To(Equal(1))
		})

		It("lets the next request of a reset flow wait for its own turn", func() {
			r.route(other(1), currantturn.IntentHeld, ack, 101, 501, 50)
			r.route(other(2), currantturn.IntentHeld, ack, 101, 501, 50)
			r.route(other(1), currantturn.IntentHeld, rst, 151, 501, 0)
			r.open(other(1)) // its caller uses the port again
			r.route(other(1), currantturn.IntentHeld, ack, 101, 501, 50)
			r.answer(other(0), ack, 501, 151, 100)
			Expect(r.out.Delivers).To(HaveLen(1))
			Expect(r.out.Delivers[0].Flow.Caller).To(Equal(other(2)))
		})

		It("frees the slot of a request that is never answered", func() {
			r.route(other(1), currantturn.IntentHeld, ack, 101, 501, 50)
			for range 64 * 6 { // both requests: the second runs when it is overdue
				r.tick(10 * time.Millisecond)
			}
			Expect(r.agent.Counters().Running).To(BeZero())
		})
	})

	It("reports its load to the balancers that it heard", func() {
		r := newRig(true)
		r.open(caller)
		r.tick(10 * time.Millisecond)
		Expect(r.out.Sends).To(HaveLen(1))
		r.tick(10 * time.Millisecond)
		Expect(r.out.Sends).To(BeEmpty(), "not before the next period")
		r.route(caller, currantturn.IntentHeld, ack, 101, 501, 10)
		r.tick(200 * time.Millisecond)
		Expect(r.out.Sends).To(Equal([]currantturn.Send{{To: balancer, Message: relay.Report{Load: relay.Load{Running: 1, Flows: 1}}}}))
		for range 10 {
			r.tick(time.Second)
		}
		Expect(r.out.Sends).To(BeEmpty(), "a balancer that is silent")
	})
})

var _ = Describe("an agent that many balancers send to", func() {
	It("keeps to its budget of reports and passes nobody over", func() {
		r := newRig(true)
		const balancers, seconds = 60, 4
		told := map[netip.AddrPort]int{}
		for n := range 100 * seconds {
			if n%100 == 0 { // every balancer is heard, and the load changes
				for b := range byte(balancers) {
					from := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, 1, b}), 7120)
					r.agent.Handle(r.now, from, relay.Probe{}, &currantturn.Effects{})
				}
			}
			if n%4 == 0 {
				r.open(other(byte(n / 4)))
			}
			r.tick(10 * time.Millisecond)
			for _, s := range r.out.Sends {
				told[s.To]++
			}
		}
		reports := 0
		for _, n := range told {
			Expect(n).To(BeNumerically(">=", seconds))
			reports += n
		}
		Expect(told).To(HaveLen(balancers + 1))
		Expect(reports).To(BeNumerically("<=", 75*seconds+64))
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
