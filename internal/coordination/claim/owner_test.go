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
	o := &successiveOwners{now: epoch.Add(time.Minute), runner: netip.MustParseAddrPort("127.0.0.1:999")}
	o.key = request.NewKey(o.now, [10]byte{1})
	for i := range 3 {
		o.address[i] = netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), uint16(1000+i))
		o.claims[i] = claim.New(claim.Options{
			Service: "verify", Self: o.address[i], Incarnation: 1, Started: epoch, Key: rank.Key{K0: 7},
			Retention: time.Minute, Bytes: bytes, ClockSkew: skew,
		})
		o.views[i] = currantturn.NewView(currantturn.Version(i+1), []currantturn.Service{{
			Name:     "verify",
			Backends: []currantturn.BackendServer{{ID: currantturn.BackendID(rune('a' + i)), Agent: o.address[i], Weight: 1}},
		}})
	}
	return o
}

// configureUpTo applies the versions up to the given one to process i.
func (o *successiveOwners) configureUpTo(i, version int) {
	for v := range version {
		o.claims[i].Configure(epoch, o.views[v], &currantturn.Effects{})
	}
}

// handle delivers a message to process i and returns the messages it sends.
func (o *successiveOwners) handle(i int, from int, m currantturn.Message) []currantturn.Message {
	var out currantturn.Effects
	o.claims[i].Handle(o.now, o.address[from], m, &out)
	var sent []currantturn.Message
	for _, s := range out.Sends {
		sent = append(sent, s.Message)
	}
	return sent
}

// begin delivers a Begin of a new attempt to process i.
func (o *successiveOwners) begin(i int, k request.Key, closing bool) []currantturn.Message {
	o.number++
	a := claim.Attempt{Runner: o.runner, Incarnation: 99, Number: o.number}
	return o.handle(i, 0, claim.Begin{Key: k, Attempt: a, Close: closing})
}

