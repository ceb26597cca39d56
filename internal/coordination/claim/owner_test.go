package claim_test

import (
	"net/netip"
	"strings"
	"time"

	"github.com/currantturn/currantturn"
	"github.com/currantturn/currantturn/internal/coordination/claim"
	"github.com/currantturn/currantturn/internal/coordination/rank"
	"github.com/currantturn/currantturn/internal/protocol/message"
	"github.com/currantturn/currantturn/internal/protocol/request"
	"github.com/currantturn/currantturn/internal/state/record"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// trio is three processes that own the key one after the other, in versions 1,
// 2 and 3, and whose messages the test delivers by hand.
type trio struct {
	now     time.Time
	claims  [3]*claim.Claims
	address [3]netip.AddrPort
	caller  netip.AddrPort // link address of a runner that is no owner
	views   [3]*currantturn.View
	key     request.Key
	number  uint64
}

func newTrio(bytes int) *trio {
	t := &trio{now: epoch.Add(time.Minute), caller: netip.MustParseAddrPort("127.0.0.1:999")}
	t.key = request.NewKey(t.now, [10]byte{1})
	for i := range 3 {
		t.address[i] = netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), uint16(1000+i))
		t.claims[i] = claim.New(claim.Options{
			Service: "verify", Self: t.address[i], Incarnation: 1, Started: epoch, Key: rank.Key{K0: 7},
			Retention: time.Minute, Bytes: bytes, ClockSkew: skew,
		})
		t.views[i] = currantturn.NewView(currantturn.Version(i+1), []currantturn.Service{{
			Name:     "verify",
			Backends: []currantturn.BackendServer{{ID: currantturn.BackendID(rune('a' + i)), Agent: t.address[i], Weight: 1}},
		}})
	}
	return t
}

// know brings a process to a version.
func (t *trio) know(i, version int) {
	for v := range version {
		t.claims[i].Configure(epoch, t.views[v], &currantturn.Effects{})
	}
}

// handle delivers a message and returns what the process sent because of it.
func (t *trio) handle(i int, from int, m currantturn.Message) []currantturn.Message {
	var out currantturn.Effects
	t.claims[i].Handle(t.now, t.address[from], m, &out)
	var sent []currantturn.Message
	for _, s := range out.Sends {
		sent = append(sent, s.Message)
	}
	return sent
}

// begin lets a runner ask a process for the key.
func (t *trio) begin(i int, k request.Key, closing bool) []currantturn.Message {
	t.number++
	a := claim.Attempt{Runner: t.caller, Incarnation: 99, Number: t.number}
	return t.handle(i, 0, claim.Begin{Key: k, Attempt: a, Close: closing})
}

func (t *trio) inquired(version int, s claim.State) claim.Inquired {
	return claim.Inquired{Key: t.key, Version: currantturn.Version(version), State: s}
}

func states(sent []currantturn.Message) []claim.State {
	var out []claim.State
	for _, m := range sent {
		switch m := m.(type) {
		case claim.Verdict:
			out = append(out, m.State)
		case claim.Inquired:
			out = append(out, m.State)
		}
	}
	return out
}

