package flowbalancer

import (
	"net/netip"

	"github.com/cespare/xxhash/v2"
	"github.com/currantturn/currantturn"
	"github.com/currantturn/currantturn/internal/coordination/rank"
)

// SetDelegates sets the balancers to which this one leaves searches, because their
// links are much faster. After a restart of all processes every flow is searched for,
// and a slow link would be busy with that for seconds.
func (b *Balancer) SetDelegates(peers []netip.AddrPort) {
	b.delegates.Store(&peers)
}

// delegate forwards a caller's packet, whose flow has no known holder, to another
// balancer and returns true. It returns false for a packet that was delegated before,
// since its flow has not been served by that, and without delegates.
func (b *Balancer) delegate(packet *currantturn.Packet, e *entry, out *currantturn.Effects) bool {
	peers := b.delegates.Load()
	if peers == nil || len(*peers) == 0 {
		return false
	}
	if e.progress == delegated && packet.DataSize > 0 && packet.Sequence == e.delegatedSequence {
		e.progress = ""
		return false
	}
	if e.progress != "" && e.progress != delegated {
		return false
	}
	e.progress = delegated
	if packet.DataSize > 0 {
		e.delegatedSequence = packet.Sequence
	}
	b.counts.delegated.Add(1)
	out.Forwards = append(out.Forwards, currantturn.Forward{To: highestPeer(*peers, packet.Flow), Envelope: currantturn.Envelope{
		Direction: currantturn.ToBackend, Intent: currantturn.IntentRoute, Packet: *packet, Position: b.plan.Load().position,
	}})
	return true
}

// highestPeer returns the peer that ranks highest for a flow.
func highestPeer(peers []netip.AddrPort, flow currantturn.FlowKey) (best netip.AddrPort) {
	hash, highest := rank.Key{}.HashFlow(flow), 0.0
	for _, peer := range peers {
		ip := peer.Addr().As4()
		if score := rank.Score(hash, xxhash.Sum64(ip[:]), 1); !best.IsValid() || score > highest {
			best, highest = peer, score
		}
	}
	return best
}
