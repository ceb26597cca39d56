package flowagent

import (
	"bytes"
	"net/netip"
	"time"

	"github.com/currantturn/currantturn"
	"github.com/currantturn/currantturn/internal/event"
	"github.com/currantturn/currantturn/internal/protocol/relay"
)

// inboundPacket is a caller's packet received from a balancer.
type inboundPacket struct {
	now    time.Time
	from   netip.AddrPort // the balancer
	intent currantturn.Intent
	demand currantturn.Demand
	packet *currantturn.Packet
	out    *currantturn.Effects
}

// Route delivers, stores or refuses a caller's packet received from a balancer.
func (a *Agent) Route(now time.Time, from netip.AddrPort, e *currantturn.Envelope, out *currantturn.Effects) {
	if e.Balancer.IsValid() { // forwarded by another agent
		from = netip.AddrPortFrom(e.Balancer.Addr(), a.opts.LinkPort)
	}
	position := e.Position
	if !a.recordBalancer(now, from) && !e.ReadsLoads {
		position.Era = 0 // an early build writes the age of the backend server there
	}
	if e.ReadsLoads {
		a.recordReadsLoads(from)
	}
	a.updatePosition(position)
	a.learnWarmUp(now, from, position, e.Warming)
	a.forwardSearch(from, e, out)
	in := &inboundPacket{now: now, from: from, intent: e.Intent, demand: e.Demand, packet: &e.Packet, out: out}
	if e.Service != a.Service() && e.Intent != currantturn.IntentSearch {
		a.counts.foreign.Add(1)
		out.Event(event.FlowForeign, event.F("flow", e.Packet.Flow), event.F("service", e.Service))
		a.refuse(in)
		return
	}
	stored := a.flows.UpdateWithRoom(e.Packet.Flow, func(r *flowRecord, room bool) *flowRecord {
		if e.Packet.Mark == currantturn.MarkOpening {
			return a.handleOpening(in, r, room)
		}
		return a.handleNonOpening(in, r)
	})
	if !stored {
		a.recordUntracked(now)
	}
}

// forwardSearch forwards a search to its other recipients, which reply to the balancer.
func (a *Agent) forwardSearch(balancer netip.AddrPort, e *currantturn.Envelope, out *currantturn.Effects) {
	if e.Intent != currantturn.IntentSearch {
		return
	}
	forwarded := *e
	forwarded.Balancer, forwarded.Recipients = balancer, nil
	forwarded.Demand.Slots = 0 // those of this backend server
	for _, r := range e.Recipients {
		out.Forwards = append(out.Forwards, currantturn.Forward{To: netip.AddrPortFrom(r, a.opts.LinkPort), Envelope: forwarded})
	}
}

// heardPosition is the newest position that the agent has heard of.
type heardPosition struct {
	currantturn.Position
	highestEra uint64 // of all that it has heard of; the position may be of an unknown era
}

// updatePosition stores the newest position received from balancers. Replies to
// balancers carry it: with an older one, a balancer may lack the backend server that
// holds the flow. A new era takes the place of any position, also of one of unknown era.
func (a *Agent) updatePosition(p currantturn.Position) {
	for {
		old := a.position.Load()
		if p.Era <= old.highestEra && !p.After(old.Position) {
			return
		}
		if a.position.CompareAndSwap(old, &heardPosition{Position: p, highestEra: max(p.Era, old.highestEra)}) {
			return
		}
	}
}

// handleOpening processes an opening packet: a repeated one is delivered to its
// flow, any other starts a new flow unless the failure domain is drained, the backend server
// is unresponsive or cold and at its limit, or there is no room for its record.
func (a *Agent) handleOpening(in *inboundPacket, r *flowRecord, room bool) *flowRecord {
	switch {
	case !room:
		a.counts.full.Add(1)
		a.refuse(in)
		return nil
	case in.intent == currantturn.IntentSearch:
		return r
	case r != nil && r.progress == opening && a.declinesDrained(in, r):
		return r
	case r != nil && r.progress != closed && r.progress != unconfirmed:
		r.lastSeen = in.now
		if a.takeOpening(in.now) {
			a.deliver(in)
		}
		return r
	case a.declinesDrained(in, r):
		return r
	case a.stopping.Load() || !a.mayDeliverOpening(in.now) || !a.takeOpening(in.now):
		a.refuse(in)
		return r
	}
	a.deliver(in)
	a.mu.Lock()
	a.openDeadlines.Add(in.packet.Flow, in.now.Add(answerTimeout))
	a.mu.Unlock()
	return &flowRecord{
		progress: opening, balancer: in.from, openingSent: in.now, lastSeen: in.now,
		openingPacket: bytes.Clone(in.packet.Payload), attemptStarted: in.now.Add(-attemptAge(in.packet.Acked)),
		mayBeOlder: !a.recordsComplete(in.now),
	}
}