var _ = Describe("owner", func() {
	It("grants nothing after a newer owner has asked, whatever arrives late", func() {
		t := newTrio(record.DefaultBytes)
		t.know(1, 2)
		sent := t.begin(1, t.key, false)
		Expect(sent).To(ContainElement(claim.Inquire{Key: t.key, Version: 2}))
		Expect(states(sent)).To(ConsistOf(claim.Asking))
		Expect(states(t.handle(1, 2, claim.Inquire{Key: t.key, Version: 3}))).To(ConsistOf(claim.NotOwner, claim.Absent))
		Expect(t.handle(1, 0, t.inquired(2, claim.Absent))).To(BeEmpty())
		Expect(states(t.begin(1, t.key, false))).To(ConsistOf(claim.NotOwner))
		Expect(states(t.handle(1, 2, claim.Inquire{Key: t.key, Version: 3}))).To(ConsistOf(claim.Absent), "a repeated question")
	})

	It("tells an asker that is behind nothing that it could grant on", func() {
		t := newTrio(record.DefaultBytes)
		t.know(0, 1)
		Expect(states(t.handle(0, 2, claim.Inquire{Key: t.key, Version: 3}))).To(ConsistOf(claim.Absent))
		Expect(states(t.handle(0, 1, claim.Inquire{Key: t.key, Version: 2}))).To(ConsistOf(claim.Unknown))
	})

	It("hands a refusal for good on to the next owner", func() {
		t := newTrio(record.Shards * (record.EntryBytes + request.MaxInlineBytes))
		t.know(0, 1)
		t.know(1, 2)
		Expect(states(t.begin(0, request.NewKey(t.now, [10]byte{2}), false))).To(ConsistOf(claim.Granted))
		Expect(states(t.begin(0, t.key, false))).To(ConsistOf(claim.NotRun), "the store is full")
		t.begin(1, t.key, false)
		Expect(states(t.handle(0, 1, claim.Inquire{Key: t.key, Version: 2}))).To(ConsistOf(claim.Refused))
		Expect(states(t.handle(1, 0, t.inquired(2, claim.Refused)))).To(ConsistOf(claim.NotRun))
	})

	It("keeps a refusal through a fence", func() {
		t := newTrio(record.DefaultBytes)
		t.know(1, 2)
		t.claims[1].Stop()
		sent := t.begin(1, t.key, false)
		Expect(sent).To(ContainElement(claim.Inquire{Key: t.key, Version: 2}))
		Expect(states(sent)).To(ConsistOf(claim.Asking))
		ask := claim.Inquire{Key: t.key, Version: 3}
		Expect(states(t.handle(1, 2, ask))).To(ConsistOf(claim.NotOwner, claim.Refused))
		Expect(states(t.handle(1, 2, ask))).To(ConsistOf(claim.Refused), "a repeated question")
	})

	It("lets an attempt that closes the key never run it", func() {
		t := newTrio(record.DefaultBytes)
		t.know(0, 1)
		Expect(states(t.begin(0, t.key, true))).To(ConsistOf(claim.NotRun))
		Expect(states(t.begin(0, t.key, false))).To(ConsistOf(claim.NotRun))
	})

	It("ends a grant only on the word of the attempt that holds it", func() {
		t := newTrio(record.DefaultBytes)
		t.know(0, 1)
		Expect(states(t.begin(0, t.key, false))).To(ConsistOf(claim.Granted))
		other := claim.Attempt{Runner: t.caller, Incarnation: 99, Number: 77}
		t.handle(0, 0, claim.Report{Key: t.key, Attempt: other, State: claim.NotRun})
		Expect(states(t.begin(0, t.key, false))).To(ConsistOf(claim.Pending))
	})

	DescribeTable("grants no key that an owner it does not know may have granted",
		func(before ...int) {
			t := newTrio(record.DefaultBytes)
			for _, v := range before {
				t.claims[2].Configure(epoch, t.views[v], &currantturn.Effects{})
			}
			t.claims[2].Configure(t.now, t.views[2], &currantturn.Effects{})
			Expect(states(t.begin(2, t.key, false))).To(ConsistOf(claim.Unknown))
			t.now = t.now.Add(2*skew + time.Millisecond)
			t.key = request.NewKey(t.now, [10]byte{1})
			Expect(states(t.begin(2, t.key, false))).To(Or(ConsistOf(claim.Granted), ConsistOf(claim.Asking)))
		},
		Entry("because its first version names it the owner"),
		Entry("because a version was left out", 0),
	)

	It("still asks the owners that it knows after a version was left out", func() {
		t := newTrio(record.DefaultBytes)
		t.claims[2].Configure(epoch, t.views[0], &currantturn.Effects{})
		t.claims[2].Configure(epoch, t.views[2], &currantturn.Effects{})
		Expect(t.begin(2, t.key, false)).To(ContainElement(claim.Inquire{Key: t.key, Version: 3}))
	})

	It("does not grant a key that it was asking about when a version was left out", func() {
		t := newTrio(record.DefaultBytes)
		t.know(1, 2)
		Expect(states(t.begin(1, t.key, false))).To(ConsistOf(claim.Asking))
		again := currantturn.NewView(9, t.views[1].Services)
		t.claims[1].Configure(t.now, again, &currantturn.Effects{})
		Expect(states(t.handle(1, 0, t.inquired(2, claim.Absent)))).NotTo(ContainElement(claim.Granted))
		t.begin(1, t.key, false)
		Expect(states(t.handle(1, 0, t.inquired(9, claim.Absent)))).To(ContainElement(claim.Unknown))
	})

	It("asks nothing of a process that is known to be stopped, though its last words still arrive", func() {
		t := newTrio(record.DefaultBytes)
		t.know(1, 1)
		t.claims[1].Suspect(t.address[0], t.now.Add(time.Second))
		t.handle(1, 0, claim.ReportAck{Key: t.key})
		var got []claim.State
		var out currantturn.Effects
		t.claims[1].Begin(t.now, t.key, request.Digest{}, t.now.Add(time.Minute), false,
			func(v claim.Verdict) { got = append(got, v.State) }, &out)
		Expect(got).To(ConsistOf(claim.Silent))
		Expect(out.Sends).To(BeEmpty())
	})

	It("refuses at once a key that only a stopped earlier owner could settle, and grants it once that one is back", func() {
		t := newTrio(record.DefaultBytes)
		t.know(1, 2)
		t.claims[1].Suspect(t.address[0], t.now.Add(time.Second))
		sent := t.begin(1, t.key, false)
		Expect(states(sent)).To(ConsistOf(claim.Silent))
		Expect(sent).To(HaveLen(1), "the stopped owner must not be asked")
		t.now = t.now.Add(time.Second)
		Expect(states(t.begin(1, t.key, false))).To(ConsistOf(claim.Asking))
		Expect(states(t.handle(1, 0, t.inquired(2, claim.Absent)))).To(ConsistOf(claim.Granted))
	})

	It("refuses at the next try an attempt that waits for an owner that has stopped since", func() {
		t := newTrio(record.DefaultBytes)
		t.know(1, 2)
		begin := claim.Begin{Key: t.key, Attempt: claim.Attempt{Runner: t.caller, Incarnation: 99, Number: 1}}
		Expect(states(t.handle(1, 0, begin))).To(ConsistOf(claim.Asking))
		t.claims[1].Suspect(t.address[0], t.now.Add(time.Second))
		Expect(states(t.handle(1, 0, begin))).To(ConsistOf(claim.Silent))
		Expect(states(t.handle(1, 0, t.inquired(2, claim.Absent)))).NotTo(ContainElement(claim.Granted),
			"the attempt has been refused")
	})

	It("asks a process that has ended for good nothing more", func() {
		t := newTrio(record.DefaultBytes)
		t.know(1, 2)
		t.claims[1].Gone(t.address[0])
		Expect(states(t.begin(1, t.key, false))).To(ConsistOf(claim.Granted))
	})
})

