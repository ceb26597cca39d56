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

// phase is the state of a key's record at its owner. The values differ from
// State, which is sent in messages.
type phase string

const (
	inquiring phase = "asking"  // earlier owners have not all replied
	granted   phase = "granted" // to claimRecord.attempt
	answered  phase = "answered"
	closed    phase = "closed" // tombstone: the request never ran and never will
	lost      phase = "lost"   // outcome unknown, for example because the runner's process ended without a report
	moved     phase = "moved"  // fenced by a newer owner at claimRecord.version
)

// claimRecord is the owner's record of one key.
type claimRecord struct {
	phase            phase
	digest           request.Digest
	version          currantturn.Version // of the inquiries, or of the fence once moved
	attempt          Attempt             // holds or held the grant
	answer           *request.Answer
	waiters          []waiter
	inquiries        []inquiry
	refused          bool // permanently, by this process or an earlier owner
	unansweredProbes int
}

// waiter is an attempt that receives the verdicts on a key without resending
// its Begin.
type waiter struct {
	attempt Attempt
	closing bool // the attempt only closes the key
}

// inquiry holds an earlier owner and its last reply, or "" if none has arrived.
type inquiry struct {
	owner netip.AddrPort
	reply State
}

// confirmedNoGrant reports whether the earlier owner replied that it never
// granted the key; it never will, because its reply follows a fence or a
// permanent refusal.
func (i *inquiry) confirmedNoGrant() bool {
	return i.reply == Absent || i.reply == Refused
}

type shard = record.Shard[*claimRecord]

// owner decides on the keys that this process owns under the configuration in
// force.
type owner struct {
	opts     *Options
	history  *atomic.Pointer[history]
	suspects *suspects
	records  *record.Store[*claimRecord]
	stopped  atomic.Bool // keys without a record are refused
	counters ownerCounters
}

func newOwner(opts *Options, h *atomic.Pointer[history], suspects *suspects) *owner {
	return &owner{opts: opts, history: h, suspects: suspects, records: record.New[*claimRecord](opts.Bytes, opts.Retention)}
}

func (o *owner) hash(k request.Key) uint64 {
	return o.opts.Key.HashBytes(k[:])
}

// begin handles a Begin: it replies with a verdict, and sends inquiries to the
// earlier owners if the key is not yet decided.
func (o *owner) begin(now time.Time, from netip.AddrPort, m Begin, out *currantturn.Effects) {
	h := o.history.Load()
	hash := o.hash(m.Key)
	o.records.Do(now, m.Key, func(s *shard) {
		if h.owner(hash) != o.opts.Self {
			o.sendVerdict(from, m.Key, m.Attempt, NotOwner, nil, out)
			return
		}
		r, ok := s.Get(m.Key)
		if !ok {
			r = o.createRecord(now, s, h, m, out)
		}
		if r == nil {
			return
		}
		if state := o.applyConfiguration(r, h, hash, m); state != "" {
			o.sendVerdict(from, m.Key, m.Attempt, state, nil, out)
			return
		}
		o.answerAttempt(now, s, r, m, out)
	})
}

// createRecord stores the record of a new key. If it cannot, it sends the reason
// as a verdict and returns nil.
func (o *owner) createRecord(now time.Time, s *shard, h *history, m Begin, out *currantturn.Effects) *claimRecord {
	earlier := h.earlierOwners(o.hash(m.Key), o.opts.Self)
	if o.stopped.Load() {
		s.RefuseUpTo(m.Key)
	}
	state := o.refusalState(now, s, m.Key, len(earlier) > 0)
	if state == "" && slices.ContainsFunc(earlier, o.suspectedAt(now)) {
		state = OwnerSilent
	}
	if state == "" {
		r := &claimRecord{phase: inquiring, digest: m.Digest, version: h.version, inquiries: newInquiries(earlier)}
		r.refused = s.Refused(m.Key)
		if s.Put(m.Key, r, record.EntryBytes+request.MaxInlineBytes) == nil {
			return r
		}
		state = o.handleFullStore(s, m.Key, len(earlier) > 0, out)
	}
	o.sendVerdict(m.Attempt.Runner, m.Key, m.Attempt, state, nil, out)
	return nil
}

// suspectedAt returns a function that reports whether a process is suspected.
// Attempts that need a reply from a suspected owner are refused immediately,
// because no reply is expected.
func (o *owner) suspectedAt(now time.Time) func(netip.AddrPort) bool {
	return func(addr netip.AddrPort) bool { return o.suspects.contains(addr, now) }
}

