package balancer

import (
	"net/netip"
	"time"

	"github.com/currantturn/currantturn"
	"github.com/currantturn/currantturn/internal/coordination/rank"
	"github.com/currantturn/currantturn/internal/protocol/connid"
)

// Route sends a caller's packet to the agent that holds its flow or to the
// flow's home, and an answer to its caller.
func (b *Balancer) Route(_ time.Time, _ netip.AddrPort, e *currantturn.Envelope, out *currantturn.Effects) {
	if e.Direction == currantturn.ToCaller {
		b.counts.answered.Add(1)
		out.Answers = append(out.Answers, e.Packet)
		return
	}
	p := b.plan.Load()
	s := p.view.At(e.Packet.Flow.Service)
	if s == nil {
		b.counts.unknownService.Add(1)
		return
	}
	sp := p.services[s.Name]
	hash := b.opts.Key.Flow(e.Packet.Flow)
	var ranks [currantturn.MaxRanks]currantturn.BackendID
	to := b.knownHolder(sp, hash, &e.Packet)
	if to == nil {
		ranks = sp.ranks(hash)
		to = sp.service.Backend(ranks[0])
	}
	if to == nil {
		b.counts.unroutable.Add(1)
		return
	}
	b.counts.routed.Add(1)
	out.Forwards = append(out.Forwards, currantturn.Forward{To: to.Agent, Envelope: *e})
	next := &out.Forwards[len(out.Forwards)-1].Envelope
	next.Service = s.Name
	next.Version = p.view.Version
	next.Balancer = b.opts.Self
	next.Intent = currantturn.IntentRoute
	next.Ranks = ranks
}

// ranks returns the flow's ranks among the live backend servers.
func (sp *servicePlan) ranks(hash uint64) (ids [currantturn.MaxRanks]currantturn.BackendID) {
	var top [currantturn.MaxRanks]int
	n := sp.ranking.Top(hash, rank.Every, top[:])
	for i := range n {
		ids[i] = sp.ranking.Service.Backends[top[i]].ID
	}
	return ids
}

// knownHolder returns the backend server that the connection ID or a hint names, if
// it is worth a try; it is only ever a shortcut.
func (b *Balancer) knownHolder(sp *servicePlan, hash uint64, p *currantturn.Packet) *currantturn.BackendServer {
	if holder := b.holderByConnectionID(sp, p); holder != nil {
		b.counts.byConnectionID.Add(1)
		return holder
	}
	id := b.hints.Get(hash)
	if id == "" || sp.dead[id] {
		return nil
	}
	holder := sp.service.Backend(id)
	if holder != nil {
		b.counts.byHint.Add(1)
	}
	return holder
}

// holderByConnectionID reads the backend server out of a QUIC connection ID.
func (b *Balancer) holderByConnectionID(sp *servicePlan, p *currantturn.Packet) *currantturn.BackendServer {
	if b.opts.ConnIDs == nil || p.Mark == currantturn.MarkNone {
		return nil
	}
	id := connid.Destination(p.Payload)
	if len(id) != connid.Bytes {
		return nil
	}
	for key := range b.opts.ConnIDs.Keys() {
		i, ok := sp.indexBySeed[b.opts.ConnIDs.Seed(key, id)]
		if !ok {
			continue
		}
		if holder := &sp.service.Backends[i]; !sp.dead[holder.ID] {
			return holder
		}
		return nil
	}
	return nil
}
