package membership

import (
	"time"

	"github.com/currantturn/currantturn"
	"github.com/currantturn/currantturn/internal/event"
)

// applyUpdate applies an update about a member if it is newer than the last one,
// and forwards it; a suspicion about this process is refuted instead.
func (l *List) applyUpdate(now time.Time, u Update, out *currantturn.Effects) {
	if u.ID == l.opts.ID {
		l.refute(now, u, out)
		return
	}
	m := l.byID[u.ID]
	if m == nil || !u.Newer(m.lastUpdate) {
		return
	}
	if old := m.lastUpdate.Incarnation; old>>incarnationBits != u.Incarnation>>incarnationBits {
		if old != 0 {
			l.restarted = append(l.restarted, u.ID)
		}
		m.RecentPlacements = 0
	}
	before := *m
	m.lastUpdate = u
	m.State = u.State
	m.StartedAt = startTime(u.Incarnation)
	m.changedAt = now
	l.queueUpdate(u)
	l.refresh(now)
	l.reportChange(&before, m, out)
}

// reportChange emits and counts the change of a member's state.
func (l *List) reportChange(before, m *Member, out *currantturn.Effects) {
	if before.State != m.State {
		number := event.MemberAlive
		switch m.State {
		case Suspect:
			number = event.MemberSuspected
			l.counters.Suspicions++
		case Dead:
			number = event.MemberDead
			l.counters.Deaths++
		}
		out.Event(number, event.F("member", m.Server.ID), event.F("incarnation", m.lastUpdate.Incarnation))
	}
	if m.Leaving && !before.Leaving {
		out.Event(event.MemberLeaving, event.F("member", m.Server.ID), event.F("incarnation", m.lastUpdate.Incarnation))
	}
}

// refute answers an update by which this process is suspected or dead with a higher
// incarnation.
func (l *List) refute(now time.Time, u Update, out *currantturn.Effects) {
	if u.State == Alive || u.Incarnation < l.self.Incarnation {
		return
	}
	l.self.Incarnation = u.Incarnation + 1
	l.counters.Refutations++
	l.queueUpdate(l.self)
	l.refresh(now)
	out.Event(event.SuspicionRefuted, event.F("incarnation", l.self.Incarnation))
}
