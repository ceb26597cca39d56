package claim

import (
	"net/netip"
	"slices"
	"sync/atomic"
	"time"

	"github.com/currantturn/currantturn"
	"github.com/currantturn/currantturn/internal/event"
	"github.com/currantturn/currantturn/internal/protocol/request"
	"github.com/currantturn/currantturn/internal/state/record"
)

// phase is where a key's record stands at its owner.
type phase string

const (
	asking   phase = "asking"  // earlier owners have not all answered
	granted  phase = "granted" // to attempt
	answered phase = "answered"
	closed   phase = "closed" // tombstone: never ran and never will
	lost     phase = "lost"   // the runner ended without a report
	moved    phase = "moved"  // a newer owner has asked, under version
)

// claimRecord is what an owner keeps of one key.
type claimRecord struct {
	phase    phase
	digest   request.Digest
	version  currantturn.Version
	attempt  Attempt
	answer   *request.Answer
	waiters  []waiter
	question []question
	refused  bool // an earlier owner has refused the key for good
	probes   int
}

type waiter struct {
	attempt Attempt
	closing bool
}

// question is an earlier owner and its last answer, if any.
type question struct {
	to    netip.AddrPort
	state State
}

// settled says whether the earlier owner never granted the key and never will.
func (q *question) settled() bool {
	return q.state == Absent || q.state == Refused
}

type shard = record.Shard[*claimRecord]

// owner decides on the keys that the configuration in force gives to this process.
type owner struct {
	opts    *Options
	history *atomic.Pointer[history]
	silent  *silence
	records *record.Store[*claimRecord]
	stopped atomic.Bool
	counts  ownerCounts
}

func newOwner(opts *Options, h *atomic.Pointer[history], silent *silence) *owner {
	return &owner{opts: opts, history: h, silent: silent, records: record.New[*claimRecord](opts.Bytes, opts.Retention)}
}

func (o *owner) hash(k request.Key) uint64 {
	return o.opts.Key.Bytes(k[:])
}

// begin answers an attempt.
func (o *owner) begin(now time.Time, from netip.AddrPort, m Begin, out *currantturn.Effects) {
	h := o.history.Load()
	hash := o.hash(m.Key)
	o.records.Do(now, m.Key, func(s *shard) {
		if h.owner(hash) != o.opts.Self {
			o.tell(from, m.Key, m.Attempt, NotOwner, nil, out)
			return
		}
		r, ok := s.Get(m.Key)
		if !ok {
			r = o.open(now, s, h, m, out)
		}
		if r == nil {
			return
		}
		if state := o.reopen(r, h, hash, m); state != "" {
			o.tell(from, m.Key, m.Attempt, state, nil, out)
			return
		}
		o.attend(now, s, r, m, out)
	})
}

// open makes the record of a new key, or tells why there is none.
func (o *owner) open(now time.Time, s *shard, h *history, m Begin, out *currantturn.Effects) *claimRecord {
	prior := h.prior(o.hash(m.Key), o.opts.Self)
	if o.stopped.Load() {
		s.Refuse(m.Key)
	}
	state := o.refusal(now, s, m.Key, len(prior) > 0)
	if state == "" && slices.ContainsFunc(prior, o.absent(now)) {
		state = Silent
	}
	if state == "" {
		r := &claimRecord{phase: asking, digest: m.Digest, version: h.version, question: ask(prior)}
		r.refused = s.Refused(m.Key)
		if s.Put(m.Key, r, record.EntryBytes+request.MaxInlineBytes) == nil {
			return r
		}
		state = o.full(s, m.Key, len(prior) > 0, out)
	}
	o.tell(m.Attempt.Runner, m.Key, m.Attempt, state, nil, out)
	return nil
}

// absent says which earlier owners are known not to answer. A key that waits
// for one of them is refused at once, for no answer would come.
func (o *owner) absent(now time.Time) func(netip.AddrPort) bool {
	return func(a netip.AddrPort) bool { return o.silent.suspected(a, now) }
}

func ask(prior []netip.AddrPort) []question {
	q := make([]question, len(prior))
	for i, a := range prior {
		q[i].to = a
	}
	return q
}

