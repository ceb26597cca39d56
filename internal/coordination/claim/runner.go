package claim

import (
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/currantturn/currantturn"
	"github.com/currantturn/currantturn/internal/protocol/request"
)

// step is the progress of an attempt at its runner.
type step string

const (
	waiting   step = "waiting"   // for the owner's verdict
	ready     step = "ready"     // granted, not yet sent to the backend server
	running   step = "running"   // sent to the backend server
	reporting step = "reporting" // ended, report not yet confirmed by the owner
)

// attempt is one attempt of this process to run a request.
type attempt struct {
	step         step
	begin        Begin
	deadline     time.Time
	onVerdict    func(Verdict)
	owner        netip.AddrPort // received the last Begin, or granted the key
	lastPending  time.Time      // when the last Pending verdict arrived, or the attempt began
	ownerReplied bool           // the owner has sent a Pending, Inquiring or NotOwner verdict
	nextSend     time.Time      // when to resend the Begin or the Report
	retryDelay   time.Duration
	report       Report
}

// runner holds the attempts of this process, in shards to reduce lock contention.
type runner struct {
	opts         *Options
	history      *atomic.Pointer[history]
	lastNumber   atomic.Uint64
	attemptCount atomic.Int64
	unanswered   atomic.Uint64
	suspects     *suspects
	shards       [runnerShards]runnerShard
}

// runnerShard holds attempts by number, and their numbers in ascending order, so
// that each run of a simulation visits them in the same order.
type runnerShard struct {
	mu       sync.Mutex
	attempts map[uint64]*attempt
	order    []uint64
}

func newRunner(opts *Options, h *atomic.Pointer[history], suspects *suspects) *runner {
	r := &runner{opts: opts, history: h, suspects: suspects}
	for i := range r.shards {
		r.shards[i].attempts = make(map[uint64]*attempt)
	}
	return r
}

func (r *runner) shard(number uint64) *runnerShard {
	return &r.shards[number%runnerShards]
}

// begin creates an attempt and sends a Begin to the key's owner. If the owner is
// unknown or suspected, or the runner is full, it ends the attempt without
// sending anything.
func (r *runner) begin(
	now time.Time, k request.Key, digest request.Digest, deadline time.Time, closing bool,
	onVerdict func(Verdict), out *currantturn.Effects,
) uint64 {
	number := r.lastNumber.Add(1)
	a := &attempt{
		step:        waiting,
		deadline:    deadline,
		onVerdict:   onVerdict,
		lastPending: now,
		retryDelay:  beginRetryMin,
	}
	id := Attempt{Runner: r.opts.Self, Incarnation: r.opts.Incarnation, Number: number}
	a.begin = Begin{Key: k, Digest: digest, Attempt: id, Close: closing}
	to := r.history.Load().owner(r.opts.Key.HashBytes(k[:]))
	if !to.IsValid() || r.attemptCount.Load() >= maxAttempts || r.suspects.contains(to, now) {
		onVerdict(Verdict{Key: k, Attempt: id, State: OwnerSilent})
		return number
	}
	s := r.shard(number)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.attempts[number] = a
	s.order = append(s.order, number)
	r.attemptCount.Add(1)
	r.sendBegin(now, a, out)
	return number
}

// sendBegin sends the Begin to the key's owner under the configuration in force
// and schedules the next one.
func (r *runner) sendBegin(now time.Time, a *attempt, out *currantturn.Effects) {
	h := r.history.Load()
	a.begin.Version = h.version
	a.nextSend = now.Add(a.retryDelay)
	a.retryDelay = min(2*a.retryDelay, beginRetryMax)
	if a.owner = h.owner(r.opts.Key.HashBytes(a.begin.Key[:])); a.owner.IsValid() {
		out.Send(a.owner, a.begin)
	}
}

// verdict handles an owner's verdict on an attempt.
func (r *runner) verdict(now time.Time, from netip.AddrPort, m Verdict, out *currantturn.Effects) {
	if m.Attempt.Runner != r.opts.Self {
		return
	}
	if m.Attempt.Incarnation != r.opts.Incarnation {
		r.rejectGrant(from, m, Unknown, out)
		return
	}
	s := r.shard(m.Attempt.Number)
	s.mu.Lock()
	defer s.mu.Unlock()
	a := s.attempts[m.Attempt.Number]
	if a == nil {
		r.rejectGrant(from, m, NotRun, out)
		return
	}
	if a.step == waiting {
		r.applyVerdict(now, from, s, a, m)
	}
}

// rejectGrant replies to the grant of an attempt that this process does not hold
// with a Report of the given state. Such an attempt either ended before its
// grant arrived or belongs to an earlier process; an attempt that ran is held
// until its owner has confirmed the report.
func (r *runner) rejectGrant(from netip.AddrPort, m Verdict, state State, out *currantturn.Effects) {
	if m.State == Granted {
		out.Send(from, Report{Key: m.Key, Attempt: m.Attempt, State: state})
	}
}

// applyVerdict updates a waiting attempt and passes on a grant or a final state.
func (r *runner) applyVerdict(now time.Time, from netip.AddrPort, s *runnerShard, a *attempt, m Verdict) {
	switch m.State {
	case NotOwner, Inquiring:
		a.ownerReplied = true
		return
	case Pending:
		a.ownerReplied = true
		a.lastPending = now
		return
	case Granted:
		a.step = ready
		a.owner = from
		a.nextSend = a.deadline
	default:
		r.remove(s, m.Attempt.Number)
	}
	a.onVerdict(m)
}

func (r *runner) remove(s *runnerShard, number uint64) {
	if s.attempts[number] != nil {
		delete(s.attempts, number)
		r.attemptCount.Add(-1)
	}
}

