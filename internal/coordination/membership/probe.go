package membership

import (
	"net/netip"
	"time"

	"github.com/currantturn/currantturn"
	"github.com/currantturn/currantturn/internal/event"
)

// Tick sends due probes and judges the unanswered ones.
func (l *List) Tick(now time.Time, load currantturn.Load, out *currantturn.Effects) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.start(now)
	if l.ended {
		return
	}
	l.load = load
	if m := l.byID[l.opts.ID]; m != nil {
		m.Load = load
		m.Recent = 0
	}
	l.detectPause(now, out)
	l.judge(now, out)
	l.expire(now, out)
	for !l.nextProbe.After(now) {
		l.probeNext(now, out)
		l.nextProbe = l.nextProbe.Add(ProbeEvery)
		if now.Sub(l.nextProbe) > ProbeEvery {
			l.nextProbe = now.Add(ProbeEvery)
		}
	}
}

// detectPause drops every verdict that the pause itself would cause.
func (l *List) detectPause(now time.Time, out *currantturn.Effects) {
	gap := now.Sub(l.lastTick)
	l.lastTick = now
	if gap < PauseGap {
		return
	}
	l.counters.Pauses++
	l.probes = l.probes[:0]
	l.relays = l.relays[:0]
	l.stale = now.Add(StaleFor)
	for _, m := range l.members {
		m.changed = now
	}
	out.Event(event.PauseDetected, event.F("pause", gap))
}

// judge renews silent channels and suspects peers that still do not answer.
func (l *List) judge(now time.Time, out *currantturn.Effects) {
	kept := l.probes[:0]
	for _, p := range l.probes {
		m := l.byID[p.id]
		if m == nil || m.State == Dead {
			continue
		}
		silence := now.Sub(p.sent)
		if silence >= SuspectAfter {
			l.suspect(now, m, out)
			continue
		}
		if silence >= ChannelTimeout && !p.renewed {
			p.renewed = true
			l.renew(now, m, &p, out)
		}
		kept = append(kept, p)
	}
	l.probes = kept
}

func (l *List) renew(now time.Time, m *Member, p *probe, out *currantturn.Effects) {
	l.counters.Renewals++
	m.silent = now
	out.Renews = append(out.Renews, m.Server.Agent)
	out.Event(event.ChannelSilent, event.F("peer", m.Server.ID), event.F("silence", now.Sub(p.sent)))
	out.Send(m.Server.Agent, l.ping(m, p.seq))
	for range indirectProbes {
		via := l.members[l.rng.IntN(len(l.members))]
		if via != m && via.Server.ID != l.opts.ID && via.State == Alive {
			out.Send(via.Server.Agent, PingRequest{Seq: p.seq, Target: m.Server.ID})
		}
	}
}

func (l *List) suspect(now time.Time, m *Member, out *currantturn.Effects) {
	if m.State != Alive {
		return
	}
	u := m.known
	u.State = Suspect
	l.learn(now, u, out)
}

// expire declares members dead whose suspicion was not refuted.
func (l *List) expire(now time.Time, out *currantturn.Effects) {
	for _, m := range l.members {
		if m.State != Suspect || now.Sub(m.changed) < DeadAfter {
			continue
		}
		u := m.known
		u.State = Dead
		l.learn(now, u, out)
	}
}

// probeNext pings the next member of a random order that visits all.
func (l *List) probeNext(now time.Time, out *currantturn.Effects) {
	if len(l.members) < 2 {
		return
	}
	for range 2 {
		if len(l.order) == 0 {
			l.order = l.rng.Perm(len(l.members))
		}
		m := l.members[l.order[0]]
		l.order = l.order[1:]
		if m.Server.ID != l.opts.ID {
			l.probe(now, m, out)
			return
		}
	}
}

func (l *List) probe(now time.Time, m *Member, out *currantturn.Effects) {
	for _, p := range l.probes {
		if p.id == m.Server.ID {
			return
		}
	}
	l.seq++
	l.counters.Probes++
	out.Send(m.Server.Agent, l.ping(m, l.seq))
	if len(l.probes) < maxProbes && m.State != Dead {
		l.probes = append(l.probes, probe{id: m.Server.ID, seq: l.seq, sent: now})
	}
}

