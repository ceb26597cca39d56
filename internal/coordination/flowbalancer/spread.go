package flowbalancer

import (
	"time"

	"github.com/currantturn/currantturn"
	"github.com/currantturn/currantturn/internal/coordination/rank"
	"github.com/currantturn/currantturn/internal/protocol/relay"
)

// queueUnsure adds a flow whose pending packet is to be sent to unsure targets.
func (b *Balancer) queueUnsure(key currantturn.FlowKey) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.unsure) < maxUnsureFlows {
		b.unsure = append(b.unsure, key)
	}
}

// takeUnsure removes and returns the queued flows.
func (b *Balancer) takeUnsure() []currantturn.FlowKey {
	b.mu.Lock()
	defer b.mu.Unlock()
	all := b.unsure
	b.unsure = nil
	return all
}

// sendToUnsure sends the pending packets of queued flows to the targets that are unsure
// of them, as far as the link has capacity. The other flows stay queued.
func (b *Balancer) sendToUnsure(now time.Time, out *currantturn.Effects) {
	var remaining []currantturn.FlowKey
	for _, key := range b.takeUnsure() {
		sent := true
		b.updateSearch(key, func(_ *plan, route *currantturn.FlowRoute, e *entry) {
			targets := e.notRuledOut(e.unsure, now, b.lastReceived())
			e.unsure = nil
			if len(e.pendingPacket) == 0 || len(targets) == 0 {
				return
			}
			if sent = b.sendPending(now, route, e, targets, out); !sent {
				e.unsure = targets
			}
		})
		if !sent {
			remaining = append(remaining, key)
		}
	}
	for _, key := range remaining {
		b.queueUnsure(key)
	}
}

// sendPending sends the pending packet of a search to targets. One agent of each failure
// domain forwards it to the others there, which keeps slow links and the links between
// failure domains free. It returns false, with nothing sent, if the link has no
// capacity.
func (b *Balancer) sendPending(
	now time.Time, route *currantturn.FlowRoute, e *entry, targets []*target, out *currantturn.Effects,
) bool {
	packet, ok := b.decodeStored(e.pendingPacket)
	if !ok {
		return true // can't happen: the packet was decoded before it was stored
	}
	groups := groupByForwarder(targets, rank.Key{}.HashFlow(packet.Flow))
	if !b.searchLimiter.allow(now, len(groups)*linkBytes(packet.Payload)+len(targets)*recipientBytes) {
		return false
	}
	for _, group := range groups {
		b.send(now, group[0], route, currantturn.IntentSearch, &packet, out)
		envelope := &out.Forwards[len(out.Forwards)-1].Envelope
		for _, t := range group[1:] {
			envelope.Recipients = append(envelope.Recipients, t.agent.Addr())
		}
	}
	return true
}

// groupByForwarder divides targets into groups by failure domain, of which the first
// agent forwards search packets to the others. Targets that cannot be reached in this
// way are groups of their own. The offset chooses which agents forward.
func groupByForwarder(targets []*target, offset uint64) [][]*target {
	var groups [][]*target
	byDomain := make(map[currantturn.FailureDomain]int) // index in groups
	for i := range targets {
		t := targets[(uint64(i)+offset)%uint64(len(targets))]
		domain := t.entry.FailureDomain
		group, found := byDomain[domain]
		switch {
		case found && len(groups[group]) <= relay.MaxRecipients:
			groups[group] = append(groups[group], t)
			continue
		case t.forwardsSearches():
			byDomain[domain] = len(groups)
		}
		groups = append(groups, []*target{t})
	}
	return groups
}

// setForwards records whether the agent forwards search packets to others.
func (t *target) setForwards(forwards bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.forwards = forwards
}

// forwardsSearches reports whether the agent forwards search packets to others.
func (t *target) forwardsSearches() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.forwards
}
