package membership

import (
	"time"

	"github.com/currantturn/currantturn"
)

// Farewell tells other members that this process has ended as planned, so
// that they need not find out by its silence; after it the list is silent.
func (l *List) Farewell(now time.Time, out *currantturn.Effects) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.start(now)
	l.ended = true
	last := l.self
	last.State = Dead
	last.Leaving = true
	last.Incarnation++
	told := 0
	for _, i := range l.rng.Perm(len(l.members)) {
		m := l.members[i]
		if m.Server.ID == l.opts.ID {
			continue
		}
		out.Send(m.Server.Agent, Ack{Version: l.version, From: last})
		told++
		if told == farewellFan {
			return
		}
	}
}
