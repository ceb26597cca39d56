package flowbalancer

import (
	"time"

	"github.com/currantturn/currantturn"
	"github.com/currantturn/currantturn/internal/protocol/relay"
)

const (
	// coldNotifiers is how many balancers are expected to notify an agent that its backend
	// server is cold, whatever their number; that none does has a chance of 0.03%.
	coldNotifiers = 8
	// coldNotificationsPerTick limits them; at 60 bytes each they take 6 KB/s at most.
	coldNotificationsPerTick = 1
	// coldGain is by how much a warm-up has to end later than known to be notified again.
	coldGain = 500 * time.Millisecond
)

// SetPeers sets the number of other balancers that are alive.
func (b *Balancer) SetPeers(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.peers = n
}

// queueCold queues the targets that have become cold, a random part of them with many
// balancers. Otherwise an agent learns of it only with a new flow, and the balancers that
// still send many may be those that do not know.
func (b *Balancer) queueCold(now time.Time, p, old *plan) {
	for _, t := range p.targets {
		if t.warmUp.Rate <= 0 || !now.Before(t.warmUpUntil) || t.deregistered() {
			continue
		}
		if old != nil {
			if previous := old.byAgent[t.agent]; previous != nil && t.warmUpUntil.Before(previous.warmUpUntil.Add(coldGain)) {
				continue
			}
		}
		if b.rng.IntN(b.peers+1) < coldNotifiers {
			b.cold = append(b.cold, t)
		}
	}
}

// notifyCold notifies the agents of queued targets, a few at a time.
func (b *Balancer) notifyCold(now time.Time, out *currantturn.Effects) {
	b.mu.Lock()
	n := min(coldNotificationsPerTick, len(b.cold))
	due := b.cold[:n]
	b.cold = b.cold[n:]
	b.mu.Unlock()
	for _, t := range due {
		position := b.plan.Load().position
		out.Send(t.agent, relay.WarmUp{
			Warming: t.warming(now, currantturn.IntentPlace), Revision: position.Revision, Era: position.Era,
		})
	}
}

// indexWarmUps returns the warm-ups of a configuration by service.
func indexWarmUps(r *currantturn.Routing) map[currantturn.ServiceName]currantturn.WarmUp {
	if r == nil || len(r.WarmUps) == 0 {
		return nil
	}
	all := make(map[currantturn.ServiceName]currantturn.WarmUp, len(r.WarmUps))
	for _, w := range r.WarmUps {
		all[w.Service] = w.WarmUp
	}
	return all
}

// markPlaceable records that the target of a new plan may get new flows. One that got none by
// the old plan may have become cold meanwhile, and its registration may say so later.
func (t *target) markPlaceable(now time.Time, old *plan) {
	t.placeable = true
	if t.warmUp.Rate <= 0 || old == nil || old.provisional || old.placementHeld {
		return
	}
	previous := old.byAgent[t.agent]
	if previous == nil || previous.placeable || !previous.entry.SameIncarnation(&t.entry.Registration) {
		return
	}
	if until := now.Add(t.warmUp.Duration); until.After(t.warmUpUntil) {
		t.warmUpUntil = until
	}
}

// declines reports whether the agent declines new flows at present because the backend
// server is cold. That does not count as a failure.
func (t *target) declines(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return now.Before(t.declinesUntil)
}

// warming returns what the agent is to know of the warm-up with a packet of the intent:
// the limit counts the packets that place a flow.
func (t *target) warming(now time.Time, intent currantturn.Intent) currantturn.Warming {
	if intent != currantturn.IntentPlace || t.warmUp.Rate <= 0 {
		return currantturn.Warming{}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return currantturn.Warming{WarmUp: t.warmUp, Remaining: max(t.warmUpUntil.Sub(now), 0)}
}

// warmth returns the elapsed part of the warm-up, from 0 to 1; the lock is held.
func (t *target) warmth(now time.Time) float64 {
	whole := t.warmUp.Duration
	if whole <= 0 {
		whole = t.entry.WarmUpRemaining
	}
	if whole <= 0 {
		return 1
	}
	return min(max(1-float64(t.warmUpUntil.Sub(now))/float64(whole), 0), 1)
}