// newInquiries returns unanswered inquiries to the given owners.
func newInquiries(owners []netip.AddrPort) []inquiry {
	inquiries := make([]inquiry, len(owners))
	for i, addr := range owners {
		inquiries[i].owner = addr
	}
	return inquiries
}

// refusalState returns the verdict that rejects a key without a record, or ""
// if a record may be created. A refused key with earlier owners gets a record,
// because one of them may have granted it.
func (o *owner) refusalState(now time.Time, s *shard, k request.Key, hasEarlierOwners bool) State {
	switch {
	case k.IssuedAt().After(now.Add(o.opts.ClockSkew)):
		return IssuedAhead
	case s.TooOld(now, k):
		return TooOld
	case o.mayPredateStart(k), o.mayPredateHistory(k):
		return Unknown
	case s.Refused(k) && !hasEarlierOwners:
		return NotRun
	}
	return ""
}

// mayPredateStart reports whether an earlier process at this address may have
// granted the key: that process accepted keys issued up to one clock skew ahead
// of its clock, which may itself have been one skew ahead of this one's.
func (o *owner) mayPredateStart(k request.Key) bool {
	return !k.IssuedAt().After(o.opts.Started.Add(2 * o.opts.ClockSkew))
}

// mayPredateHistory reports whether an earlier owner that the history does not
// list may have granted the key.
func (o *owner) mayPredateHistory(k request.Key) bool {
	return !k.IssuedAt().After(o.history.Load().completeSince.Add(2 * o.opts.ClockSkew))
}

// handleFullStore returns the verdict for a new key when the record store is
// full. It refuses the key permanently unless an earlier owner may have granted
// it.
func (o *owner) handleFullStore(s *shard, k request.Key, hasEarlierOwners bool, out *currantturn.Effects) State {
	o.counters.full.Add(1)
	out.Event(event.RecordStoreFull, event.F("limit", o.opts.Bytes))
	if hasEarlierOwners {
		return Unknown
	}
	s.RefuseUpTo(k)
	return NotRun
}

// applyConfiguration updates a record to the configuration in force: it reopens
// a record fenced under an older version and restarts outdated inquiries. It
// returns the verdict that ends the attempt, or "" to continue.
func (o *owner) applyConfiguration(r *claimRecord, h *history, hash uint64, m Begin) State {
	switch {
	case r.phase == moved && r.version >= h.version:
		return NotOwner
	case r.phase == moved:
		r.phase = inquiring
		r.digest = m.Digest
	case r.digest != m.Digest:
		return KeyReused
	}
	if r.phase == inquiring && r.version < h.version {
		r.version = h.version
		r.inquiries = newInquiries(h.earlierOwners(hash, o.opts.Self))
	}
	return ""
}

// answerAttempt replies to a Begin according to the key's record.
func (o *owner) answerAttempt(now time.Time, s *shard, r *claimRecord, m Begin, out *currantturn.Effects) {
	a := m.Attempt
	switch r.phase {
	case inquiring:
		if r.waitsForAny(o.suspectedAt(now)) {
			r.removeWaiter(a)
			o.sendVerdict(a.Runner, m.Key, a, OwnerSilent, nil, out)
			return
		}
		r.addWaiter(a, m.Close)
		if o.sendInquiries(m.Key, r, out) {
			o.sendVerdict(a.Runner, m.Key, a, Inquiring, nil, out)
		}
		o.evaluateReplies(s, m.Key, r, out)
	case granted:
		o.answerGranted(s, m, r, out)
	default:
		o.sendVerdict(a.Runner, m.Key, a, r.finalState(), r.answer, out)
	}
}

// answerGranted replies to a Begin for a granted key. An attempt that does not
// hold the grant causes a probe of the runner and receives Pending, or Unknown
// once maxUnansweredProbes probes are unanswered. If the attempt shows that the
// runner has restarted, the outcome is lost.
func (o *owner) answerGranted(s *shard, m Begin, r *claimRecord, out *currantturn.Effects) {
	a := m.Attempt
	switch {
	case r.attempt == a:
		o.sendVerdict(a.Runner, m.Key, a, Granted, nil, out)
	case r.attempt.Runner == a.Runner && r.attempt.Incarnation != a.Incarnation:
		r.addWaiter(a, m.Close)
		o.finish(s, m.Key, r, lost, nil, out)
	case r.unansweredProbes >= maxUnansweredProbes:
		out.Send(r.attempt.Runner, Probe{Key: m.Key, Attempt: r.attempt})
		o.sendVerdict(a.Runner, m.Key, a, Unknown, nil, out)
	default:
		r.addWaiter(a, m.Close)
		r.unansweredProbes++
		out.Send(r.attempt.Runner, Probe{Key: m.Key, Attempt: r.attempt})
		o.sendVerdict(a.Runner, m.Key, a, Pending, nil, out)
	}
}