// refusal says why a key without a record gets none, or "".
func (o *owner) refusal(now time.Time, s *shard, k request.Key, asks bool) State {
	switch {
	case k.Issued().After(now.Add(o.opts.ClockSkew)):
		return Early
	case s.TooOld(now, k):
		return TooOld
	case o.beforeStart(k), o.beforeHistory(k):
		return Unknown
	case s.Refused(k) && !asks:
		return NotRun
	}
	return ""
}

// beforeStart says whether an earlier process at this address may have granted
// the key: that process took keys from one skew ahead of its clock, which may
// itself have been one skew ahead of this one's.
func (o *owner) beforeStart(k request.Key) bool {
	return !k.Issued().After(o.opts.Started.Add(2 * o.opts.ClockSkew))
}

// beforeHistory says whether an earlier owner that is not known here may have
// granted the key.
func (o *owner) beforeHistory(k request.Key) bool {
	return !k.Issued().After(o.history.Load().since.Add(2 * o.opts.ClockSkew))
}

// full refuses a key for good when no earlier owner can have granted it.
func (o *owner) full(s *shard, k request.Key, asks bool, out *currantturn.Effects) State {
	o.counts.full.Add(1)
	out.Event(event.RecordStoreFull, event.F("limit", o.opts.Bytes))
	if asks {
		return Unknown
	}
	s.Refuse(k)
	return NotRun
}

// reopen brings a record to the configuration in force; it returns the state
// that ends the attempt, or "".
func (o *owner) reopen(r *claimRecord, h *history, hash uint64, m Begin) State {
	switch {
	case r.phase == moved && r.version >= h.version:
		return NotOwner
	case r.phase == moved:
		r.phase = asking
		r.digest = m.Digest
	case r.digest != m.Digest:
		return Reused
	}
	if r.phase == asking && r.version < h.version {
		r.version = h.version
		r.question = ask(h.prior(hash, o.opts.Self))
	}
	return ""
}

// attend answers an attempt from the key's record.
func (o *owner) attend(now time.Time, s *shard, r *claimRecord, m Begin, out *currantturn.Effects) {
	a := m.Attempt
	switch r.phase {
	case asking:
		if r.waitsFor(o.absent(now)) {
			r.leave(a)
			o.tell(a.Runner, m.Key, a, Silent, nil, out)
			return
		}
		r.await(a, m.Close)
		if o.inquireAll(m.Key, r, out) {
			o.tell(a.Runner, m.Key, a, Asking, nil, out)
		}
		o.settle(s, m.Key, r, out)
	case granted:
		o.attendGranted(s, m, r, out)
	default:
		o.tell(a.Runner, m.Key, a, r.final(), r.answer, out)
	}
}

func (o *owner) attendGranted(s *shard, m Begin, r *claimRecord, out *currantturn.Effects) {
	a := m.Attempt
	switch {
	case r.attempt == a:
		o.tell(a.Runner, m.Key, a, Granted, nil, out)
	case r.attempt.Runner == a.Runner && r.attempt.Incarnation != a.Incarnation:
		r.await(a, m.Close)
		o.finish(s, m.Key, r, lost, nil, out)
	case r.probes >= probeLimit:
		out.Send(r.attempt.Runner, Probe{Key: m.Key, Attempt: r.attempt})
		o.tell(a.Runner, m.Key, a, Unknown, nil, out)
	default:
		r.await(a, m.Close)
		r.probes++
		out.Send(r.attempt.Runner, Probe{Key: m.Key, Attempt: r.attempt})
		o.tell(a.Runner, m.Key, a, Pending, nil, out)
	}
}

// waitsFor says whether an earlier owner that has not settled the key is absent.
func (r *claimRecord) waitsFor(absent func(netip.AddrPort) bool) bool {
	return slices.ContainsFunc(r.question, func(q question) bool { return !q.settled() && absent(q.to) })
}

// leave forgets an attempt that waits.
func (r *claimRecord) leave(a Attempt) {
	r.waiters = slices.DeleteFunc(r.waiters, func(w waiter) bool { return w.attempt == a })
}

