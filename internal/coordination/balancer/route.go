package balancer

import (
	"net/netip"
	"time"

	"github.com/currantturn/currantturn"
	"github.com/currantturn/currantturn/internal/coordination/rank"
	"github.com/currantturn/currantturn/internal/protocol/connid"
)

// Route forwards a caller's packet to the agent of the flow's known holder, else to
// that of the flow's home. It sends an answer to its caller.
func (b *Balancer) Route(_ time.Time, _ netip.AddrPort, e *currantturn.Envelope, out *currantturn.Effects) {
	if e.Direction == currantturn.ToCaller {
		b.counts.answered.Add(1)
		out.Answers = append(out.Answers, e.Packet)
		return
	}
	p := b.plan.Load()
	s := p.view.ServiceAt(e.Packet.Flow.Service)
	if s == nil {
		b.counts.unknownService.Add(1)
		return
	}
	sp := p.services[s.Name]
	hash := b.opts.Key.HashFlow(e.Packet.Flow)
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

// ranks returns the flow's highest-ranked backend servers, the home first.
func (sp *servicePlan) ranks(hash uint64) (ids [currantturn.MaxRanks]currantturn.BackendID) {
	var top [currantturn.MaxRanks]int
	n := sp.ranking.Top(hash, rank.Every, top[:])
	for i := range n {
		ids[i] = sp.ranking.Service.Backends[top[i]].ID
	}
	return ids
}

// knownHolder returns the backend server that the connection ID or a hint names, or
// nil if there is none or it is dead. It only saves a forwarding step, since agents
// find the holder by themselves.
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

// holderByConnectionID returns the backend server encoded in a QUIC connection ID,
// or nil if there is none or it is dead.
func (b *Balancer) holderByConnectionID(sp *servicePlan, p *currantturn.Packet) *currantturn.BackendServer {
	if b.opts.ConnIDs == nil || p.Mark == currantturn.MarkNone {
		return nil
	}
	id := connid.DestinationID(p.Payload)
	if len(id) != connid.Bytes {
		return nil
	}
	for key := range b.opts.ConnIDs.KeyCount() {
		i, ok := sp.indexBySeed[b.opts.ConnIDs.DecryptSeed(key, id)]
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
