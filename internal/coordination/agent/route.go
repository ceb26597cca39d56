package agent

import (
	"net/netip"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/currantturn/currantturn"
	"github.com/currantturn/currantturn/internal/event"
	"github.com/currantturn/currantturn/internal/protocol/connid"
	"github.com/currantturn/currantturn/internal/state/flow"
	"github.com/currantturn/currantturn/internal/state/hint"
)

// decision holds a packet and what is needed to route it; the shard is locked.
type decision struct {
	now        time.Time
	from       netip.AddrPort // link address of the sender; zero for a queued packet
	env        *currantturn.Envelope
	plan       *plan
	hash       uint64
	key        flow.Key
	connHash   uint32 // hash of the connection ID in an opening QUIC packet, else 0
	shard      *flow.Shard
	shardIndex int
	out        *currantturn.Effects
}

// Route delivers a packet of a flow that is held here and forwards any other. It
// may queue the packet while it searches for the flow's holder.
func (a *Agent) Route(now time.Time, from netip.AddrPort, e *currantturn.Envelope, out *currantturn.Effects) {
	if e.Service != a.opts.Service || e.Direction != currantturn.ToBackend {
		a.counts.foreignService.Add(1)
		return
	}
	a.balancers.recordPacket(now, e.Balancer)
	p := a.plan.Load()
	if p == nil {
		a.counts.unconfigured.Add(1)
		return
	}
	if e.Hops >= maxHops {
		a.counts.hopLimit.Add(1)
		out.Event(event.HopLimitReached, event.F("flow", e.Packet.Flow), event.F("hops", e.Hops))
		return
	}
	d := &decision{now: now, from: from, env: e, plan: p, out: out}
	d.hash = a.opts.Key.HashFlow(e.Packet.Flow)
	d.key = flow.KeyOf(e.Packet.Flow)
	d.shardIndex = flow.ShardOf(d.hash)
	d.shard = a.table.At(d.shardIndex)
	d.shard.Lock()
	defer d.shard.Unlock()
	if a.routeByConnectionID(d) {
		return
	}
	a.routeByRecord(d)
}

// routeByConnectionID routes a packet to the backend server in its QUIC connection
// ID, regardless of the caller's address. It returns false if there is none.
func (a *Agent) routeByConnectionID(d *decision) bool {
	if a.opts.ConnIDs == nil || d.env.Packet.Mark == currantturn.MarkNone {
		return false
	}
	id := connid.DestinationID(d.env.Packet.Payload)
	if d.env.Packet.Mark == currantturn.MarkOpening {
		d.connHash = uint32(xxhash.Sum64(id))
	}
	if len(id) != connid.Bytes {
		return false
	}
	holder := a.connectionHolder(d.plan, id)
	if holder == nil {
		return false
	}
	if holder.ID == a.opts.ID {
		// Other agents find the holder by the connection ID, without an announcement.
		a.hold(d, flow.Unannounced)
		a.deliver(d)
		return true
	}
	if !a.members.Lost(d.now, holder.ID) {
		a.forward(d, holder.ID, currantturn.IntentHeld)
		return true
	}
	// The holder is dead: a stateless reset from this backend server ends the
	// caller's connection at once.
	a.deliver(d)
	return true
}

// connectionHolder returns the backend server in a QUIC connection ID, or nil.
func (a *Agent) connectionHolder(p *plan, id []byte) *currantturn.BackendServer {
	for key := range a.opts.ConnIDs.KeyCount() {
		if b := p.backendBySeed[a.opts.ConnIDs.DecryptSeed(key, id)]; b != nil {
			return b
		}
	}
	return nil
}

// routeByRecord routes a packet by the search or the record of its flow, if any.
func (a *Agent) routeByRecord(d *decision) {
	if s := a.searches[d.shardIndex][d.hash]; s != nil && s.key == d.key {
		a.joinSearch(s, d)
		return
	}
	r := d.shard.Get(d.hash, &d.key)
	switch {
	case r == nil:
		a.routeUnknown(d)
	case r.Has(flow.Held):
		a.routeHeld(d, r)
	case a.isOutdated(d, r):
		d.shard.Delete(r)
		a.routeUnknown(d)
	default:
		a.routeRedirected(d, r)
	}
}

