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

// successiveOwners are three processes that own all keys one after the other, in
// versions 1, 2 and 3. The test delivers their messages explicitly.
type successiveOwners struct {
	now     time.Time
	claims  [3]*claim.Claims
	address [3]netip.AddrPort
	runner  netip.AddrPort // link address of a runner that is not an owner
	views   [3]*currantturn.View
	key     request.Key
	number  uint64
}

func newSuccessiveOwners(bytes int) *successiveOwners {
	t := &successiveOwners{now: epoch.Add(time.Minute), runner: netip.MustParseAddrPort("127.0.0.1:999")}
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

// configureUpTo applies the versions up to the given one to process i.
func (t *successiveOwners) configureUpTo(i, version int) {
	for v := range version {
		t.claims[i].Configure(epoch, t.views[v], &currantturn.Effects{})
	}
}

// handle delivers a message to process i and returns the messages it sends.
func (t *successiveOwners) handle(i int, from int, m currantturn.Message) []currantturn.Message {
	var out currantturn.Effects
	t.claims[i].Handle(t.now, t.address[from], m, &out)
	var sent []currantturn.Message
	for _, s := range out.Sends {
		sent = append(sent, s.Message)
	}
	return sent
}

// begin delivers a Begin of a new attempt to process i.
func (t *successiveOwners) begin(i int, k request.Key, closing bool) []currantturn.Message {
	t.number++
	a := claim.Attempt{Runner: t.runner, Incarnation: 99, Number: t.number}
	return t.handle(i, 0, claim.Begin{Key: k, Attempt: a, Close: closing})
}

func (t *successiveOwners) inquired(version int, s claim.State) claim.Inquired {
	return claim.Inquired{Key: t.key, Version: currantturn.Version(version), State: s}
}

// states returns the states of the verdicts and replies among the messages.
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
	It("grants nothing after a newer owner has inquired, even if delayed replies arrive", func() {
		t := newSuccessiveOwners(record.DefaultBytes)
		t.configureUpTo(1, 2)
		sent := t.begin(1, t.key, false)
		Expect(sent).To(ContainElement(claim.Inquire{Key: t.key, Version: 2}))
		Expect(states(sent)).To(ConsistOf(claim.Inquiring))
		Expect(states(t.handle(1, 2, claim.Inquire{Key: t.key, Version: 3}))).To(ConsistOf(claim.NotOwner, claim.Absent))
		Expect(t.handle(1, 0, t.inquired(2, claim.Absent))).To(BeEmpty())
		Expect(states(t.begin(1, t.key, false))).To(ConsistOf(claim.NotOwner))
		Expect(states(t.handle(1, 2, claim.Inquire{Key: t.key, Version: 3}))).To(ConsistOf(claim.Absent), "a repeated inquiry")
	})

	It("replies to an inquirer with an outdated version that the outcome is unknown", func() {
		t := newSuccessiveOwners(record.DefaultBytes)
		t.configureUpTo(0, 1)
		Expect(states(t.handle(0, 2, claim.Inquire{Key: t.key, Version: 3}))).To(ConsistOf(claim.Absent))
		Expect(states(t.handle(0, 1, claim.Inquire{Key: t.key, Version: 2}))).To(ConsistOf(claim.Unknown))
	})

	It("passes a permanent refusal on to the next owner", func() {
		t := newSuccessiveOwners(record.Shards * (record.EntryBytes + request.MaxInlineBytes))
		t.configureUpTo(0, 1)
		t.configureUpTo(1, 2)
		Expect(states(t.begin(0, request.NewKey(t.now, [10]byte{2}), false))).To(ConsistOf(claim.Granted))
		Expect(states(t.begin(0, t.key, false))).To(ConsistOf(claim.NotRun), "the store is full")
		t.begin(1, t.key, false)
		Expect(states(t.handle(0, 1, claim.Inquire{Key: t.key, Version: 2}))).To(ConsistOf(claim.Refused))
		Expect(states(t.handle(1, 0, t.inquired(2, claim.Refused)))).To(ConsistOf(claim.NotRun))
	})

	It("keeps a refusal when the key is fenced", func() {
		t := newSuccessiveOwners(record.DefaultBytes)
		t.configureUpTo(1, 2)
		t.claims[1].Stop()
		sent := t.begin(1, t.key, false)
		Expect(sent).To(ContainElement(claim.Inquire{Key: t.key, Version: 2}))
		Expect(states(sent)).To(ConsistOf(claim.Inquiring))
		inquire := claim.Inquire{Key: t.key, Version: 3}
		Expect(states(t.handle(1, 2, inquire))).To(ConsistOf(claim.NotOwner, claim.Refused))
		Expect(states(t.handle(1, 2, inquire))).To(ConsistOf(claim.Refused), "a repeated inquiry")
	})

	It("never grants a key after an attempt has closed it", func() {
		t := newSuccessiveOwners(record.DefaultBytes)
		t.configureUpTo(0, 1)
		Expect(states(t.begin(0, t.key, true))).To(ConsistOf(claim.NotRun))
		Expect(states(t.begin(0, t.key, false))).To(ConsistOf(claim.NotRun))
	})

	It("ends a grant only on a report of the attempt that holds it", func() {
		t := newSuccessiveOwners(record.DefaultBytes)
		t.configureUpTo(0, 1)
		Expect(states(t.begin(0, t.key, false))).To(ConsistOf(claim.Granted))
		other := claim.Attempt{Runner: t.runner, Incarnation: 99, Number: 77}
		t.handle(0, 0, claim.Report{Key: t.key, Attempt: other, State: claim.NotRun})
		Expect(states(t.begin(0, t.key, false))).To(ConsistOf(claim.Pending))
	})

	DescribeTable("grants no key that an owner missing from its history may have granted",
		func(earlierVersions ...int) {
			t := newSuccessiveOwners(record.DefaultBytes)
			for _, v := range earlierVersions {
				t.claims[2].Configure(epoch, t.views[v], &currantturn.Effects{})
			}
			t.claims[2].Configure(t.now, t.views[2], &currantturn.Effects{})
			Expect(states(t.begin(2, t.key, false))).To(ConsistOf(claim.Unknown))
			t.now = t.now.Add(2*skew + time.Millisecond)
			t.key = request.NewKey(t.now, [10]byte{1})
			Expect(states(t.begin(2, t.key, false))).To(Or(ConsistOf(claim.Granted), ConsistOf(claim.Inquiring)))
		},
		Entry("because it is the owner in its first version"),
		Entry("because a version was skipped", 0),
	)

	It("still inquires the owners in its history after a version was skipped", func() {
		t := newSuccessiveOwners(record.DefaultBytes)
		t.claims[2].Configure(epoch, t.views[0], &currantturn.Effects{})
		t.claims[2].Configure(epoch, t.views[2], &currantturn.Effects{})
		Expect(t.begin(2, t.key, false)).To(ContainElement(claim.Inquire{Key: t.key, Version: 3}))
	})

	It("does not grant a key whose inquiries were in progress when a version was skipped", func() {
		t := newSuccessiveOwners(record.DefaultBytes)
		t.configureUpTo(1, 2)
		Expect(states(t.begin(1, t.key, false))).To(ConsistOf(claim.Inquiring))
		newer := currantturn.NewView(9, t.views[1].Services)
		t.claims[1].Configure(t.now, newer, &currantturn.Effects{})
		Expect(states(t.handle(1, 0, t.inquired(2, claim.Absent)))).NotTo(ContainElement(claim.Granted))
		t.begin(1, t.key, false)
		Expect(states(t.handle(1, 0, t.inquired(9, claim.Absent)))).To(ContainElement(claim.Unknown))
	})

	It("sends nothing to a process reported as stopped, even if a message from it arrives later", func() {
		t := newSuccessiveOwners(record.DefaultBytes)
		t.configureUpTo(1, 1)
		t.claims[1].Suspect(t.address[0], t.now.Add(time.Second))
		t.handle(1, 0, claim.ReportAck{Key: t.key})
		var verdicts []claim.State
		var out currantturn.Effects
		t.claims[1].Begin(t.now, t.key, request.Digest{}, t.now.Add(time.Minute), false,
			func(v claim.Verdict) { verdicts = append(verdicts, v.State) }, &out)
		Expect(verdicts).To(ConsistOf(claim.OwnerSilent))
		Expect(out.Sends).To(BeEmpty())
	})

	It("immediately refuses a key that needs the reply of a stopped earlier owner, and grants it once that owner replies", func() {
		t := newSuccessiveOwners(record.DefaultBytes)
		t.configureUpTo(1, 2)
		t.claims[1].Suspect(t.address[0], t.now.Add(time.Second))
		sent := t.begin(1, t.key, false)
		Expect(states(sent)).To(ConsistOf(claim.OwnerSilent))
		Expect(sent).To(HaveLen(1), "the stopped owner must not be inquired")
		t.now = t.now.Add(time.Second)
		Expect(states(t.begin(1, t.key, false))).To(ConsistOf(claim.Inquiring))
		Expect(states(t.handle(1, 0, t.inquired(2, claim.Absent)))).To(ConsistOf(claim.Granted))
	})

	It("refuses a waiting attempt at its next Begin if an earlier owner has stopped since", func() {
		t := newSuccessiveOwners(record.DefaultBytes)
		t.configureUpTo(1, 2)
		begin := claim.Begin{Key: t.key, Attempt: claim.Attempt{Runner: t.runner, Incarnation: 99, Number: 1}}
		Expect(states(t.handle(1, 0, begin))).To(ConsistOf(claim.Inquiring))
		t.claims[1].Suspect(t.address[0], t.now.Add(time.Second))
		Expect(states(t.handle(1, 0, begin))).To(ConsistOf(claim.OwnerSilent))
		Expect(states(t.handle(1, 0, t.inquired(2, claim.Absent)))).NotTo(ContainElement(claim.Granted),
			"a refused attempt must not be granted")
	})

	It("does not inquire a process that has ended permanently", func() {
		t := newSuccessiveOwners(record.DefaultBytes)
		t.configureUpTo(1, 2)
		t.claims[1].MarkEnded(t.address[0])
		Expect(states(t.begin(1, t.key, false))).To(ConsistOf(claim.Granted))
	})
})

