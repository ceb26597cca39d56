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

// decision is one packet under decision.
type decision struct {
	now    time.Time
	from   netip.AddrPort
	env    *currantturn.Envelope
	plan   *plan
	hash   uint64
	key    flow.Key
	connHash   uint32 // hash of the connection ID in an opening QUIC packet
	shard  *flow.Shard
	shardIndex int // of the shard
	out    *currantturn.Effects
}

// Route delivers a packet of a flow that is held here and sends on all others.
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
	d.hash = a.opts.Key.Flow(e.Packet.Flow)
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

// routeByConnectionID follows the backend server in a QUIC connection ID, whatever
// address the packet came from.
func (a *Agent) routeByConnectionID(d *decision) bool {
	if a.opts.ConnIDs == nil || d.env.Packet.Mark == currantturn.MarkNone {
		return false
	}
	id := connid.Destination(d.env.Packet.Payload)
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
		a.hold(d, flow.Silent)
		a.deliver(d)
		return true
	}
	if !a.members.Lost(d.now, holder.ID) {
		a.forward(d, holder.ID, currantturn.IntentHeld)
		return true
	}
	// The holder is dead: a stateless reset tells the caller at once.
	a.deliver(d)
	return true
}

func (a *Agent) connectionHolder(p *plan, id []byte) *currantturn.BackendServer {
	for key := range a.opts.ConnIDs.Keys() {
		if b := p.backendBySeed[a.opts.ConnIDs.Seed(key, id)]; b != nil {
			return b
		}
	}
	return nil
}

// routeByRecord follows what is known of the flow.
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

// isOutdated says whether a redirect contradicts the agent that sent the packet.
// A placement counts when this agent was fenced off before, or placed the flow
// itself and gets it back from agents that leave; a second copy of a placement
// that this agent passed on does not. A redirect to the very sender is wrong.
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

// routeHeld delivers a packet of a flow that is held here.
func (a *Agent) routeHeld(d *decision, r *flow.Record) {
	if d.env.Packet.Mark == currantturn.MarkOpening && a.redirectNewWork(d, r) {
		return
	}
	r.Seen = flow.StampOf(d.now)
	if d.env.Packet.Mark == currantturn.MarkClosing {
		r.Set(flow.Closed)
	}
	a.deliver(d)
	if d.env.Hops > 0 {
		a.sendHint(d, a.opts.ID)
	}
}

// redirectNewWork handles an opening packet on a known flow. A repeated one belongs to
// the flow; a new connection of the same caller, or a flow that was closed, is
// new work, which a leaving backend server passes on.
func (a *Agent) redirectNewWork(d *decision, r *flow.Record) bool {
	if d.connHash == r.Conn && !r.Has(flow.Closed) {
		return false
	}
	if !a.members.Leaving() {
		r.Conn = d.connHash
		r.Clear(flow.Closed)
		return false
	}
	// The record stays: packets of the earlier connection still arrive here.
	next := a.ids.ID(r.Holder)
	if next == "" {
		id, ok := a.chooseBackend(d.now, d.hash)
		if !ok || id == a.opts.ID {
			a.reject(d, "no backend server takes new work")
			return true
		}
		next = id
		r.Holder = a.ids.Ref(id)
		r.Set(flow.Silent)
	}
	a.forward(d, next, currantturn.IntentPlace)
	return true
}

// routeRedirected sends a packet to the recorded holder.
func (a *Agent) routeRedirected(d *decision, r *flow.Record) {
	holder := a.ids.ID(r.Holder)
	opening := d.env.Packet.Mark == currantturn.MarkOpening
	_, hasAddress := d.plan.agentAddress(holder)
	lost := !hasAddress || a.members.Lost(d.now, holder)
	if opening && !r.Has(flow.Used) {
		// Nothing but opening packets came so far: the caller has no answer yet.
		m, ok := a.members.Get(holder)
		lost = lost || (ok && m.State == membershipDead)
	}
	if !opening {
		r.Set(flow.Used)
	}
	switch {
	case holder == a.opts.ID, holder == "", lost:
		// Nobody holds the flow any more; data packets are reset here.
		if opening || d.env.Packet.Mark == currantturn.MarkNone {
			d.shard.Delete(r)
			a.routeUnknown(d)
			return
		}
		a.deliver(d)
	default:
		r.Seen = flow.StampOf(d.now)
		a.forward(d, holder, currantturn.IntentHeld)
	}
}

// routeUnknown handles a packet of a flow without a record.
func (a *Agent) routeUnknown(d *decision) {
	opening := d.env.Packet.Mark == currantturn.MarkOpening
	switch d.env.Intent {
	case currantturn.IntentPlace:
		a.acceptPlacement(d)
		return
	case currantturn.IntentHeld:
		if opening {
			// It overtook the packet that placed the flow here.
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

// forwardToHome sends a packet to the home by this agent's ranking, unless the
// balancer skipped that home or the rankings differ too much.
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

// possibleHolders lists the agents that may have placed the flow already: its homes by
// recent rankings and by the balancer's.
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

func (a *Agent) addressOf(p *plan, id currantturn.BackendID) netip.AddrPort {
	addr, _ := p.agentAddress(id)
	return addr
}

func (a *Agent) deliver(d *decision) {
	a.counts.delivered.Add(1)
	d.out.Delivers = append(d.out.Delivers, d.env.Packet)
}

// forward sends the packet to another agent.
func (a *Agent) forward(d *decision, to currantturn.BackendID, intent currantturn.Intent) {
	addr, ok := d.plan.agentAddress(to)
	if !ok {
		a.reject(d, "holder has no address")
		return
	}
	a.counts.redirected.Add(1)
	next := currantturn.Forward{To: addr, Envelope: *d.env}
	next.Envelope.Intent = intent
	next.Envelope.Hops++
	d.out.Forwards = append(d.out.Forwards, next)
}

func (a *Agent) reject(d *decision, reason string) {
	a.counts.rejected.Add(1)
	d.out.Event(event.FlowRejected, event.F("flow", d.env.Packet.Flow), event.F("service", a.opts.Service),
		event.F("reason", reason))
}

// sendHint tells the packet's balancer who holds the flow.
func (a *Agent) sendHint(d *decision, holder currantturn.BackendID) {
	if !d.env.Balancer.IsValid() || !a.outbox.allowHint(d.now) {
		return
	}
	d.out.Send(d.env.Balancer, hint.Hint{Hash: d.hash, Holder: holder})
}