// handleNonOpening processes any other packet of a flow; the flow may have been
// opened here or at another backend server.
func (a *Agent) handleNonOpening(in *inboundPacket, r *flowRecord) *flowRecord {
	if r == nil && a.recordsComplete(in.now) {
		a.refuse(in)
		return nil
	}
	if r == nil || r.progress == unconfirmed {
		return a.deliverUnconfirmed(in)
	}
	if r.progress == opening || !r.acknowledges(in.packet.Acked) && in.packet.Mark != currantturn.MarkReset {
		if !r.mayHold(in.packet.Acked) {
			a.refuse(in)
			return r
		}
		a.removeFromLoad(in.now, in.packet.Flow, r)
		return a.deliverUnconfirmed(in)
	}
	if r.progress == answered {
		r.progress = open
		a.tracker.addOpenFlows(1)
	}
	if in.intent == currantturn.IntentSearch {
		in.out.Send(in.from, relay.Held{Flow: relay.FlowOf(in.packet.Flow)})
	}
	r.lastSeen = in.now
	switch {
	case in.packet.Mark == currantturn.MarkReset:
		a.deliver(in)
		a.close(in.now, in.packet.Flow, r)
		return r
	case r.storedPackets != nil && in.packet.Mark == currantturn.MarkClosing:
		a.storePacket(r, in.packet) // delivered after the data before it
	case r.progress == open && in.packet.DataSize > 0:
		a.handleRequestData(in, r)
	default:
		a.deliver(in)
	}
	if in.packet.Mark == currantturn.MarkClosing {
		a.recordClosing(in.now, in.packet.Flow, r, closedByCaller)
	}
	return r
}

// deliverUnconfirmed delivers a packet of a flow that may be older than this process. The
// backend server bounces the packet if it does not hold the flow.
func (a *Agent) deliverUnconfirmed(in *inboundPacket) *flowRecord {
	a.deliver(in)
	return &flowRecord{progress: unconfirmed, balancer: in.from, searched: in.intent == currantturn.IntentSearch, lastSeen: in.now}
}

// deliver sends the packet to the backend server, tagged with the balancer that a
// bounced packet is returned to.
func (a *Agent) deliver(in *inboundPacket) {
	a.counts.delivered.Add(1)
	a.opts.Codec.SetTag(in.packet.Payload, balancerTag(in.from))
	in.out.Deliveries = append(in.out.Deliveries, *in.packet)
}

// refuse notifies the balancer that the packet was not delivered, and returns the
// packet unless it was a search.
func (a *Agent) refuse(in *inboundPacket) {
	switch {
	case in.intent == currantturn.IntentSearch:
		a.queueDenial(in.from, in.packet.Flow, in.out)
	case in.packet.Mark == currantturn.MarkOpening:
		a.counts.declined.Add(1)
		a.returnToBalancer(in.from, currantturn.IntentDeclined, in.packet.Payload, in.out)
	default:
		a.counts.returned.Add(1)
		a.returnToBalancer(in.from, currantturn.IntentAbsent, in.packet.Payload, in.out)
	}
}

// balancerTag encodes the IPv4 address of a balancer as a packet tag.
func balancerTag(balancer netip.AddrPort) uint32 {
	ip := balancer.Addr().As4()
	return uint32(ip[0])<<24 | uint32(ip[1])<<16 | uint32(ip[2])<<8 | uint32(ip[3])
}

// balancerFromTag returns the link address of the balancer encoded in a packet
// tag.
func (a *Agent) balancerFromTag(tag uint32) netip.AddrPort {
	ip := netip.AddrFrom4([4]byte{byte(tag >> 24), byte(tag >> 16), byte(tag >> 8), byte(tag)})
	return netip.AddrPortFrom(ip, a.opts.LinkPort)
}
