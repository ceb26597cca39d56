package membership

import (
	"net/netip"
	"time"

	"github.com/currantturn/currantturn"
	"github.com/currantturn/currantturn/internal/event"
)

// Tick sends the probes that are due and acts on those that stay unanswered.
func (l *List) Tick(now time.Time, load currantturn.Load, out *currantturn.Effects) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ensureStarted(now)
	if l.stopped {
		return
	}
	l.load = load
	if m := l.byID[l.opts.ID]; m != nil {
		m.Load = load
		m.RecentPlacements = 0
	}
	l.detectPause(now, out)
	l.checkProbes(now, out)
	l.declareDead(now, out)
	for !l.nextProbe.After(now) {
		l.probeNext(now, out)
		l.nextProbe = l.nextProbe.Add(ProbeInterval)
		if now.Sub(l.nextProbe) > ProbeInterval {
			l.nextProbe = now.Add(ProbeInterval)
		}
	}
}

// detectPause detects a pause of this process. It then drops the probes and restarts
// the timers, because the time of the pause must not count against the peers.
func (l *List) detectPause(now time.Time, out *currantturn.Effects) {
	gap := now.Sub(l.lastTick)
	l.lastTick = now
	if gap < PauseGap {
		return
	}
	l.counters.Pauses++
	l.probes = l.probes[:0]
	l.relays = l.relays[:0]
	l.staleUntil = now.Add(StaleFor)
	for _, m := range l.members {
		m.changedAt = now
	}
	out.Event(event.PauseDetected, event.F("pause", gap))
}

// checkProbes renews the channels of unanswered probes and suspects peers that
// still do not reply.
func (l *List) checkProbes(now time.Time, out *currantturn.Effects) {
	kept := l.probes[:0]
	for _, p := range l.probes {
		m := l.byID[p.id]
		if m == nil || m.State == Dead {
			continue
		}
		waited := now.Sub(p.sent)
		if waited >= SuspectAfter {
			l.suspect(now, m, out)
			continue
		}
		if waited >= ChannelTimeout && !p.channelRenewed {
			p.channelRenewed = true
			l.renewChannel(now, m, &p, out)
		}
		kept = append(kept, p)
	}
	l.probes = kept
}

// renewChannel gives the channel to an unresponsive peer a fresh socket, repeats the
// probe through it and requests other members to probe the peer.
func (l *List) renewChannel(now time.Time, m *Member, p *probe, out *currantturn.Effects) {
	l.counters.Renewals++
	m.channelRenewedAt = now
	out.SocketRenewals = append(out.SocketRenewals, m.Server.Agent)
	out.Event(event.ChannelSilent, event.F("peer", m.Server.ID), event.F("silence", now.Sub(p.sent)))
	out.Send(m.Server.Agent, l.newPing(m, p.seq))
	for range indirectProbes {
		helper := l.members[l.rng.IntN(len(l.members))]
		if helper != m && helper.Server.ID != l.opts.ID && helper.State == Alive {
			out.Send(helper.Server.Agent, PingRequest{Seq: p.seq, Target: m.Server.ID})
		}
	}
}

// suspect raises a suspicion about a member that is alive.
func (l *List) suspect(now time.Time, m *Member, out *currantturn.Effects) {
	if m.State != Alive {
		return
	}
	u := m.lastUpdate
	u.State = Suspect
	l.applyUpdate(now, u, out)
}

// declareDead declares members dead whose suspicion was not refuted in time.
func (l *List) declareDead(now time.Time, out *currantturn.Effects) {
	for _, m := range l.members {
		if m.State != Suspect || now.Sub(m.changedAt) < DeadAfter {
			continue
		}
		u := m.lastUpdate
		u.State = Dead
		l.applyUpdate(now, u, out)
	}
}

// probeNext probes the next member in a random order of all members.
func (l *List) probeNext(now time.Time, out *currantturn.Effects) {
	if len(l.members) < 2 {
		return
	}
	for range 2 {
		if len(l.probeOrder) == 0 {
			l.probeOrder = l.rng.Perm(len(l.members))
		}
		m := l.members[l.probeOrder[0]]
		l.probeOrder = l.probeOrder[1:]
		if m.Server.ID != l.opts.ID {
			l.sendProbe(now, m, out)
			return
		}
	}
}

// sendProbe probes a member unless a probe of it is unanswered. Dead members are
// probed too, but their missing replies have no effect.
func (l *List) sendProbe(now time.Time, m *Member, out *currantturn.Effects) {
	for _, p := range l.probes {
		if p.id == m.Server.ID {
			return
		}
	}
	l.seq++
	l.counters.Probes++
	out.Send(m.Server.Agent, l.newPing(m, l.seq))
	if len(l.probes) < maxProbes && m.State != Dead {
		l.probes = append(l.probes, probe{id: m.Server.ID, seq: l.seq, sent: now})
	}
}

