package claim

import (
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/currantturn/currantturn"
	"github.com/currantturn/currantturn/internal/protocol/request"
)

// step is where an attempt stands at its runner.
type step string

const (
	waiting   step = "waiting"   // for the owner's verdict
	ready     step = "ready"     // granted, not yet handed over
	running   step = "running"   // at the backend server
	reporting step = "reporting" // ended, the owner has not confirmed
)

// attempt is one request in progress at this runner.
type attempt struct {
	step     step
	begin    Begin
	deadline time.Time
	decided  func(Verdict)
	owner    netip.AddrPort // who was asked last, or has granted
	heard    time.Time      // when the owner last said that the key is in progress
	answered bool           // the owner has answered at all
	next     time.Time      // when to send again
	delay    time.Duration
	report   Report
}

// runner holds the attempts of this process in shards, each under its own lock.
type runner struct {
	opts       *Options
	history    *atomic.Pointer[history]
	number     atomic.Uint64
	size       atomic.Int64
	unanswered atomic.Uint64
	silent     *silence
	shards     [runnerShards]runnerShard
}

// runnerShard keeps its attempts in the order of their numbers as well, so
// that every run visits them alike.
type runnerShard struct {
	mu       sync.Mutex
	attempts map[uint64]*attempt
	order    []uint64
}

func newRunner(opts *Options, h *atomic.Pointer[history], silent *silence) *runner {
	r := &runner{opts: opts, history: h, silent: silent}
	for i := range r.shards {
		r.shards[i].attempts = make(map[uint64]*attempt)
	}
	return r
}

func (r *runner) shard(number uint64) *runnerShard {
	return &r.shards[number%runnerShards]
}

// begin opens an attempt and asks the key's owner.
func (r *runner) begin(
	now time.Time, k request.Key, d request.Digest, deadline time.Time, closing bool,
	decided func(Verdict), out *currantturn.Effects,
) uint64 {
	number := r.number.Add(1)
	a := &attempt{
		step:     waiting,
		deadline: deadline,
		decided:  decided,
		heard:    now,
		delay:    beginRetry,
	}
	id := Attempt{Runner: r.opts.Self, Incarnation: r.opts.Incarnation, Number: number}
	a.begin = Begin{Key: k, Digest: d, Attempt: id, Close: closing}
	to := r.history.Load().owner(r.opts.Key.Bytes(k[:]))
	if !to.IsValid() || r.size.Load() >= maxAttempts || r.silent.suspected(to, now) {
		decided(Verdict{Key: k, Attempt: id, State: Silent})
		return number
	}
	s := r.shard(number)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.attempts[number] = a
	s.order = append(s.order, number)
	r.size.Add(1)
	r.send(now, a, out)
	return number
}

// send asks the owner of the configuration in force.
func (r *runner) send(now time.Time, a *attempt, out *currantturn.Effects) {
	h := r.history.Load()
	a.begin.Version = h.version
	a.next = now.Add(a.delay)
	a.delay = min(2*a.delay, pollEvery)
	if a.owner = h.owner(r.opts.Key.Bytes(a.begin.Key[:])); a.owner.IsValid() {
		out.Send(a.owner, a.begin)
	}
}

// verdict takes an owner's answer to an attempt.
func (r *runner) verdict(now time.Time, from netip.AddrPort, m Verdict, out *currantturn.Effects) {
	if m.Attempt.Runner != r.opts.Self {
		return
	}
	if m.Attempt.Incarnation != r.opts.Incarnation {
		r.disown(from, m, Unknown, out)
		return
	}
	s := r.shard(m.Attempt.Number)
	s.mu.Lock()
	defer s.mu.Unlock()
	a := s.attempts[m.Attempt.Number]
	if a == nil {
		r.disown(from, m, NotRun, out)
		return
	}
	if a.step == waiting {
		r.decide(now, from, s, a, m)
	}
}

// disown reports the end of an attempt that this process does not hold: one
// that ended before its grant came, or one of an earlier process. An attempt
// that ran is held until its owner has confirmed the report.
func (r *runner) disown(from netip.AddrPort, m Verdict, s State, out *currantturn.Effects) {
	if m.State == Granted {
		out.Send(from, Report{Key: m.Key, Attempt: m.Attempt, State: s})
	}
}