var _ = Describe("messages", func() {
	It("fit into a datagram with the largest answer that a record stores", func() {
		longest := netip.MustParseAddrPort("[2001:db8:aaaa:bbbb:cccc:dddd:eeee:ffff]:65535")
		id := claim.Attempt{Runner: longest, Incarnation: 1 << 63, Number: 1 << 63}
		answer := &request.Answer{
			Status: 200, Length: 1 << 40, BodyKept: true, Body: make([]byte, request.MaxInlineBytes),
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
	It("sends no new attempts to an owner that timed out until a message from it arrives", func() {
		t := newSuccessiveOwners(record.DefaultBytes)
		t.configureUpTo(1, 1) // process 0 owns the key and never replies
		var verdicts []claim.State
		onVerdict := func(v claim.Verdict) { verdicts = append(verdicts, v.State) }
		var out currantturn.Effects
		begin := func() {
			t.claims[1].Begin(t.now, t.key, request.Digest{}, t.now.Add(time.Minute), false, onVerdict, &out)
		}
		begin()
		for range 50 {
			t.now = t.now.Add(currantturn.TickInterval)
			t.claims[1].Tick(t.now, &out)
		}
		Expect(verdicts).To(Equal([]claim.State{claim.Unknown}))
		sent := len(out.Sends)
		Expect(sent).To(BeNumerically(">", 2))
		begin()
		Expect(verdicts).To(Equal([]claim.State{claim.Unknown, claim.OwnerSilent}))
		Expect(out.Sends).To(HaveLen(sent), "a refused attempt must not send a Begin")
		t.handle(1, 0, claim.ReportAck{})
		begin()
		Expect(out.Sends).To(HaveLen(sent + 1))
	})

	It("does not suspect an owner that waits for earlier owners", func() {
		t := newSuccessiveOwners(record.DefaultBytes)
		t.configureUpTo(1, 1)
		var verdicts []claim.State
		onVerdict := func(v claim.Verdict) { verdicts = append(verdicts, v.State) }
		var out currantturn.Effects
		t.claims[1].Begin(t.now, t.key, request.Digest{}, t.now.Add(time.Minute), false, onVerdict, &out)
		begin := out.Sends[0].Message.(claim.Begin)
		for len(verdicts) == 0 {
			t.now = t.now.Add(currantturn.TickInterval)
			t.handle(1, 0, claim.Verdict{Key: t.key, Attempt: begin.Attempt, State: claim.Inquiring})
			t.claims[1].Tick(t.now, &out)
		}
		Expect(verdicts).To(Equal([]claim.State{claim.Unknown}))
		sent := len(out.Sends)
		t.claims[1].Begin(t.now, t.key, request.Digest{}, t.now.Add(time.Minute), false, onVerdict, &out)
		Expect(out.Sends).To(HaveLen(sent + 1))
	})
})
