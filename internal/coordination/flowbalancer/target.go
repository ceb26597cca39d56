package flowbalancer

import (
	"fmt"
	"net/netip"
	"sync"
	"time"

	"github.com/currantturn/currantturn"
	"github.com/currantturn/currantturn/internal/coordination/placement"
	"github.com/currantturn/currantturn/internal/coordination/rank"
	"github.com/currantturn/currantturn/internal/protocol/relay"
	"github.com/currantturn/currantturn/internal/state/roster"
)

// target is one incarnation of a backend server, reached through its agent.
type target struct {
	entry roster.Entry
	agent netip.AddrPort // link address of the agent
	seed  uint64         // hash of the ID, which ranks the target for flows
	// planNumber is that of the plan that the target belongs to. A reference would keep the
	// plan in memory as long as a flow refers to the target.
	planNumber uint64
	// unregistered is true for an announced agent without a registration. It is trusted
	// for nothing but the flows that it reports to hold.
	unregistered bool
	// contested is true if another backend server may own the address. Its agent may hold
	// flows, but gets no new ones.
	contested bool
	warmUp    currantturn.WarmUp // of the service
	placeable bool               // whether it may get new flows

	mu                 sync.Mutex
	load               relay.Load
	reportedAt         time.Time
	sentSinceReport    int // new flows
	avoidUntil         time.Time
	warmUpUntil        time.Time
	declinesUntil      time.Time         // until when the agent declines new flows because the backend server is cold
	unanswered         unansweredQueries // queries to the agent
	forwards           bool              // whether the agent forwards search packets
	loggedSlow         bool              // whether the last event reported it as slow
	loggedUnresponsive bool              // whether the last event reported the agent as unresponsive
}

// recordQuery records that a query is sent to the agent.
func (t *target) recordQuery(now, lastReceived time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.unanswered.recordQuery(now, lastReceived)
}

// recordReceived records that a message arrived from the agent. It returns true if
// the agent was logged as unresponsive.
func (t *target) recordReceived() (wasUnresponsive bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.unanswered.count = 0
	wasUnresponsive = t.loggedUnresponsive
	t.loggedUnresponsive = false
	return wasUnresponsive
}

// markUnresponsive records that the agent is logged as unresponsive. It returns false
// if it was so before.
func (t *target) markUnresponsive() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	changed := !t.loggedUnresponsive
	t.loggedUnresponsive = true
	return changed
}

// ended reports whether the backend server has ended and so holds no flows: its
// registration is gone, and its agent does not answer while others do. A missing
// registration alone is no proof, since it may be removed early; nor is silence, since
// the VM may be paused or cut off. A registration that something else took the place of
// proves nothing.
func (t *target) ended(now, lastReceived time.Time) bool {
	return t.deregistered() && !t.entry.Unusable && t.unansweredFor(now, lastReceived) > 0
}

// probeEnded records that the agent of a backend server without a registration is probed,
// and returns true, if it is taken for ended and the last query is endedProbeInterval ago.
func (t *target) probeEnded(now, lastReceived time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.unanswered.duration(now, lastReceived) == 0 || now.Sub(t.unanswered.last) < endedProbeInterval {
		return false
	}
	t.unanswered.recordQuery(now, lastReceived)
	return true
}

// unansweredFor returns how long the agent has not answered queries while other
// agents did, or zero if it may still answer.
func (t *target) unansweredFor(now, lastReceived time.Time) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.unanswered.duration(now, lastReceived)
}

// deregistered reports whether the backend server's registration was removed.
func (t *target) deregistered() bool {
	return !t.entry.Gone.IsZero()
}

// updateLoad stores the load that the agent reported.
func (t *target) updateLoad(now time.Time, load relay.Load) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.load, t.reportedAt, t.sentSinceReport = load, now, 0
	t.declinesUntil = time.Time{}
	if load.DeclinesMS > 0 {
		t.declinesUntil = now.Add(time.Duration(load.DeclinesMS) * time.Millisecond)
	}
	switch {
	case load.Unresponsive:
		t.avoidUntil = now.Add(avoidPeriod)
	default:
		t.avoidUntil = time.Time{}
	}
}