func (r *runner) decide(now time.Time, from netip.AddrPort, s *runnerShard, a *attempt, m Verdict) {
	switch m.State {
	case NotOwner, Asking:
		a.answered = true
		return
	case Pending:
		a.answered = true
		a.heard = now
		return
	case Granted:
		a.step = ready
		a.owner = from
		a.next = a.deadline
	default:
		r.remove(s, m.Attempt.Number)
	}
	a.decided(m)
}

func (r *runner) remove(s *runnerShard, number uint64) {
	if s.attempts[number] != nil {
		delete(s.attempts, number)
		r.size.Add(-1)
	}
}

// start checks once more before the hand-over, because the process may have
// been paused since the grant.
func (r *runner) start(now time.Time, number uint64, out *currantturn.Effects) bool {
	s := r.shard(number)
	s.mu.Lock()
	defer s.mu.Unlock()
	a := s.attempts[number]
	if a == nil || a.step != ready {
		return false
	}
	if !now.Before(a.deadline) {
		r.end(now, a, NotRun, nil, out)
		return false
	}
	a.step = running
	return true
}

// done ends an attempt that has run.
func (r *runner) done(now time.Time, number uint64, state State, answer *request.Answer, out *currantturn.Effects) {
	s := r.shard(number)
	s.mu.Lock()
	defer s.mu.Unlock()
	if a := s.attempts[number]; a != nil && a.step == running {
		r.end(now, a, state, answer, out)
	}
}

// cancel ends an attempt that has not been handed over.
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
		r.end(now, a, NotRun, nil, out)
	}
}

// end starts to report how a granted attempt ended.
func (r *runner) end(now time.Time, a *attempt, state State, answer *request.Answer, out *currantturn.Effects) {
	a.step = reporting
	a.report = Report{Key: a.begin.Key, Digest: a.begin.Digest, Attempt: a.begin.Attempt, State: state, Answer: answer}
	a.delay = reportRetry
	r.sendReport(now, a, out)
}

func (r *runner) sendReport(now time.Time, a *attempt, out *currantturn.Effects) {
	a.next = now.Add(a.delay)
	a.delay = min(2*a.delay, reportRetryMax)
	out.Send(a.owner, a.report)
}

// reportAck forgets an attempt whose end the owner has taken.
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

// probe tells the owner where an attempt stands.
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
		// The attempt ended before its grant came.
		out.Send(from, Report{Key: m.Key, Attempt: m.Attempt, State: NotRun})
	case a.step == reporting:
		out.Send(from, a.report)
	default:
		out.Send(from, Running{Key: m.Key, Attempt: m.Attempt})
	}
}

// tick repeats what was not answered and ends what waited for too long.
func (r *runner) tick(now time.Time, out *currantturn.Effects) {
	for i := range r.shards {
		s := &r.shards[i]
		s.mu.Lock()
		kept := s.order[:0]
		for _, number := range s.order {
			if a := s.attempts[number]; a != nil {
				r.advance(now, s, number, a, out)
			}
			if s.attempts[number] != nil {
				kept = append(kept, number)
			}
		}
		s.order = kept
		s.mu.Unlock()
	}
}

func (r *runner) advance(now time.Time, s *runnerShard, number uint64, a *attempt, out *currantturn.Effects) {
	switch a.step {
	case waiting:
		if !now.Before(a.deadline) || now.Sub(a.heard) >= ownerSilence {
			r.unanswered.Add(1)
			if !a.answered && now.Sub(a.heard) >= ownerSilence {
				r.silent.suspect(a.owner, suspicion{until: now.Add(silentFor)})
			}
			r.remove(s, number)
			a.decided(Verdict{Key: a.begin.Key, Attempt: a.begin.Attempt, State: Unknown})
			return
		}
		if !now.Before(a.next) {
			r.send(now, a, out)
		}
	case reporting:
		if a.begin.Key.Issued().Add(r.opts.Retention + 2*r.opts.ClockSkew).Before(now) {
			r.remove(s, number) // its owner calls the key too old by now
			return
		}
		if !now.Before(a.next) {
			r.sendReport(now, a, out)
		}
	}
}
