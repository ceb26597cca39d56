package membership

import (
	"time"

	"github.com/currantturn/currantturn"
	"github.com/currantturn/currantturn/internal/event"
)

// learn takes an update about a member.
func (l *List) learn(now time.Time, u Update, out *currantturn.Effects) {
	if u.ID == l.opts.ID {
		l.refute(now, u, out)
		return
	}
	m := l.byID[u.ID]
	if m == nil || !u.Newer(m.known) {
		return
	}
	if before := m.known.Incarnation; before>>incarnationBits != u.Incarnation>>incarnationBits {
		if before != 0 {
			l.restarted = append(l.restarted, u.ID)
		}
		m.Recent = 0
	}
	was := *m
	m.known = u
	m.State = u.State
	m.Booted = booted(u.Incarnation)
	m.changed = now
	l.spread(u)
	l.refresh(now)
	l.report(&was, m, out)
}

func (l *List) report(was, m *Member, out *currantturn.Effects) {
	if was.State != m.State {
		number := event.MemberAlive
		switch m.State {
		case Suspect:
			number = event.MemberSuspected
			l.counters.Suspicions++
		case Dead:
			number = event.MemberDead
			l.counters.Deaths++
		}
		out.Event(number, event.F("member", m.Server.ID), event.F("incarnation", m.known.Incarnation))
	}
	if m.Leaving && !was.Leaving {
		out.Event(event.MemberLeaving, event.F("member", m.Server.ID), event.F("incarnation", m.known.Incarnation))
	}
}

// refute answers a suspicion about this process by a higher incarnation.
func (l *List) refute(now time.Time, u Update, out *currantturn.Effects) {
	if u.State == Alive || u.Incarnation < l.self.Incarnation {
		return
	}
	l.self.Incarnation = u.Incarnation + 1
	l.counters.Refutations++
	l.spread(l.self)
	l.refresh(now)
	out.Event(event.SuspicionRefuted, event.F("incarnation", l.self.Incarnation))
}
