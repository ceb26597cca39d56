package claim_test

import (
	"net/netip"
	"time"

	"github.com/currantturn/currantturn"
	"github.com/currantturn/currantturn/internal/coordination/claim"
	"github.com/currantturn/currantturn/internal/coordination/rank"
	"github.com/currantturn/currantturn/internal/protocol/request"
)

// naive keeps its claims in a plain map: it sends no inquiries to earlier owners,
// does not account for records lost in a restart, and starts granted requests
// without checking the deadline.
type naive struct {
	opts     claim.Options
	table    *rank.Table
	records  map[request.Key]*claim.Verdict
	attempts map[uint64]*naiveAttempt
	order    []uint64
	local    bool // the process that received the request is the owner, as with a binding token
	noClaims bool // every attempt is granted; only the caller could prevent repeated runs
}

type naiveAttempt struct {
	begin     claim.Begin
	deadline  time.Time
	onVerdict func(claim.Verdict)
	granted   bool
}

func newNaive(o claim.Options) module {
	return &naive{opts: o, records: map[request.Key]*claim.Verdict{}, attempts: map[uint64]*naiveAttempt{}}
}

func newLocal(o claim.Options) module {
	n := newNaive(o).(*naive)
	n.local = true
	return n
}

func newNoClaims(o claim.Options) module {
	n := newNaive(o).(*naive)
	n.noClaims = true
	return n
}

func (n *naive) Configure(_ time.Time, v *currantturn.View, _ *currantturn.Effects) {
	n.table = rank.NewTable(v.Service(n.opts.Service))
}

func (n *naive) Begin(
	_ time.Time, k request.Key, d request.Digest, deadline time.Time, closing bool,
	onVerdict func(claim.Verdict), out *currantturn.Effects,
) uint64 {
	id := uint64(len(n.order) + 1)
	a := &naiveAttempt{deadline: deadline, onVerdict: onVerdict, begin: claim.Begin{
		Key: k, Digest: d, Close: closing,
		Attempt: claim.Attempt{Runner: n.opts.Self, Incarnation: n.opts.Incarnation, Number: id},
	}}
	n.attempts[id] = a
	n.order = append(n.order, id)
	if n.noClaims {
		a.granted = true
		onVerdict(claim.Verdict{Key: k, Attempt: a.begin.Attempt, State: claim.Granted})
		return id
	}
	n.send(a, out)
	return id
}

func (n *naive) send(a *naiveAttempt, out *currantturn.Effects) {
	out.Send(n.owner(a), a.begin)
}

func (n *naive) owner(a *naiveAttempt) netip.AddrPort {
	if n.local {
		return n.opts.Self
	}
	return n.table.Owner(n.opts.Key.HashBytes(a.begin.Key[:])).Agent
}

func (n *naive) Handle(_ time.Time, from netip.AddrPort, m currantturn.Message, out *currantturn.Effects) {
	switch m := m.(type) {
	case claim.Begin:
		n.begin(from, m, out)
	case claim.Report:
		n.records[m.Key] = &claim.Verdict{Key: m.Key, Attempt: m.Attempt, State: m.State, Answer: m.Answer}
	case claim.Verdict:
		a := n.attempts[m.Attempt.Number]
		if a == nil || m.Attempt.Incarnation != n.opts.Incarnation || a.granted || m.State == claim.Pending {
			return
		}
		a.granted = m.State == claim.Granted
		if !a.granted {
			delete(n.attempts, m.Attempt.Number)
		}
		a.onVerdict(m)
	}
}

func (n *naive) begin(from netip.AddrPort, m claim.Begin, out *currantturn.Effects) {
	r := n.records[m.Key]
	if r == nil {
		r = &claim.Verdict{Key: m.Key, Attempt: m.Attempt, State: claim.Granted}
		if m.Close {
			r.State = claim.NotRun
		}
		n.records[m.Key] = r
	}
	v := *r
	if v.State == claim.Granted && v.Attempt != m.Attempt {
		v.State = claim.Pending
	}
	v.Attempt = m.Attempt
	out.Send(from, v)
}

func (n *naive) Start(_ time.Time, id uint64, _ *currantturn.Effects) bool {
	return n.attempts[id] != nil
}

func (n *naive) Done(_ time.Time, id uint64, s claim.State, answer *request.Answer, out *currantturn.Effects) {
	a := n.attempts[id]
	delete(n.attempts, id)
	out.Send(n.owner(a), claim.Report{Key: a.begin.Key, Attempt: a.begin.Attempt, State: s, Answer: answer})
}

func (n *naive) Cancel(_ time.Time, id uint64, _ *currantturn.Effects) {
	if a := n.attempts[id]; a != nil && !a.granted {
		delete(n.attempts, id)
	}
}

func (n *naive) Tick(now time.Time, out *currantturn.Effects) {
	for _, id := range n.order {
		a := n.attempts[id]
		switch {
		case a == nil || a.granted:
		case now.Before(a.deadline):
			n.send(a, out)
		default:
			delete(n.attempts, id)
			a.onVerdict(claim.Verdict{Key: a.begin.Key, Attempt: a.begin.Attempt, State: claim.NotRun})
		}
	}
}
