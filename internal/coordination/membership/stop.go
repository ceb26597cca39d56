package membership

import (
	"time"

	"github.com/currantturn/currantturn"
)

// AnnounceStop notifies other members of the planned end of this process, so that
// they need not detect it by unanswered probes; afterwards the list sends
// nothing more.
func (l *List) AnnounceStop(now time.Time, out *currantturn.Effects) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ensureStarted(now)
	l.stopped = true
	last := l.self
	last.State = Dead
	last.Leaving = true
	last.Incarnation++
	sent := 0
	for _, i := range l.rng.Perm(len(l.members)) {
		m := l.members[i]
		if m.Server.ID == l.opts.ID {
			continue
		}
		out.Send(m.Server.Agent, Ack{Version: l.version, From: last})
		sent++
		if sent == stopNoticeFanout {
			return
		}
	}
}