// avoidForNow makes new flows avoid the backend server for avoidPeriod.
func (t *target) avoidForNow(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.avoidUntil = now.Add(avoidPeriod)
}

// endAvoidance lets new flows go to the backend server again, unless its agent reports that
// it does not answer.
func (t *target) endAvoidance() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.load.Unresponsive {
		t.avoidUntil = time.Time{}
	}
}

// candidate returns the target in the form in which placement compares it.
func (t *target) candidate(now time.Time, local currantturn.FailureDomain, usual *usualTimes) placement.Candidate {
	t.mu.Lock()
	defer t.mu.Unlock()
	c := placement.Candidate{
		Slots:     t.entry.Slots,
		Sent:      t.sentSinceReport,
		Local:     t.entry.FailureDomain == local,
		Avoid:     now.Before(t.avoidUntil),
		WarmingUp: now.Before(t.warmUpUntil),
	}
	if c.WarmingUp && t.warmUp.Rate > 0 {
		c.WarmUpRate, c.Warmth = t.warmUp.Rate, t.warmth(now)
	}
	if now.Sub(t.reportedAt) < reportLifetime {
		c.Running, c.Flows, c.ServiceTime = t.load.Running+t.load.Waiting, t.load.Flows, t.load.ServiceTime()
		c.Slowness = usual.times.Slowness(t.load.Times)
		c.Short = float64(t.load.Short-usual.short) / 100
		if t.load.Limit > 0 {
			c.Slots = min(c.Slots, t.load.Limit)
		}
	}
	return c
}

// loadSnapshot is the load that a placement is based on, for its event.
type loadSnapshot struct {
	load relay.Load
	sent int           // new flows sent since the load was reported
	age  time.Duration // of the load; negative if none is known
}

// loadSnapshot returns the load as it is known now.
func (t *target) loadSnapshot(now time.Time) loadSnapshot {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.reportedAt.IsZero() {
		return loadSnapshot{sent: t.sentSinceReport, age: -1}
	}
	return loadSnapshot{load: t.load, sent: t.sentSinceReport, age: now.Sub(t.reportedAt)}
}

// String formats the snapshot.
func (s loadSnapshot) String() string {
	if s.age < 0 {
		return fmt.Sprintf("unknown sent=%d", s.sent)
	}
	return fmt.Sprintf("running=%d waiting=%d flows=%d sent=%d service=%s age=%s",
		s.load.Running, s.load.Waiting, s.load.Flows, s.sent, s.load.ServiceTime(), s.age.Round(time.Millisecond))
}

// updateSlow reports whether the backend server is slow, and whether that has changed
// since the last call.
func (t *target) updateSlow(c *placement.Candidate, usual time.Duration) (slow, changed bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	slow = c.IsSlow(usual, t.loggedSlow)
	changed = slow != t.loggedSlow
	t.loggedSlow = slow
	return slow, changed
}

// countSentFlow counts a new flow that is sent to the backend server.
func (t *target) countSentFlow() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sentSinceReport++
}

// newTarget returns the target of a registration. It carries over the state of the
// target in the old plan if that is the same incarnation.
func newTarget(now time.Time, e *roster.Entry, agent netip.AddrPort, old *plan) *target {
	t := &target{entry: *e, agent: agent, seed: rank.Seed(e.ID), planNumber: old.nextNumber()}
	if e.WarmUpRemaining > 0 {
		t.warmUpUntil = now.Add(e.WarmUpRemaining)
	}
	if old == nil {
		return t
	}
	previous := old.byAgent[agent]
	if previous == nil || !previous.entry.SameIncarnation(&e.Registration) {
		return t
	}
	previous.mu.Lock()
	defer previous.mu.Unlock()
	t.load, t.reportedAt, t.sentSinceReport, t.avoidUntil = previous.load, previous.reportedAt, previous.sentSinceReport, previous.avoidUntil
	t.unanswered, t.loggedSlow, t.loggedUnresponsive = previous.unanswered, previous.loggedSlow, previous.loggedUnresponsive
	t.forwards, t.declinesUntil = previous.forwards, previous.declinesUntil
	if previous.entry.WarmUpRemaining == e.WarmUpRemaining {
		t.warmUpUntil = previous.warmUpUntil // the published warm-up is unchanged, so it does not start again
	}
	return t
}