// start marks a granted attempt as running and returns true. It returns false if
// the attempt has ended or its deadline has passed, as the process may have been
// paused since the grant.
func (r *runner) start(now time.Time, number uint64, out *currantturn.Effects) bool {
	s := r.shard(number)
	s.mu.Lock()
	defer s.mu.Unlock()
	a := s.attempts[number]
	if a == nil || a.step != ready {
		return false
	}
	if !now.Before(a.deadline) {
		r.startReporting(now, a, NotRun, nil, out)
		return false
	}
	a.step = running
	return true
}

// done ends a running attempt and reports the given state.
func (r *runner) done(now time.Time, number uint64, state State, answer *request.Answer, out *currantturn.Effects) {
	s := r.shard(number)
	s.mu.Lock()
	defer s.mu.Unlock()
	if a := s.attempts[number]; a != nil && a.step == running {
		r.startReporting(now, a, state, answer, out)
	}
}

// cancel ends an attempt that has not started; a granted one is reported as not
// run.
func (r *runner) cancel(now time.Time, number uint64, out *currantturn.Effects) {
	s := r.shard(number)
	s.mu.Lock()
	defer s.mu.Unlock()
	a := s.attempts[number]
	switch {
	case a == nil:
	case a.step == waiting:
		r.remove(s, number)
	case a.step == ready:
		r.startReporting(now, a, NotRun, nil, out)
	}
}

// startReporting sends the first Report of how a granted attempt ended.
func (r *runner) startReporting(now time.Time, a *attempt, state State, answer *request.Answer, out *currantturn.Effects) {
	a.step = reporting
	a.report = Report{Key: a.begin.Key, Digest: a.begin.Digest, Attempt: a.begin.Attempt, State: state, Answer: answer}
	a.retryDelay = reportRetryMin
	r.sendReport(now, a, out)
}

// sendReport sends the Report of an ended attempt and schedules the next one.
func (r *runner) sendReport(now time.Time, a *attempt, out *currantturn.Effects) {
	a.nextSend = now.Add(a.retryDelay)
	a.retryDelay = min(2*a.retryDelay, reportRetryMax)
	out.Send(a.owner, a.report)
}

// reportAck removes an attempt whose report the owner has confirmed.
func (r *runner) reportAck(from netip.AddrPort, m ReportAck) {
	if m.Attempt.Runner != r.opts.Self || m.Attempt.Incarnation != r.opts.Incarnation {
		return
	}
	s := r.shard(m.Attempt.Number)
	s.mu.Lock()
	defer s.mu.Unlock()
	if a := s.attempts[m.Attempt.Number]; a != nil && a.step == reporting && a.owner == from {
		r.remove(s, m.Attempt.Number)
	}
}

// probe replies to the owner with the status of an attempt.
func (r *runner) probe(from netip.AddrPort, m Probe, out *currantturn.Effects) {
	if m.Attempt.Incarnation != r.opts.Incarnation {
		out.Send(from, Report{Key: m.Key, Attempt: m.Attempt, State: Unknown})
		return
	}
	s := r.shard(m.Attempt.Number)
	s.mu.Lock()
	defer s.mu.Unlock()
	switch a := s.attempts[m.Attempt.Number]; {
	case a == nil:
		// The attempt ended before its grant arrived.
		out.Send(from, Report{Key: m.Key, Attempt: m.Attempt, State: NotRun})
	case a.step == reporting:
		out.Send(from, a.report)
	default:
		out.Send(from, Running{Key: m.Key, Attempt: m.Attempt})
	}
}

// unfinished counts the attempts that have not ended, or whose report waits for the
// confirmation of an owner that is not reported as leaving or unresponsive.
func (r *runner) unfinished(now time.Time) (n int) {
	for i := range r.shards {
		s := &r.shards[i]
		s.mu.Lock()
		for _, a := range s.attempts {
			if a.step != reporting || !r.suspects.reported(a.owner, now) {
				n++
			}
		}
		s.mu.Unlock()
	}
	return n
}

// tick calls tickAttempt for each attempt and drops the numbers of removed ones.
func (r *runner) tick(now time.Time, out *currantturn.Effects) {
	for i := range r.shards {
		s := &r.shards[i]
		s.mu.Lock()
		kept := s.order[:0]
		for _, number := range s.order {
			if a := s.attempts[number]; a != nil {
				r.tickAttempt(now, s, number, a, out)
			}
			if s.attempts[number] != nil {
				kept = append(kept, number)
			}
		}
		s.order = kept
		s.mu.Unlock()
	}
}

// tickAttempt resends a Begin or Report that is due, ends a waiting attempt that
// has timed out and removes one whose report no owner needs any more.
func (r *runner) tickAttempt(now time.Time, s *runnerShard, number uint64, a *attempt, out *currantturn.Effects) {
	switch a.step {
	case waiting:
		if !now.Before(a.deadline) || now.Sub(a.lastPending) >= ownerTimeout {
			r.unanswered.Add(1)
			if !a.ownerReplied && now.Sub(a.lastPending) >= ownerTimeout {
				r.suspects.add(a.owner, suspicion{until: now.Add(suspicionPeriod)})
			}
			r.remove(s, number)
			a.onVerdict(Verdict{Key: a.begin.Key, Attempt: a.begin.Attempt, State: Unknown})
			return
		}
		if !now.Before(a.nextSend) {
			r.sendBegin(now, a, out)
		}
	case reporting:
		if a.begin.Key.IssuedAt().Add(r.opts.Retention + 2*r.opts.ClockSkew).Before(now) {
			r.remove(s, number) // its owner now rejects the key as too old
			return
		}
		if !now.Before(a.nextSend) {
			r.sendReport(now, a, out)
		}
	}
}