// isOutdated reports whether the packet shows that a redirect is wrong. A placement
// here shows it if the redirect was recorded for another agent's query, or if this
// agent placed the flow itself and leaving agents forwarded it back. A duplicate of
// a placement that this agent only forwarded does not. A packet sent to this agent
// as the holder shows it if the sender is the recorded holder.
func (a *Agent) isOutdated(d *decision, r *flow.Record) bool {
	switch d.env.Intent {
	case currantturn.IntentPlace:
		return r.Has(flow.Fenced) || r.Has(flow.Placed)
	case currantturn.IntentHeld:
		return d.from.IsValid() && d.plan.idByAgent[d.from] == a.ids.ID(r.Holder)
	default:
		return false
	}
}

// routeHeld delivers a packet of a flow that is held here, and sends its balancer a
// hint if another agent forwarded it.
func (a *Agent) routeHeld(d *decision, r *flow.Record) {
	if d.env.Packet.Mark == currantturn.MarkOpening && a.redirectNewWork(d, r) {
		return
	}
	r.LastSeen = flow.StampOf(d.now)
	if d.env.Packet.Mark == currantturn.MarkClosing {
		r.Set(flow.Closed)
	}
	a.deliver(d)
	if d.env.Hops > 0 {
		a.sendHint(d, a.opts.ID)
	}
}

// redirectNewWork checks an opening packet of a held flow and reports whether it
// forwarded or rejected the packet. A retransmitted opening packet belongs to the
// flow. A new connection of the same caller, or one on a closed flow, is new work,
// which a leaving backend server forwards.
func (a *Agent) redirectNewWork(d *decision, r *flow.Record) bool {
	if d.connHash == r.ConnIDHash && !r.Has(flow.Closed) {
		return false
	}
	if !a.members.Leaving() {
		r.ConnIDHash = d.connHash
		r.Clear(flow.Closed)
		return false
	}
	// The record stays, because packets of the earlier connection still arrive here.
	next := a.ids.ID(r.Holder)
	if next == "" {
		id, ok := a.chooseBackend(d.now, d.hash)
		if !ok || id == a.opts.ID {
			a.reject(d, "no backend server accepts new work")
			return true
		}
		next = id
		r.Holder = a.ids.Ref(id)
		r.Set(flow.Unannounced)
	}
	a.forward(d, next, currantturn.IntentPlace)
	return true
}

// routeRedirected forwards a packet to the recorded holder. If the holder is lost,
// it handles the flow as unknown or delivers the packet here to be reset.
func (a *Agent) routeRedirected(d *decision, r *flow.Record) {
	holder := a.ids.ID(r.Holder)
	opening := d.env.Packet.Mark == currantturn.MarkOpening
	_, hasAddress := d.plan.agentAddress(holder)
	lost := !hasAddress || a.members.Lost(d.now, holder)
	if opening && !r.Has(flow.Established) {
		// Only opening packets have arrived: the caller has no answer yet, so the
		// flow can be placed again as soon as the holder is dead.
		m, ok := a.members.Get(holder)
		lost = lost || (ok && m.State == membershipDead)
	}
	if !opening {
		r.Set(flow.Established)
	}
	switch {
	case holder == a.opts.ID, holder == "", lost:
		// No agent holds the flow any more; this backend server resets data packets.
		if opening || d.env.Packet.Mark == currantturn.MarkNone {
			d.shard.Delete(r)
			a.routeUnknown(d)
			return
		}
		a.deliver(d)
	default:
		r.LastSeen = flow.StampOf(d.now)
		a.forward(d, holder, currantturn.IntentHeld)
	}
}

