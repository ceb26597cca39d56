package warmup

import (
	"math"
	"time"

	"github.com/currantturn/currantturn"
)

// Options configure a limiter.
type Options struct {
	Overshoot float64   // factor on the rate of the service
	Tolerance float64   // opening packets per second above that
	Started   time.Time // when this process started
	Fresh     bool      // nothing was delivered before this process started
}

// Limiter decides which opening packets a backend server gets while it is cold. It counts
// those of any Window. It is not safe for concurrent use.
type Limiter struct {
	opts Options
	last time.Time // latest present time; earlier ones count as this one
	// warmUp is that of the service; its rate is 0 while none is known.
	warmUp    currantturn.WarmUp
	position  currantturn.Position // of the published state that warmUp is from
	learnedAt time.Time            // when warmUp was last received
	// publishedUntil is when the backend server is warm by its registration, and
	// presumedUntil by the signs of a restart that this process has seen.
	publishedUntil, presumedUntil time.Time
	returnedAt                    time.Time   // when the backend server last got new flows again after it had to get none
	forgottenUntil                time.Time   // until when a lost flow is no sign of a restart
	answeredAt                    time.Time   // last packet from the backend server; zero before the first one
	refusing                      bool        // whether it bounced the last opening packet that it answered
	uncountedAt                   time.Time   // last opening packet that was not counted
	taken                         []time.Time // counted opening packets, oldest first
}

// New returns a limiter that knows of no warm-up. The backend server may have started
// together with this process, unless that is fresh.
func New(opts Options) *Limiter {
	return &Limiter{opts: opts}
}

// Configure changes overshoot and tolerance.
func (l *Limiter) Configure(overshoot, tolerance float64) {
	l.opts.Overshoot, l.opts.Tolerance = overshoot, tolerance
}

// Learn stores what a balancer with the published state of the position knows. The backend
// server counts as cold for as long as any balancer believes it, since each of them
// overestimates the remaining time by the age of its knowledge.
func (l *Limiter) Learn(now time.Time, position currantturn.Position, w currantturn.Warming) {
	if w.WarmUp.Rate <= 0 {
		return
	}
	now = l.advance(now)
	if l.warmUp.Rate == 0 || !l.position.After(position) {
		if l.warmUp.Rate == 0 && !l.opts.Fresh {
			l.presumedUntil = l.opts.Started.Add(w.WarmUp.Duration)
		}
		l.warmUp, l.position = w.WarmUp, position
	}
	l.learnedAt = now
	l.presumeReturned()
	remaining := w.Remaining
	if w.WarmUp.Duration > 0 {
		remaining = min(remaining, w.WarmUp.Duration)
	}
	if until := now.Add(remaining); remaining > 0 && until.After(l.publishedUntil) {
		l.publishedUntil = until
	}
}

// RecordRecovery records that the backend server answers after it did not: it may have
// restarted, which its registration shows later.
func (l *Limiter) RecordRecovery(now time.Time) {
	now = l.advance(now)
	if until := now.Add(l.warmUp.Duration); l.known(now) && until.After(l.presumedUntil) {
		l.presumedUntil = until
	}
}

// RecordReturn records that the backend server gets new flows again after it had to get none.
// It may have become cold meanwhile, and balancers that have just started don't know that.
func (l *Limiter) RecordReturn(now time.Time) {
	l.returnedAt = l.advance(now)
	l.presumeReturned()
}

// presumeReturned takes the backend server for cold for the warm-up after its last return.
func (l *Limiter) presumeReturned() {
	if l.returnedAt.IsZero() {
		return
	}
	if until := l.returnedAt.Add(l.warmUp.Duration); until.After(l.presumedUntil) {
		l.presumedUntil = until
	}
}

// RecordForgotten records that the backend server no longer holds an open flow, which is
// a sign of a restart.
func (l *Limiter) RecordForgotten(now time.Time) {
	if now = l.advance(now); now.Before(l.forgottenUntil) {
		return
	}
	l.forgottenUntil = now.Add(forgottenPause * l.warmUp.Duration)
	l.RecordRecovery(now)
}

// RecordAnswer records a packet from the backend server. After a silence, a bounced one may
// be of a flow that it has lost by a restart; any other shows that it did not lose the flow.
// One that bounced opening packets and accepts one again may have restarted in between.
func (l *Limiter) RecordAnswer(now time.Time, p *currantturn.Packet) {
	now = l.advance(now)
	opening := p.Mark == currantturn.MarkOpening
	if p.Bounced && l.silent(now) || !p.Bounced && opening && l.refusing {
		l.RecordRecovery(now)
	}
	if opening {
		l.refusing = p.Bounced
	}
	l.answeredAt = now
}

// Take reports whether the backend server may get an opening packet now, and counts it.
func (l *Limiter) Take(now time.Time) bool {
	now = l.advance(now)
	if !l.known(now) {
		l.uncountedAt = now
		return true
	}
	if l.silent(now) {
		l.RecordRecovery(now)
	}
	if l.Wait(now) > 0 {
		return false
	}
	if len(l.taken) == maxCounted {
		l.taken = l.taken[1:]
	}
	l.taken = append(l.taken, now)
	return true
}

// Wait returns the time until an opening packet can be taken, zero if one can be now.
func (l *Limiter) Wait(now time.Time) time.Duration {
	now = l.advance(now)
	if !l.Cold(now) {
		return 0
	}
	warm := l.warmAt()
	free := l.uncountedAt.Add(Window)
	if lost := l.opts.Started.Add(Window); now.Before(l.publishedUntil) && !l.opts.Fresh && lost.After(free) {
		free = lost // what an earlier process delivered is not known
	}
	switch limit := l.Limit(); {
	case limit == 0:
		free = warm
	case len(l.taken) >= limit:
		if next := l.taken[len(l.taken)-limit].Add(Window); next.After(free) {
			free = next
		}
	}
	if free.After(warm) {
		free = warm
	}
	return max(free.Sub(now), 0)
}

// Cold reports whether the limit applies now.
func (l *Limiter) Cold(now time.Time) bool {
	now = l.advance(now)
	return l.known(now) && now.Before(l.warmAt())
}

// Limit returns the number of opening packets that a cold backend server may get within a
// Window.
func (l *Limiter) Limit() int {
	limit := math.Floor(l.warmUp.Rate*l.opts.Overshoot + l.opts.Tolerance + rounding)
	return int(min(max(limit, 0), maxCounted))
}

// Rate returns the rate of the service, 0 if none is known.
func (l *Limiter) Rate() float64 {
	return l.warmUp.Rate
}

// warmAt returns when the backend server is warm.
func (l *Limiter) warmAt() time.Time {
	if l.presumedUntil.After(l.publishedUntil) {
		return l.presumedUntil
	}
	return l.publishedUntil
}

// silent reports whether the backend server has sent nothing for so long that it may have
// restarted.
func (l *Limiter) silent(now time.Time) bool {
	return !l.answeredAt.IsZero() && now.Sub(l.answeredAt) >= maxSilence
}

// known reports whether the service has a rate.
func (l *Limiter) known(now time.Time) bool {
	return l.warmUp.Rate > 0 && now.Sub(l.learnedAt) < knowledgeLifetime
}

// advance returns the present time, which does not go back, and forgets the opening
// packets that are older than a Window.
func (l *Limiter) advance(now time.Time) time.Time {
	if now.Before(l.last) {
		return l.last
	}
	l.last = now
	n := 0
	for n < len(l.taken) && now.Sub(l.taken[n]) >= Window {
		n++
	}
	l.taken = l.taken[n:]
	if len(l.taken) == 0 {
		l.taken = nil
	}
	return now
}
