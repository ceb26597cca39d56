package gossip

import (
	"time"

	"github.com/currantturn/currantturn"
	"github.com/currantturn/currantturn/internal/event"
)

// Ready says whether the process is at the highest position heard and may
// take new work.
func (m *Machine) Ready() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.ready
}

// judge makes the process ready once it has caught up with everything heard
// and the platform or enough peers confirmed that nothing is missing. Once
// ready it stays so until a pause: a partition must not stop its work.
func (m *Machine) judge(now time.Time, out *currantturn.Effects) {
	if m.ready {
		return
	}
	if !m.caughtUp(now) {
		m.refuse(now, out)
		return
	}
	m.ready = true
	m.refused = false
	if m.inForce == nil {
		m.inForce = m.log.View()
		out.InForce = append(out.InForce, m.early...)
		m.early = nil
	}
}

func (m *Machine) caughtUp(now time.Time) bool {
	head := m.head().Position
	if head == 0 || head < m.heard {
		return false
	}
	if len(m.answered) >= joinAnswers {
		return true
	}
	if m.fresh(now) { // peers could still contradict the platform
		return len(m.answered) > 0 || now.Sub(m.configured) > joinWait
	}
	// Few or no peers are left, and the platform has nothing newer.
	return !m.troubled.IsZero() && now.Sub(m.troubled) > joinWait
}

// refuse reports once that the process waits for what it has heard of.
func (m *Machine) refuse(now time.Time, out *currantturn.Effects) {
	if m.refused || m.heard <= m.head().Position || now.Sub(m.started) < joinWait {
		return
	}
	m.refused = true
	out.Event(event.JoinRefused,
		event.F("version", uint64(m.head().Version)), event.F("heard", m.heard))
}