// routeUnknown routes a packet of a flow without a record: it accepts a placement,
// forwards to the home, searches for the holder, or places the flow.
func (a *Agent) routeUnknown(d *decision) {
	opening := d.env.Packet.Mark == currantturn.MarkOpening
	switch d.env.Intent {
	case currantturn.IntentPlace:
		a.acceptPlacement(d)
		return
	case currantturn.IntentHeld:
		if opening {
			// The packet overtook the one that placed the flow here.
			a.acceptPlacement(d)
			return
		}
		a.startSearch(d, nil)
		return
	}
	ranks := d.plan.ranks(d.hash)
	if home := ranks[0]; home != a.opts.ID && a.forwardToHome(d, home) {
		return
	}
	if !opening {
		a.startSearch(d, nil)
		return
	}
	if agents := a.possibleHolders(d, ranks); len(agents) > 0 {
		a.startSearch(d, agents)
		return
	}
	a.place(d)
}

// forwardToHome forwards a packet to the home in this agent's ranking and reports
// whether it did. It does not if the balancer ranked the same home first and the
// packet came here nevertheless, if so many agents were passed that their rankings
// differ too much, or if the home is not alive.
func (a *Agent) forwardToHome(d *decision, home currantturn.BackendID) bool {
	if home == "" || d.env.Hops >= maxTrustedHops || d.env.Ranks[0] == home {
		return false
	}
	m, ok := a.members.Get(home)
	if !ok || m.State != membershipAlive {
		return false
	}
	a.forward(d, home, currantturn.IntentRoute)
	return true
}

// possibleHolders returns the agents that may have placed the flow already: its
// homes in this agent's current and recent rankings and in the balancer's. After a
// pause or a start of this process it includes the next two ranks. Dead agents and
// the sender of the packet are left out.
func (a *Agent) possibleHolders(d *decision, ranks [currantturn.MaxRanks]currantturn.BackendID) []currantturn.BackendID {
	var agents []currantturn.BackendID
	add := func(id currantturn.BackendID) {
		if id == "" || id == a.opts.ID || contains(agents, id) || d.from == a.addressOf(d.plan, id) {
			return
		}
		if m, ok := a.members.Get(id); ok && m.State == membershipDead {
			return
		}
		agents = append(agents, id)
	}
	add(ranks[0])
	add(d.env.Ranks[0])
	for _, old := range d.plan.earlier {
		if d.now.Sub(old.replacedAt) < EarlierHomeWindow {
			top := old.ranks(d.hash)
			add(top[0])
		}
	}
	if a.members.Stale(d.now) {
		add(ranks[1])
		add(ranks[2])
	}
	return agents
}

func contains(ids []currantturn.BackendID, id currantturn.BackendID) bool {
	for _, other := range ids {
		if other == id {
			return true
		}
	}
	return false
}

// addressOf returns the address of an agent, or the zero address if unknown.
func (a *Agent) addressOf(p *plan, id currantturn.BackendID) netip.AddrPort {
	addr, _ := p.agentAddress(id)
	return addr
}

// deliver passes the packet to this backend server.
func (a *Agent) deliver(d *decision) {
	a.counts.delivered.Add(1)
	d.out.Deliveries = append(d.out.Deliveries, d.env.Packet)
}

// forward sends the packet to another agent, or rejects it if the agent's address
// is unknown.
func (a *Agent) forward(d *decision, to currantturn.BackendID, intent currantturn.Intent) {
	addr, ok := d.plan.agentAddress(to)
	if !ok {
		a.reject(d, "address of the holder is unknown")
		return
	}
	a.counts.redirected.Add(1)
	next := currantturn.Forward{To: addr, Envelope: *d.env}
	next.Envelope.Intent = intent
	next.Envelope.Hops++
	d.out.Forwards = append(d.out.Forwards, next)
}

// reject counts and reports a packet that cannot be routed.
func (a *Agent) reject(d *decision, reason string) {
	a.counts.rejected.Add(1)
	d.out.Event(event.FlowRejected, event.F("flow", d.env.Packet.Flow), event.F("service", a.opts.Service),
		event.F("reason", reason))
}

// sendHint sends the flow's holder to the packet's balancer, within the rate limit.
func (a *Agent) sendHint(d *decision, holder currantturn.BackendID) {
	if !d.env.Balancer.IsValid() || !a.outbox.allowHint(d.now) {
		return
	}
	d.out.Send(d.env.Balancer, hint.Hint{Hash: d.hash, Holder: holder})
}