var _ = Describe("messages", func() {
	It("fit a datagram with the largest answer that a record keeps", func() {
		far := netip.MustParseAddrPort("[2001:db8:aaaa:bbbb:cccc:dddd:eeee:ffff]:65535")
		id := claim.Attempt{Runner: far, Incarnation: 1 << 63, Number: 1 << 63}
		answer := &request.Answer{
			Status: 200, Length: 1 << 40, Kept: true, Body: make([]byte, request.MaxInlineBytes),
			Header: [][2]string{{"Content-Type", strings.Repeat("x", 120)}, {"Location", strings.Repeat("y", 116)}},
		}
		for _, m := range []currantturn.Message{
			claim.Verdict{State: claim.Unknown, Attempt: id, Version: 1 << 63, Answer: answer},
			claim.Report{State: claim.Unknown, Attempt: id, Answer: answer},
			claim.Inquired{State: claim.Unknown, Version: 1 << 63, Answer: answer},
		} {
			p, err := message.Encode(m)
			Expect(err).NotTo(HaveOccurred())
			Expect(message.Decode(p)).To(Equal(m))
		}
	})
})

var _ = Describe("runner", func() {
	It("asks a silent owner nothing new for a while", func() {
		t := newTrio(record.DefaultBytes)
		t.know(1, 1) // process 0 owns the key and never answers
		var told []claim.State
		note := func(v claim.Verdict) { told = append(told, v.State) }
		var out currantturn.Effects
		try := func() {
			t.claims[1].Begin(t.now, t.key, request.Digest{}, t.now.Add(time.Minute), false, note, &out)
		}
		try()
		for range 50 {
			t.now = t.now.Add(currantturn.TickEvery)
			t.claims[1].Tick(t.now, &out)
		}
		Expect(told).To(Equal([]claim.State{claim.Unknown}))
		sent := len(out.Sends)
		Expect(sent).To(BeNumerically(">", 2))
		try()
		Expect(told).To(Equal([]claim.State{claim.Unknown, claim.Silent}))
		Expect(out.Sends).To(HaveLen(sent), "an attempt that is told so must have asked nobody")
		t.handle(1, 0, claim.ReportAck{})
		try()
		Expect(out.Sends).To(HaveLen(sent + 1))
	})

	It("does not call an owner silent that waits for an earlier one", func() {
		t := newTrio(record.DefaultBytes)
		t.know(1, 1)
		var told []claim.State
		note := func(v claim.Verdict) { told = append(told, v.State) }
		var out currantturn.Effects
		t.claims[1].Begin(t.now, t.key, request.Digest{}, t.now.Add(time.Minute), false, note, &out)
		begin := out.Sends[0].Message.(claim.Begin)
		for len(told) == 0 {
			t.now = t.now.Add(currantturn.TickEvery)
			t.handle(1, 0, claim.Verdict{Key: t.key, Attempt: begin.Attempt, State: claim.Asking})
			t.claims[1].Tick(t.now, &out)
		}
		Expect(told).To(Equal([]claim.State{claim.Unknown}))
		sent := len(out.Sends)
		t.claims[1].Begin(t.now, t.key, request.Digest{}, t.now.Add(time.Minute), false, note, &out)
		Expect(out.Sends).To(HaveLen(sent + 1))
	})
})
