package flowagent

import (
	"time"

	"github.com/currantturn/currantturn"
	"github.com/currantturn/currantturn/internal/event"
	"github.com/currantturn/currantturn/internal/protocol/relay"
)

// drainNotice is the newest notice of a balancer whether the failure domain is drained. It
// is not safe for concurrent use.
type drainNotice struct {
	drained    bool
	position   currantturn.Position // of the published state that says so
	receivedAt time.Time
}

// update replaces the notice unless the new one is older.
func (d *drainNotice) update(now time.Time, m relay.Drained) {
	if !d.position.After(m.Position()) {
		*d = drainNotice{drained: m.Drained, position: m.Position(), receivedAt: now}
	}
}

// inForce reports whether the failure domain counts as drained. A notice that nobody
// repeats ceases to hold.
func (d *drainNotice) inForce(now time.Time) bool {
	return d.drained && now.Sub(d.receivedAt) < drainLifetime
}

// handleDrained processes a balancer's notice whether the failure domain is drained.
func (a *Agent) handleDrained(now time.Time, m relay.Drained, out *currantturn.Effects) {
	a.mu.Lock()
	defer a.mu.Unlock()
	before := a.drain.inForce(now)
	a.drain.update(now, m)
	number := event.BackendDrained
	switch a.drain.inForce(now) {
	case before:
		return
	case false:
		number = event.BackendRestored
		a.warmUp.RecordReturn(now)
	}
	out.Event(number, event.F("backend", a.opts.Backend), event.F("domain", a.opts.FailureDomain),
		event.F("era", m.Era), event.F("revision", m.Revision))
}

// expireDrained emits an event when a notice that nobody repeats ceases to hold.
func (a *Agent) expireDrained(now time.Time, out *currantturn.Effects) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.drain.drained && !a.drain.inForce(now) {
		a.drain.drained = false
		a.warmUp.RecordReturn(now)
		out.Event(event.BackendRestored, event.F("backend", a.opts.Backend), event.F("domain", a.opts.FailureDomain),
			event.F("era", a.drain.position.Era), event.F("revision", a.drain.position.Revision))
	}
}

// Drained reports whether new flows are declined because the failure domain is drained.
func (a *Agent) Drained(now time.Time) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.drain.inForce(now)
}

// declinesDrained returns an opening packet to its balancer, with the reason, if the failure
// domain is drained. The backend server may still answer an earlier copy of it.
func (a *Agent) declinesDrained(in *inboundPacket, r *flowRecord) bool {
	a.mu.Lock()
	declines, position := a.drain.inForce(in.now), a.drain.position
	a.mu.Unlock()
	if !declines {
		return false
	}
	a.counts.drained.Add(1)
	if r != nil && r.progress == opening {
		a.returnToBalancer(in.from, currantturn.IntentUnanswered, in.packet.Payload, in.out)
	} else {
		a.refuse(in)
	}
	in.out.Send(in.from, relay.Drained{Drained: true, Revision: position.Revision, Era: position.Era})
	return true
}