func (o *successiveOwners) inquired(version int, s claim.State) claim.Inquired {
	return claim.Inquired{Key: o.key, Version: currantturn.Version(version), State: s}
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
		o := newSuccessiveOwners(record.DefaultBytes)
		o.configureUpTo(1, 2)
		sent := o.begin(1, o.key, false)
		Expect(sent).To(ContainElement(claim.Inquire{Key: o.key, Version: 2}))
		Expect(states(sent)).To(ConsistOf(claim.Inquiring))
		Expect(states(o.handle(1, 2, claim.Inquire{Key: o.key, Version: 3}))).To(ConsistOf(claim.NotOwner, claim.Absent))
		Expect(o.handle(1, 0, o.inquired(2, claim.Absent))).To(BeEmpty())
		Expect(states(o.begin(1, o.key, false))).To(ConsistOf(claim.NotOwner))
		Expect(states(o.handle(1, 2, claim.Inquire{Key: o.key, Version: 3}))).To(ConsistOf(claim.Absent), "a repeated inquiry")
	})

	It("replies Unknown to an inquirer with an outdated version, so that it does not grant the key", func() {
		o := newSuccessiveOwners(record.DefaultBytes)
		o.configureUpTo(0, 1)
		Expect(states(o.handle(0, 2, claim.Inquire{Key: o.key, Version: 3}))).To(ConsistOf(claim.Absent))
		Expect(states(o.handle(0, 1, claim.Inquire{Key: o.key, Version: 2}))).To(ConsistOf(claim.Unknown))
	})

	It("passes a permanent refusal on to the next owner", func() {
		o := newSuccessiveOwners(record.Shards * (record.EntryBytes + request.MaxInlineBytes))
		o.configureUpTo(0, 1)
		o.configureUpTo(1, 2)
		Expect(states(o.begin(0, request.NewKey(o.now, [10]byte{2}), false))).To(ConsistOf(claim.Granted))
		Expect(states(o.begin(0, o.key, false))).To(ConsistOf(claim.NotRun), "the store is full")
		o.begin(1, o.key, false)
		Expect(states(o.handle(0, 1, claim.Inquire{Key: o.key, Version: 2}))).To(ConsistOf(claim.Refused))
		Expect(states(o.handle(1, 0, o.inquired(2, claim.Refused)))).To(ConsistOf(claim.NotRun))
	})

	It("keeps a refusal when the key is fenced", func() {
		o := newSuccessiveOwners(record.DefaultBytes)
		o.configureUpTo(1, 2)
		o.claims[1].Stop()
		sent := o.begin(1, o.key, false)
		Expect(sent).To(ContainElement(claim.Inquire{Key: o.key, Version: 2}))
		Expect(states(sent)).To(ConsistOf(claim.Inquiring))
		inquire := claim.Inquire{Key: o.key, Version: 3}
		Expect(states(o.handle(1, 2, inquire))).To(ConsistOf(claim.NotOwner, claim.Refused))
		Expect(states(o.handle(1, 2, inquire))).To(ConsistOf(claim.Refused), "a repeated inquiry")
	})

	It("never grants a key after an attempt has closed it", func() {
		o := newSuccessiveOwners(record.DefaultBytes)
		o.configureUpTo(0, 1)
		Expect(states(o.begin(0, o.key, true))).To(ConsistOf(claim.NotRun))
		Expect(states(o.begin(0, o.key, false))).To(ConsistOf(claim.NotRun))
	})

	It("ends a grant only on a report of the attempt that holds it", func() {
		o := newSuccessiveOwners(record.DefaultBytes)
		o.configureUpTo(0, 1)
		Expect(states(o.begin(0, o.key, false))).To(ConsistOf(claim.Granted))
		other := claim.Attempt{Runner: o.runner, Incarnation: 99, Number: 77}
		o.handle(0, 0, claim.Report{Key: o.key, Attempt: other, State: claim.NotRun})
		Expect(states(o.begin(0, o.key, false))).To(ConsistOf(claim.Pending))
	})

	DescribeTable("grants no key that an owner missing from its history may have granted",
		func(earlierVersions ...int) {
			o := newSuccessiveOwners(record.DefaultBytes)
			for _, v := range earlierVersions {
				o.claims[2].Configure(epoch, o.views[v], &currantturn.Effects{})
			}
			o.claims[2].Configure(o.now, o.views[2], &currantturn.Effects{})
			Expect(states(o.begin(2, o.key, false))).To(ConsistOf(claim.Unknown))
			o.now = o.now.Add(2*skew + time.Millisecond)
			o.key = request.NewKey(o.now, [10]byte{1})
			Expect(states(o.begin(2, o.key, false))).To(Or(ConsistOf(claim.Granted), ConsistOf(claim.Inquiring)))
		},
		Entry("because it is the owner in its first version"),
		Entry("because a version was skipped", 0),
	)

	It("still inquires the owners in its history after a version was skipped", func() {
		o := newSuccessiveOwners(record.DefaultBytes)
		o.claims[2].Configure(epoch, o.views[0], &currantturn.Effects{})
		o.claims[2].Configure(epoch, o.views[2], &currantturn.Effects{})
		Expect(o.begin(2, o.key, false)).To(ContainElement(claim.Inquire{Key: o.key, Version: 3}))
	})

	It("does not grant a key whose inquiries were in progress when a version was skipped", func() {
		o := newSuccessiveOwners(record.DefaultBytes)
		o.configureUpTo(1, 2)
		Expect(states(o.begin(1, o.key, false))).To(ConsistOf(claim.Inquiring))
		newer := currantturn.NewView(9, o.views[1].Services)
		o.claims[1].Configure(o.now, newer, &currantturn.Effects{})
		Expect(states(o.handle(1, 0, o.inquired(2, claim.Absent)))).NotTo(ContainElement(claim.Granted))
		o.begin(1, o.key, false)
		Expect(states(o.handle(1, 0, o.inquired(9, claim.Absent)))).To(ContainElement(claim.Unknown))
	})

	It("sends nothing to a process reported as stopped, even if a message from it arrives later", func() {
		o := newSuccessiveOwners(record.DefaultBytes)
		o.configureUpTo(1, 1)
		o.claims[1].Suspect(o.address[0], o.now.Add(time.Second))
		o.handle(1, 0, claim.ReportAck{Key: o.key})
		var verdicts []claim.State
		var out currantturn.Effects
		o.claims[1].Begin(o.now, o.key, request.Digest{}, o.now.Add(time.Minute), false,
			func(v claim.Verdict) { verdicts = append(verdicts, v.State) }, &out)
		Expect(verdicts).To(ConsistOf(claim.OwnerSilent))
		Expect(out.Sends).To(BeEmpty())
	})

	It("immediately refuses a key that needs the reply of a stopped earlier owner, and grants it once that owner replies", func() {
		o := newSuccessiveOwners(record.DefaultBytes)
		o.configureUpTo(1, 2)
		o.claims[1].Suspect(o.address[0], o.now.Add(time.Second))
		sent := o.begin(1, o.key, false)
		Expect(states(sent)).To(ConsistOf(claim.OwnerSilent))
		Expect(sent).To(HaveLen(1), "the stopped owner must not be inquired")
		o.now = o.now.Add(time.Second)
		Expect(states(o.begin(1, o.key, false))).To(ConsistOf(claim.Inquiring))
		Expect(states(o.handle(1, 0, o.inquired(2, claim.Absent)))).To(ConsistOf(claim.Granted))
	})

	It("refuses a waiting attempt at its next Begin if an earlier owner has stopped since", func() {
		o := newSuccessiveOwners(record.DefaultBytes)
		o.configureUpTo(1, 2)
		begin := claim.Begin{Key: o.key, Attempt: claim.Attempt{Runner: o.runner, Incarnation: 99, Number: 1}}
		Expect(states(o.handle(1, 0, begin))).To(ConsistOf(claim.Inquiring))
		o.claims[1].Suspect(o.address[0], o.now.Add(time.Second))
		Expect(states(o.handle(1, 0, begin))).To(ConsistOf(claim.OwnerSilent))
		Expect(states(o.handle(1, 0, o.inquired(2, claim.Absent)))).NotTo(ContainElement(claim.Granted),
			"a refused attempt must not be granted")
	})

	It("does not inquire a process that has ended permanently", func() {
		o := newSuccessiveOwners(record.DefaultBytes)
		o.configureUpTo(1, 2)
		o.claims[1].MarkEnded(o.address[0])
		Expect(states(o.begin(1, o.key, false))).To(ConsistOf(claim.Granted))
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
		o := newSuccessiveOwners(record.DefaultBytes)
		o.configureUpTo(1, 1) // process 0 owns the key and never replies
		var verdicts []claim.State
		onVerdict := func(v claim.Verdict) { verdicts = append(verdicts, v.State) }
		var out currantturn.Effects
		begin := func() {
			o.claims[1].Begin(o.now, o.key, request.Digest{}, o.now.Add(time.Minute), false, onVerdict, &out)
		}
		begin()
		for range 50 {
			o.now = o.now.Add(currantturn.TickInterval)
			o.claims[1].Tick(o.now, &out)
		}
		Expect(verdicts).To(Equal([]claim.State{claim.Unknown}))
		sent := len(out.Sends)
		Expect(sent).To(BeNumerically(">", 2))
		begin()
		Expect(verdicts).To(Equal([]claim.State{claim.Unknown, claim.OwnerSilent}))
		Expect(out.Sends).To(HaveLen(sent), "a refused attempt must not send a Begin")
		o.handle(1, 0, claim.ReportAck{})
		begin()
		Expect(out.Sends).To(HaveLen(sent + 1))
	})

	It("does not suspect an owner that waits for earlier owners", func() {
		o := newSuccessiveOwners(record.DefaultBytes)
		o.configureUpTo(1, 1)
		var verdicts []claim.State
		onVerdict := func(v claim.Verdict) { verdicts = append(verdicts, v.State) }
		var out currantturn.Effects
		o.claims[1].Begin(o.now, o.key, request.Digest{}, o.now.Add(time.Minute), false, onVerdict, &out)
		begin := out.Sends[0].Message.(claim.Begin)
		for len(verdicts) == 0 {
			o.now = o.now.Add(currantturn.TickInterval)
			o.handle(1, 0, claim.Verdict{Key: o.key, Attempt: begin.Attempt, State: claim.Inquiring})
			o.claims[1].Tick(o.now, &out)
		}
		Expect(verdicts).To(Equal([]claim.State{claim.Unknown}))
		sent := len(out.Sends)
		o.claims[1].Begin(o.now, o.key, request.Digest{}, o.now.Add(time.Minute), false, onVerdict, &out)
		Expect(out.Sends).To(HaveLen(sent + 1))
	})
})