// await notes an attempt that wants to hear the outcome; the newest is last.
func (r *claimRecord) await(a Attempt, closing bool) {
	r.leave(a)
	r.waiters = append(r.waiters, waiter{attempt: a, closing: closing})
	if len(r.waiters) > maxWaiters {
		r.waiters = r.waiters[1:]
	}
}

// final is the state that a record without a grant in progress tells.
func (r *claimRecord) final() State {
	switch r.phase {
	case answered:
		return Answered
	case closed:
		return NotRun
	}
	return Unknown
}

// inquireAll asks the earlier owners that have not settled the key, if any.
func (o *owner) inquireAll(k request.Key, r *claimRecord, out *currantturn.Effects) (asked bool) {
	for i := range r.question {
		q := &r.question[i]
		if q.settled() {
			continue
		}
		q.state = ""
		asked = true
		out.Send(q.to, Inquire{Key: k, Version: r.version})
	}
	return asked
}

// settle decides on an asking record once every earlier owner has answered.
func (o *owner) settle(s *shard, k request.Key, r *claimRecord, out *currantturn.Effects) {
	state := r.gather()
	switch state {
	case Pending:
		o.tellWaiters(k, r, Pending, false, out)
	case Unknown:
		o.tellWaiters(k, r, Unknown, true, out)
	case Absent:
		o.grant(s, k, r, out)
	}
}

// gather combines the answers of the earlier owners: "" while one is missing,
// Pending while one runs the key, Unknown when one cannot say, else Absent.
func (r *claimRecord) gather() State {
	state := Absent
	for _, q := range r.question {
		switch q.state {
		case "":
			return ""
		case Refused:
			r.refused = true
		case Pending:
			state = Pending
		case Unknown, TooOld:
			if state == Absent {
				state = Unknown
			}
		}
	}
	return state
}

// grant gives the key to the newest attempt, or closes it when none may run.
func (o *owner) grant(s *shard, k request.Key, r *claimRecord, out *currantturn.Effects) {
	if r.phase != asking || o.beforeStart(k) {
		o.counts.violations.Add(1)
		out.Event(event.InvariantViolated, event.F("invariant", "grant_once"), event.F("detail", k.String()))
		return
	}
	r.question = nil
	if o.beforeHistory(k) {
		o.finish(s, k, r, lost, nil, out)
		return
	}
	for i := len(r.waiters) - 1; i >= 0 && !r.refused; i-- {
		w := r.waiters[i]
		if w.closing {
			continue
		}
		r.phase = granted
		r.attempt = w.attempt
		r.waiters = append(r.waiters[:i], r.waiters[i+1:]...)
		o.counts.granted.Add(1)
		o.tell(w.attempt.Runner, k, w.attempt, Granted, nil, out)
		o.tellWaiters(k, r, Pending, false, out)
		return
	}
	o.finish(s, k, r, closed, nil, out)
}

// finish records an outcome and tells it to all who wait.
func (o *owner) finish(s *shard, k request.Key, r *claimRecord, p phase, a *request.Answer, out *currantturn.Effects) {
	r.phase = p
	r.answer = a
	r.question = nil
	s.Shrink(k, record.EntryBytes+r.answerBytes())
	o.tellWaiters(k, r, r.final(), true, out)
}

// answerBytes is what a record's answer takes.
func (r *claimRecord) answerBytes() int {
	if r.answer == nil {
		return 0
	}
	n := len(r.answer.Body)
	for _, h := range r.answer.Header {
		n += len(h[0]) + len(h[1])
	}
	return n
}

// tellWaiters tells a state to the attempts that wait; done forgets them.
func (o *owner) tellWaiters(k request.Key, r *claimRecord, state State, done bool, out *currantturn.Effects) {
	for _, w := range r.waiters {
		o.tell(w.attempt.Runner, k, w.attempt, state, r.answer, out)
	}
	if done {
		r.waiters = nil
	}
}

func (o *owner) tell(
	to netip.AddrPort, k request.Key, a Attempt, state State, answer *request.Answer, out *currantturn.Effects,
) {
	out.Send(to, Verdict{Key: k, Attempt: a, State: state, Version: o.history.Load().version, Answer: answer})
}