// waitsForAny reports whether an earlier owner whose reply is still needed is
// suspected.
func (r *claimRecord) waitsForAny(suspected func(netip.AddrPort) bool) bool {
	return slices.ContainsFunc(r.inquiries, func(inq inquiry) bool { return !inq.confirmedNoGrant() && suspected(inq.owner) })
}

// removeWaiter removes an attempt from the waiters, if present.
func (r *claimRecord) removeWaiter(a Attempt) {
	r.waiters = slices.DeleteFunc(r.waiters, func(w waiter) bool { return w.attempt == a })
}

// addWaiter adds an attempt to the waiters, the newest last, and drops the
// oldest if there are too many.
func (r *claimRecord) addWaiter(a Attempt, closing bool) {
	r.removeWaiter(a)
	r.waiters = append(r.waiters, waiter{attempt: a, closing: closing})
	if len(r.waiters) > maxWaiters {
		r.waiters = r.waiters[1:]
	}
}

// finalState returns the verdict of a record whose outcome is decided.
func (r *claimRecord) finalState() State {
	switch r.phase {
	case answered:
		return Answered
	case closed:
		return NotRun
	}
	return Unknown
}

// sendInquiries sends an Inquire to each earlier owner that has not confirmed
// that it granted nothing, and reports whether there were any.
func (o *owner) sendInquiries(k request.Key, r *claimRecord, out *currantturn.Effects) (sent bool) {
	for i := range r.inquiries {
		inq := &r.inquiries[i]
		if inq.confirmedNoGrant() {
			continue
		}
		inq.reply = ""
		sent = true
		out.Send(inq.owner, Inquire{Key: k, Version: r.version})
	}
	return sent
}

// evaluateReplies decides on an inquiring record once all earlier owners have
// replied.
func (o *owner) evaluateReplies(s *shard, k request.Key, r *claimRecord, out *currantturn.Effects) {
	state := r.combineReplies()
	switch state {
	case Pending:
		o.notifyWaiters(k, r, Pending, false, out)
	case Unknown:
		o.notifyWaiters(k, r, Unknown, true, out)
	case Absent:
		o.grant(s, k, r, out)
	}
}

// combineReplies combines the replies of the earlier owners: "" while one is
// missing, Pending if one has a grant in progress, Unknown if one cannot rule
// out a grant, else Absent. A Refused reply also marks the record as refused.
func (r *claimRecord) combineReplies() State {
	state := Absent
	for _, inq := range r.inquiries {
		switch inq.reply {
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

// grant grants the key to the newest waiting attempt that may run it, or closes
// the key if there is none.
func (o *owner) grant(s *shard, k request.Key, r *claimRecord, out *currantturn.Effects) {
	if r.phase != inquiring || o.mayPredateStart(k) {
		o.counters.violations.Add(1)
		out.Event(event.InvariantViolated, event.F("invariant", "grant_once"), event.F("detail", k.String()))
		return
	}
	r.inquiries = nil
	if o.mayPredateHistory(k) { // the history became incomplete during the inquiries
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
		o.counters.granted.Add(1)
		o.sendVerdict(w.attempt.Runner, k, w.attempt, Granted, nil, out)
		o.notifyWaiters(k, r, Pending, false, out)
		return
	}
	o.finish(s, k, r, closed, nil, out)
}

// finish records the outcome of a key and sends it to all waiters.
func (o *owner) finish(s *shard, k request.Key, r *claimRecord, p phase, answer *request.Answer, out *currantturn.Effects) {
	r.phase = p
	r.answer = answer
	r.inquiries = nil
	s.Shrink(k, record.EntryBytes+r.answerBytes())
	o.notifyWaiters(k, r, r.finalState(), true, out)
}

// answerBytes returns the size of the record's answer.
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

// notifyWaiters sends a verdict to all waiters; if final is set, it also
// removes them.
func (o *owner) notifyWaiters(k request.Key, r *claimRecord, state State, final bool, out *currantturn.Effects) {
	for _, w := range r.waiters {
		o.sendVerdict(w.attempt.Runner, k, w.attempt, state, r.answer, out)
	}
	if final {
		r.waiters = nil
	}
}

// sendVerdict sends a verdict on a key to the process of an attempt.
func (o *owner) sendVerdict(
	to netip.AddrPort, k request.Key, a Attempt, state State, answer *request.Answer, out *currantturn.Effects,
) {
	out.Send(to, Verdict{Key: k, Attempt: a, State: state, Version: o.history.Load().version, Answer: answer})
}