// Doubt probes a member at once, because data to it stays unanswered.
func (l *List) Doubt(now time.Time, id currantturn.BackendID, out *currantturn.Effects) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if m := l.byID[id]; m != nil && id != l.opts.ID && m.State == Alive {
		l.probe(now, m, out)
	}
}

func (l *List) ping(m *Member, seq uint32) Ping {
	return Ping{
		Seq:      seq,
		Version:  l.version,
		From:     l.self,
		Load:     l.load,
		Receiver: m.known,
		Draining: m.Server.State == currantturn.BackendDraining,
		Updates:  l.gossip(),
	}
}

// Handle takes a message of a peer.
func (l *List) Handle(now time.Time, from netip.AddrPort, m currantturn.Message, out *currantturn.Effects) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.start(now)
	if l.ended {
		return
	}
	switch m := m.(type) {
	case Ping:
		l.handlePing(now, from, m, out)
	case Ack:
		l.handleAck(now, m, out)
	case PingRequest:
		l.handleRequest(now, from, m, out)
	}
}

func (l *List) handlePing(now time.Time, from netip.AddrPort, p Ping, out *currantturn.Effects) {
	l.hear(now, p.From, p.Load, p.Updates, out)
	if p.Receiver.ID == l.opts.ID {
		l.refute(now, p.Receiver, out)
	}
	l.told(now, p.Version, p.Draining)
	peer := l.byID[p.From.ID]
	out.Send(from, Ack{
		Seq:      p.Seq,
		Version:  l.version,
		From:     l.self,
		Load:     l.load,
		Draining: peer != nil && peer.Server.State == currantturn.BackendDraining,
		Updates:  l.gossip(),
	})
}

func (l *List) handleAck(now time.Time, a Ack, out *currantturn.Effects) {
	l.hear(now, a.From, a.Load, a.Updates, out)
	for i, p := range l.probes {
		if p.seq == a.Seq && p.id == a.From.ID {
			l.probes = append(l.probes[:i], l.probes[i+1:]...)
			l.told(now, a.Version, a.Draining)
			break
		}
	}
	for i, r := range l.relays {
		if r.mine == a.Seq {
			l.relays = append(l.relays[:i], l.relays[i+1:]...)
			a.Seq = r.seq
			out.Send(r.asker, a)
			break
		}
	}
}

func (l *List) handleRequest(now time.Time, from netip.AddrPort, r PingRequest, out *currantturn.Effects) {
	m := l.byID[r.Target]
	if m == nil || r.Target == l.opts.ID {
		return
	}
	if len(l.relays) >= maxRelays {
		l.counters.DroppedRelay++
		l.relays = l.relays[1:]
	}
	l.seq++
	l.relays = append(l.relays, relay{asker: from, seq: r.Seq, mine: l.seq})
	out.Send(m.Server.Agent, l.ping(m, l.seq))
}

// hear takes first-hand news of a member.
func (l *List) hear(now time.Time, u Update, load currantturn.Load, updates []Update, out *currantturn.Effects) {
	for _, other := range updates {
		l.learn(now, other, out)
	}
	l.learn(now, u, out)
	m := l.byID[u.ID]
	if m == nil || u.ID == l.opts.ID || u.Incarnation < m.known.Incarnation {
		return
	}
	m.heard = now
	m.Load = load
	m.Recent = 0
	l.pass(now, m)
	if !m.silent.IsZero() {
		out.Event(event.ChannelRestored, event.F("peer", u.ID), event.F("elapsed", now.Sub(m.silent)))
		m.silent = time.Time{}
	}
}

// pass hands a member's load on; one that takes no new work has no slots.
func (l *List) pass(now time.Time, m *Member) {
	if l.opts.Heard == nil {
		return
	}
	load := m.Load
	if !m.MayTakeWork() {
		load.Slots = 0
	}
	l.opts.Heard(now, m.Server.ID, load)
}

// told takes from a peer at a newer version that this process is draining.
func (l *List) told(now time.Time, v currantturn.Version, draining bool) {
	if !draining || v <= l.version || v <= l.toldAt {
		return
	}
	l.toldAt = v
	l.refresh(now)
}
