package flowbalancer

import (
	"bytes"
	"net/netip"
	"slices"
	"time"

	"github.com/currantturn/currantturn"
)

// bufferedPacket is a caller's packet that waits for a plan by which it can be routed.
type bufferedPacket struct {
	payload    []byte
	receivedAt time.Time
}

// bufferPacket keeps a packet until a plan is in force by which it can be routed.
func (b *Balancer) bufferPacket(now time.Time, p *currantturn.Packet) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.buffered) < maxBufferedPackets {
		b.buffered = append(b.buffered, bufferedPacket{bytes.Clone(p.Payload), now})
	}
}

// routeBuffered routes the buffered packets that can be routed by the present plan.
func (b *Balancer) routeBuffered(now time.Time, out *currantturn.Effects) {
	b.mu.Lock()
	var routable []currantturn.Packet
	kept := b.buffered[:0]
	for _, buffered := range b.buffered {
		p, ok := b.decodeStored(buffered.payload)
		switch {
		case !ok: // can't happen: the packet was decoded before it was buffered
		case b.routable(&p):
			routable = append(routable, p)
		default:
			kept = append(kept, buffered)
		}
	}
	b.buffered = kept
	b.mu.Unlock()
	for _, p := range routable {
		b.Route(now, netip.AddrPort{}, &currantturn.Envelope{Direction: currantturn.ToBackend, Packet: p}, out)
	}
}

// routable reports whether a caller's packet can be routed by the present plan. By a
// provisional one, new flows can be placed only if a holder of their address is known.
func (b *Balancer) routable(packet *currantturn.Packet) bool {
	p := b.plan.Load()
	switch {
	case p == nil:
		return false
	case p.provisional:
		return packet.Mark != currantturn.MarkOpening || len(b.learnedHolders[packet.Flow.Service]) > 0
	default:
		return !p.waits(packet)
	}
}

// refuseBuffered resets the new flows whose opening packets have been buffered for
// maxBufferTime, and drops other packets of that age, which callers send again.
func (b *Balancer) refuseBuffered(now time.Time, out *currantturn.Effects) {
	b.mu.Lock()
	kept := b.buffered[:0]
	var expired []bufferedPacket
	for _, p := range b.buffered {
		if now.Sub(p.receivedAt) < maxBufferTime {
			kept = append(kept, p)
		} else {
			expired = append(expired, p)
		}
	}
	b.buffered = kept
	b.mu.Unlock()
	for _, buffered := range expired {
		if p, ok := b.decodeStored(buffered.payload); ok && p.Mark == currantturn.MarkOpening {
			b.counts.refused.Add(1)
			b.sendReset(&p, "no configuration", 0, out)
		}
	}
}

// learnHolder records that a target holds a flow of a service address, so that it may
// get new flows of that address while nothing is published. Buffered packets are then
// routed with the next tick.
func (b *Balancer) learnHolder(address netip.AddrPort, t *target) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.learnedHolders) >= maxLearnedAddresses && b.learnedHolders[address] == nil ||
		slices.ContainsFunc(b.learnedHolders[address], func(known *target) bool { return known.agent == t.agent }) {
		return
	}
	b.learnedHolders[address] = append(b.learnedHolders[address], t)
	b.holdersLearned = true
}

// updateLearned replaces the targets of learned holders by those of a new provisional
// plan, or forgets them if a state is published.
func (b *Balancer) updateLearned(p *plan) {
	if !p.provisional {
		clear(b.learnedHolders)
		return
	}
	for address, holders := range b.learnedHolders {
		var current []*target
		for _, t := range holders {
			if t = p.byAgent[t.agent]; t != nil {
				current = append(current, t)
			}
		}
		b.learnedHolders[address] = current
	}
}

// takeHoldersLearned reports whether holders were learned since the last call.
func (b *Balancer) takeHoldersLearned() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	learned := b.holdersLearned
	b.holdersLearned = false
	return learned
}
