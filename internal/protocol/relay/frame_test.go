package relay_test

import (
	"errors"
	"net/netip"
	"testing"
	"time"

	"github.com/currantturn/currantturn"
	"github.com/currantturn/currantturn/internal/protocol/relay"
	"github.com/currantturn/currantturn/internal/suite"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestRelay(t *testing.T) { suite.Run(t, "relay") }

var _ = Describe("frame", func() {
	flow := relay.Flow{
		Caller: netip.MustParseAddrPort("100.64.0.7:40001"), Service: netip.MustParseAddrPort("198.18.0.1:443"),
	}

	DescribeTable("carries a packet with its intent and demand", func(intent currantturn.Intent) {
		sent := currantturn.Envelope{
			Intent: intent, Service: "verify", Packet: currantturn.Packet{Payload: []byte("packet")},
			Demand:   currantturn.Demand{Slots: 3, Priority: 1, LatencyObjective: 150 * time.Millisecond, Timeout: time.Second},
			Position: currantturn.Position{Era: 3, Revision: 1 << 40},
		}
		var got currantturn.Envelope
		m, err := relay.Decode(relay.AppendPacket(nil, &sent), "other", &got)
		Expect(err).NotTo(HaveOccurred())
		Expect(m).To(BeNil())
		Expect(got).To(Equal(sent))
	},
		Entry(nil, currantturn.IntentPlace), Entry(nil, currantturn.IntentHeld), Entry(nil, currantturn.IntentSearch),
		Entry(nil, currantturn.IntentAbsent), Entry(nil, currantturn.IntentDeclined),
		Entry(nil, currantturn.IntentUnanswered),
	)

	It("carries the recipients of a search, and the balancer that it is forwarded for", func() {
		sent := currantturn.Envelope{
			Intent: currantturn.IntentSearch, Service: "verify", Packet: currantturn.Packet{Payload: []byte("packet")},
			Recipients: []netip.Addr{netip.MustParseAddr("10.1.0.1"), netip.MustParseAddr("10.2.0.1")},
		}
		var got currantturn.Envelope
		_, err := relay.Decode(relay.AppendPacket(nil, &sent), "other", &got)
		Expect(err).NotTo(HaveOccurred())
		Expect(got).To(Equal(sent))
		sent.Recipients, sent.Balancer = nil, netip.MustParseAddrPort("10.3.0.1:7120")
		got = currantturn.Envelope{}
		_, err = relay.Decode(relay.AppendPacket(nil, &sent), "other", &got)
		Expect(err).NotTo(HaveOccurred())
		Expect(got.Balancer.Addr()).To(Equal(sent.Balancer.Addr()))
		Expect(got.Recipients).To(BeEmpty())
		Expect(got.Packet.Payload).To(Equal(sent.Packet.Payload))
	})

	It("carries the warm-up of a backend server, in a form that earlier agents ignore", func() {
		sent := currantturn.Envelope{
			Intent: currantturn.IntentPlace, Service: "verify", Packet: currantturn.Packet{Payload: []byte("packet")},
			Warming: currantturn.Warming{
				WarmUp:    currantturn.WarmUp{Duration: 2 * time.Second, Rate: 12.5},
				Remaining: 1500 * time.Millisecond,
			},
			ReadsLoads: true,
		}
		frame := relay.AppendPacket(nil, &sent)
		var got currantturn.Envelope
		_, err := relay.Decode(frame, "other", &got)
		Expect(err).NotTo(HaveOccurred())
		Expect(got).To(Equal(sent))
		// Earlier agents read a prefix with three recipients, which are for searches only,
		// and no balancer.
		Expect(frame[:6]).To(Equal([]byte{3, 3, 0, 0, 0, 0}))
		without := sent
		without.Warming, without.ReadsLoads = currantturn.Warming{}, false
		Expect(frame[6+3*4:]).To(Equal(relay.AppendPacket(nil, &without)))
		sent.Intent = currantturn.IntentHeld
		Expect(relay.AppendPacket(nil, &sent)[0]).To(Equal(byte(1)), "only packets that place a flow carry it")
	})

	// Earlier agents read an empty prefix, without a balancer.
	It("shows with a packet that places a flow that its sender reads all fields of a load", func() {
		sent := currantturn.Envelope{
			Intent: currantturn.IntentPlace, Service: "verify", ReadsLoads: true, Packet: currantturn.Packet{Payload: []byte("packet")},
		}
		frame := relay.AppendPacket(nil, &sent)
		Expect(frame[:6]).To(Equal([]byte{3, 0, 0, 0, 0, 0}))
		var got currantturn.Envelope
		_, err := relay.Decode(frame, "other", &got)
		Expect(err).NotTo(HaveOccurred())
		Expect(got).To(Equal(sent))
		_, err = relay.Decode(frame[6:], "other", &got)
		Expect(err).NotTo(HaveOccurred())
		Expect(got.ReadsLoads).To(BeFalse())
	})

	It("clamps numbers that do not fit into their field", func() {
		sent := currantturn.Envelope{Intent: currantturn.IntentHeld, Demand: currantturn.Demand{Slots: 1000, Timeout: time.Hour}}
		var got currantturn.Envelope
		_, err := relay.Decode(relay.AppendPacket(nil, &sent), "", &got)
		Expect(err).NotTo(HaveOccurred())
		Expect(got.Demand).To(Equal(currantturn.Demand{Slots: 255, Timeout: 65535 * time.Millisecond}))
	})

	DescribeTable("carries a control message", func(sent currantturn.Message) {
		frame, err := relay.AppendMessage(nil, sent)
		Expect(err).NotTo(HaveOccurred())
		got, err := relay.Decode(frame, "", &currantturn.Envelope{})
		Expect(err).NotTo(HaveOccurred())
		Expect(got).To(Equal(sent))
	},
		Entry(nil, relay.Accepted{Flow: flow, Load: relay.Load{Running: 3, Flows: 40, ServiceTimeUS: 22000, Waiting: 7}}),
		Entry(nil, relay.Query{Flows: relay.Flows{}.Append(flow.Key(), 7), Revision: 3, Era: 2}),
		Entry(nil, relay.QueryReply{Held: relay.Flows{}.Append(flow.Key(), 7), Revision: 3, Era: 2}),
		Entry(nil, relay.Held{Flow: flow}), Entry(nil, relay.Absent{Flow: flow}),
		Entry(nil, relay.Report{Load: relay.Load{Unresponsive: true}}),
		Entry(nil, relay.Announce{Service: "verify", FailureDomain: "hall-a"}),
		Entry(nil, relay.Report{Load: relay.Load{Running: 1, DeclinesMS: 700}}),
		Entry(nil, relay.WarmUp{
			Warming:  currantturn.Warming{WarmUp: currantturn.WarmUp{Duration: 2 * time.Second, Rate: 12.5}, Remaining: time.Second},
			Revision: 3, Era: 2,
		}),
	)

	It("carries a list of MaxFlows flows within a datagram", func() {
		var list relay.Flows
		for n := range relay.MaxFlows {
			list = list.Append(flow.Key(), uint32(n))
		}
		Expect(list.Len()).To(Equal(relay.MaxFlows))
		n := uint32(0)
		for key, acked := range list.All() {
			Expect(key).To(Equal(flow.Key()))
			Expect(acked).To(Equal(n))
			n++
		}
		_, err := relay.AppendMessage(nil, relay.Query{Flows: list, Revision: 1 << 60})
		Expect(err).NotTo(HaveOccurred())
		_, err = relay.AppendMessage(nil, relay.QueryReply{Held: list[:16], Absent: list[16:32], Unsure: list[32:], Revision: 1 << 60})
		Expect(err).NotTo(HaveOccurred())
	})

	DescribeTable("is rejected when malformed", func(frame []byte) {
		_, err := relay.Decode(frame, "", &currantturn.Envelope{})
		Expect(errors.Is(err, currantturn.ErrMalformed)).To(BeTrue(), "%v", err)
	},
		Entry("empty", nil), Entry("unknown type", []byte{9}), Entry("truncated", []byte{1, 2, 3}),
		Entry("unknown intent", append([]byte{1, 200}, make([]byte, 19)...)),
		Entry("name longer than the frame", append([]byte{1, 1}, append(make([]byte, 18), 50)...)),
		Entry("invalid CBOR", []byte{2, 0xff}),
	)
})

func FuzzDecode(f *testing.F) {
	f.Add(relay.AppendPacket(nil, &currantturn.Envelope{Intent: currantturn.IntentPlace, Service: "verify"}))
	f.Add(relay.AppendPacket(nil, &currantturn.Envelope{
		Intent: currantturn.IntentSearch, Balancer: netip.MustParseAddrPort("10.3.0.1:7120"),
		Recipients: []netip.Addr{netip.MustParseAddr("10.1.0.1"), netip.MustParseAddr("10.2.0.1")},
	}))
	announce, err := relay.AppendMessage(nil, relay.Announce{Service: "verify", FailureDomain: "hall-a"})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(announce)
	drained, err := relay.AppendMessage(nil, relay.Drained{Drained: true, Revision: 40, Era: 2})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(drained)
	f.Fuzz(func(t *testing.T, frame []byte) {
		var e currantturn.Envelope
		m, err := relay.Decode(frame, "verify", &e)
		if err != nil && m != nil {
			t.Fatalf("Decode returned both message %v and error %v", m, err)
		}
	})
}