// ProbeNow probes a member at once, because data sent to it stays unanswered.
func (l *List) ProbeNow(now time.Time, id currantturn.BackendID, out *currantturn.Effects) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if m := l.byID[id]; m != nil && id != l.opts.ID && m.State == Alive {
		l.sendProbe(now, m, out)
	}
}

// newPing returns a Ping to a member, with the updates that are due.
func (l *List) newPing(m *Member, seq uint32) Ping {
	return Ping{
		Seq:      seq,
		Version:  l.version,
		From:     l.self,
		Load:     l.load,
		Receiver: m.lastUpdate,
		Draining: m.Server.State == currantturn.BackendDraining,
		Updates:  l.takeUpdates(),
	}
}

// Handle processes a message from a peer.
func (l *List) Handle(now time.Time, from netip.AddrPort, m currantturn.Message, out *currantturn.Effects) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ensureStarted(now)
	if l.stopped {
		return
	}
	switch m := m.(type) {
	case Ping:
		l.handlePing(now, from, m, out)
	case Ack:
		l.handleAck(now, m, out)
	case PingRequest:
		l.handlePingRequest(now, from, m, out)
	}
}

// handlePing records the sender's state, refutes a suspicion of this process and
// replies with an Ack.
func (l *List) handlePing(now time.Time, from netip.AddrPort, p Ping, out *currantturn.Effects) {
	l.recordContact(now, p.From, p.Load, p.Updates, out)
	if p.Receiver.ID == l.opts.ID {
		l.refute(now, p.Receiver, out)
	}
	l.noteDraining(now, p.Version, p.Draining)
	peer := l.byID[p.From.ID]
	out.Send(from, Ack{
		Seq:      p.Seq,
		Version:  l.version,
		From:     l.self,
		Load:     l.load,
		Draining: peer != nil && peer.Server.State == currantturn.BackendDraining,
		Updates:  l.takeUpdates(),
	})
}

// handleAck ends the probe that the Ack answers. The Ack to a probe on behalf of
// another agent is forwarded to that agent.
func (l *List) handleAck(now time.Time, a Ack, out *currantturn.Effects) {
	l.recordContact(now, a.From, a.Load, a.Updates, out)
	for i, p := range l.probes {
		if p.seq == a.Seq && p.id == a.From.ID {
			l.probes = append(l.probes[:i], l.probes[i+1:]...)
			l.noteDraining(now, a.Version, a.Draining)
			break
		}
	}
	for i, r := range l.relays {
		if r.probeSeq == a.Seq {
			l.relays = append(l.relays[:i], l.relays[i+1:]...)
			a.Seq = r.requestSeq
			out.Send(r.requester, a)
			break
		}
	}
}

// handlePingRequest probes the target on behalf of another agent, which gets the
// target's Ack from handleAck.
func (l *List) handlePingRequest(now time.Time, from netip.AddrPort, r PingRequest, out *currantturn.Effects) {
	m := l.byID[r.Target]
	if m == nil || r.Target == l.opts.ID {
		return
	}
	if len(l.relays) >= maxRelays {
		l.counters.DroppedRelays++
		l.relays = l.relays[1:]
	}
	l.seq++
	l.relays = append(l.relays, relay{requester: from, requestSeq: r.Seq, probeSeq: l.seq})
	out.Send(m.Server.Agent, l.newPing(m, l.seq))
}

// recordContact records a message received from a member itself: its state, its
// load and the updates about other members.
func (l *List) recordContact(now time.Time, u Update, load currantturn.Load, updates []Update, out *currantturn.Effects) {
	for _, other := range updates {
		l.applyUpdate(now, other, out)
	}
	l.applyUpdate(now, u, out)
	m := l.byID[u.ID]
	if m == nil || u.ID == l.opts.ID || u.Incarnation < m.lastUpdate.Incarnation {
		return
	}
	m.lastReceived = now
	m.Load = load
	m.RecentPlacements = 0
	l.reportLoad(now, m)
	if !m.channelRenewedAt.IsZero() {
		out.Event(event.ChannelRestored, event.F("peer", u.ID), event.F("elapsed", now.Sub(m.channelRenewedAt)))
		m.channelRenewedAt = time.Time{}
	}
}

// reportLoad passes a member's load to the callback, without slots if the member
// takes no new work.
func (l *List) reportLoad(now time.Time, m *Member) {
	if l.opts.OnLoad == nil {
		return
	}
	load := m.Load
	if !m.MayTakeWork() {
		load.Slots = 0
	}
	l.opts.OnLoad(now, m.Server.ID, load)
}

// noteDraining records that this process is draining in a peer's configuration, if
// that is newer than its own. It then leaves before it has that configuration.
func (l *List) noteDraining(now time.Time, v currantturn.Version, draining bool) {
	if !draining || v <= l.version || v <= l.drainingVersion {
		return
	}
	l.drainingVersion = v
	l.refresh(now)
}
