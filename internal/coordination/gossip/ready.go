package gossip

import (
	"time"

	"github.com/currantturn/currantturn"
	"github.com/currantturn/currantturn/internal/event"
)

// Ready reports whether the process has caught up with the highest known position
// and may take new work.
func (m *Machine) Ready() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.ready
}

// updateReady makes the process ready once it has caught up. The process then
// stays ready until a pause, because a partition must not stop its work.
func (m *Machine) updateReady(now time.Time, out *currantturn.Effects) {
	if m.ready {
		return
	}
	if !m.caughtUp(now) {
		m.reportRefusal(now, out)
		return
	}
	m.ready = true
	m.refusalReported = false
	if m.inForce == nil {
		m.inForce = m.log.View()
		out.InForce = append(out.InForce, m.viewsBeforeReady...)
		m.viewsBeforeReady = nil
	}
}

// caughtUp reports whether the log reaches the highest known position and either
// the platform or enough peers confirmed that nothing is missing. If the platform
// could not, the wait for peers ends joinWait after the first unusable read.
func (m *Machine) caughtUp(now time.Time) bool {
	head := m.head().Position
	if head == 0 || head < m.highestKnown {
		return false
	}
	if len(m.agreeingPeers) >= minAgreeingPeers {
		return true
	}
	if m.recentlyConfirmed(now) { // peers may still contradict the platform
		return len(m.agreeingPeers) > 0 || now.Sub(m.configuredAt) > joinWait
	}
	// Too few peers are left, and the platform has shown nothing newer.
	return !m.firstBadReadAt.IsZero() && now.Sub(m.firstBadReadAt) > joinWait
}

// reportRefusal reports once that the process is not ready because records up to
// the highest known position are missing.
func (m *Machine) reportRefusal(now time.Time, out *currantturn.Effects) {
	if m.refusalReported || m.highestKnown <= m.head().Position || now.Sub(m.startedAt) < joinWait {
		return
	}
	m.refusalReported = true
	out.Event(event.JoinRefused,
		event.F("version", uint64(m.head().Version)), event.F("heard", m.highestKnown))
}
