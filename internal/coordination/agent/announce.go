package agent

import (
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/currantturn/currantturn"
	"github.com/currantturn/currantturn/internal/coordination/membership"
	"github.com/currantturn/currantturn/internal/event"
	"github.com/currantturn/currantturn/internal/state/flow"
)

// batch is an announcement of flows of one holder to one agent.
type batch struct {
	seq      uint32
	to       currantturn.BackendID
	holder   currantturn.BackendID
	keys     [][]byte
	lastSent time.Time
	attempts int
}

// outbox limits the rate of announcements and hints, and retransmits announcements
// that are not acknowledged.
type outbox struct {
	mu          sync.Mutex
	batches     []*batch
	seq         uint32
	byteBudget  float64   // bytes of announcements that may be sent now
	hintBudget  float64   // hints that may be sent now
	bytesFilled time.Time // last refill of byteBudget
	hintsFilled time.Time // last refill of hintBudget
}

// enqueue adds a flow to an unsent announcement or to a new one; it returns false
// if the outbox is full.
func (o *outbox) enqueue(to, holder currantturn.BackendID, key *flow.Key) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, b := range o.batches {
		if b.to == to && b.holder == holder && b.attempts == 0 && len(b.keys) < maxBatchKeys {
			b.keys = append(b.keys, slices.Clone(key[:]))
			return true
		}
	}
	if len(o.batches) >= maxBatches {
		return false
	}
	o.seq++
	o.batches = append(o.batches, &batch{seq: o.seq, to: to, holder: holder, keys: [][]byte{slices.Clone(key[:])}})
	return true
}

// acknowledge removes an announcement that was sent.
func (o *outbox) acknowledge(seq uint32) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.batches = slices.DeleteFunc(o.batches, func(b *batch) bool { return b.seq == seq && b.attempts > 0 })
}

// allowHint reports whether a hint may be sent now, and deducts it from the budget.
func (o *outbox) allowHint(now time.Time) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.hintBudget = min(o.hintBudget+now.Sub(o.hintsFilled).Seconds()*HintsPerSecond, HintsPerSecond)
	o.hintsFilled = now
	if o.hintBudget < 1 {
		return false
	}
	o.hintBudget--
	return true
}

// flush sends new and unacknowledged announcements within the budget of bytes. A
// retransmission also probes the receiver.
func (o *outbox) flush(now time.Time, a *Agent, p *plan, out *currantturn.Effects) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.byteBudget = min(o.byteBudget+now.Sub(o.bytesFilled).Seconds()*AnnounceBytesPerSecond, announceBurst)
	o.bytesFilled = now
	o.batches = slices.DeleteFunc(o.batches, func(b *batch) bool { return a.dropUndeliverable(p, b) })
	for _, b := range o.batches {
		if b.attempts > 0 && now.Sub(b.lastSent) < AnnounceTimeout {
			continue
		}
		cost := float64(announceHeaderBytes + announcedFlowBytes*len(b.keys))
		if cost > o.byteBudget {
			return
		}
		o.byteBudget -= cost
		if b.attempts > 0 {
			a.members.ProbeNow(now, b.to, out)
		}
		b.attempts++
		b.lastSent = now
		a.counts.announced.Add(uint64(len(b.keys)))
		out.Send(a.addressOf(p, b.to), Announce{Seq: b.seq, Holder: b.holder, Keys: b.keys})
	}
}

// dropUndeliverable reports whether an announcement is to be removed, because its
// receiver is dead or not configured or maxAttempts is reached, and counts it.
func (a *Agent) dropUndeliverable(p *plan, b *batch) bool {
	m, ok := a.members.Get(b.to)
	_, hasAddress := p.agentAddress(b.to)
	if hasAddress && (!ok || m.State != membership.Dead) && b.attempts < maxAttempts {
		return false
	}
	a.counts.announceDrops.Add(uint64(len(b.keys)))
	return true
}

// sweep visits the next part of the table. It removes idle records and queues the
// due announcements of held flows.
func (a *Agent) sweep(now time.Time, p *plan, out *currantturn.Effects) {
	a.mu.Lock()
	defer a.mu.Unlock()
	stamp := flow.StampOf(now)
	remaining := sweepMaxRecords
	for range sweepMaxShards {
		s := a.table.At(a.nextSweepShard)
		s.Lock()
		outboxFull := false
		shardDone := s.Sweep(remaining, func(r *flow.Record) bool {
			remaining--
			if a.expireIfIdle(s, r, stamp, out) {
				return true
			}
			outboxFull = !a.queueAnnouncements(r, p, stamp)
			return !outboxFull
		})
		s.Unlock()
		if !shardDone {
			return
		}
		a.nextSweepShard = (a.nextSweepShard + 1) % flow.Shards
	}
}

// expireIfIdle removes a record whose timeout has passed and reports whether it did.
func (a *Agent) expireIfIdle(s *flow.Shard, r *flow.Record, now flow.Stamp, out *currantturn.Effects) bool {
	idleTime := r.LastSeen.Since(now)
	timeout := RedirectIdleTimeout
	switch {
	case r.Has(flow.Closed):
		timeout = ClosedFlowLifetime
	case r.Has(flow.Held):
		timeout = a.opts.IdleTimeout
	}
	if idleTime < timeout {
		return false
	}
	if r.Has(flow.Held) {
		a.counts.expired.Add(1)
		out.Event(event.FlowExpired, event.F("flow", r.Key.Flow()), event.F("service", a.opts.Service), event.F("idle", idleTime))
	}
	s.Delete(r)
	return true
}

// queueAnnouncements queues the announcement of a held flow to those of its two
// highest ranks that have not received it or are due for a refresh; it returns
// false if the outbox is full.
func (a *Agent) queueAnnouncements(r *flow.Record, p *plan, now flow.Stamp) bool {
	if !r.Has(flow.Held) || r.Has(flow.Unannounced) {
		return true
	}
	refreshDue := r.LastAnnounced.Since(now) >= RefreshInterval
	if r.AnnouncedEpoch == p.epoch && !r.Has(flow.Dirty) && !refreshDue {
		return true
	}
	ranks := p.ranks(r.Hash)
	home, second := a.ids.Ref(ranks[0]), a.ids.Ref(ranks[1])
	upToDate := func(to flow.Ref) bool {
		return (to == r.AnnouncedHome || to == r.AnnouncedSecond) && !refreshDue && r.AnnouncedEpoch >= p.recordsLostAt[to]
	}
	for i, to := range []flow.Ref{home, second} {
		if to == 0 || ranks[i] == a.opts.ID || upToDate(to) {
			continue
		}
		if !a.outbox.enqueue(ranks[i], a.opts.ID, &r.Key) {
			return false
		}
	}
	r.AnnouncedHome, r.AnnouncedSecond, r.AnnouncedEpoch, r.LastAnnounced = home, second, p.epoch, now
	r.Clear(flow.Dirty)
	return true
}

// handleAnnounce records the holder of the announced flows and sends an
// acknowledgement.
func (a *Agent) handleAnnounce(now time.Time, from netip.AddrPort, m Announce, out *currantturn.Effects) {
	p := a.plan.Load()
	if p == nil || p.service.Backend(m.Holder) == nil || m.Holder == a.opts.ID {
		return
	}
	holder := a.ids.Ref(m.Holder)
	fromHolder := p.idByAgent[from] == m.Holder
	for _, k := range m.Keys {
		if key, ok := flow.ParseKey(k); ok {
			a.applyAnnouncement(now, key, holder, fromHolder, p, out)
		}
	}
	out.Send(from, AnnounceAck{Seq: m.Seq})
}

// applyAnnouncement records the holder of one flow and ends a search for it. An
// existing redirect is replaced only if the holder itself sent the announcement.
func (a *Agent) applyAnnouncement(
	now time.Time, key flow.Key, holder flow.Ref, fromHolder bool, p *plan, out *currantturn.Effects,
) {
	hash := a.opts.Key.HashFlow(key.Flow())
	shard := a.table.Shard(hash)
	shard.Lock()
	defer shard.Unlock()
	if s := a.searches[flow.ShardOf(hash)][hash]; s != nil && s.key == key {
		a.endWithHolder(now, s, a.ids.ID(holder), p, out)
	}
	r := shard.Get(hash, &key)
	if r != nil && r.Has(flow.Held) {
		if !r.Has(flow.Unannounced) {
			a.counts.conflicts.Add(1)
		}
		return
	}
	if r != nil && !fromHolder {
		return
	}
	if r = shard.Put(hash, &key); r == nil {
		a.counts.tableFull.Add(1)
		return
	}
	used := r.Flags & flow.Established
	shard.Redirect(r, holder)
	r.Set(used)
	r.LastSeen = flow.StampOf(now)
}

// HandOver sends the redirects of a stopping process to the flows' next homes; it
// is called until it returns false.
func (a *Agent) HandOver(now time.Time, out *currantturn.Effects) bool {
	p := a.plan.Load()
	if p == nil {
		return false
	}
	n := a.queueRedirects(p)
	if n > 0 {
		out.Event(event.RecordsHandedOver, event.F("records", n))
	}
	a.outbox.flush(now, a, p, out)
	a.outbox.mu.Lock()
	defer a.outbox.mu.Unlock()
	return len(a.outbox.batches) > 0
}

// queueRedirects queues an announcement of each redirect that was not queued
// before, until the outbox is full, and returns how many it processed.
func (a *Agent) queueRedirects(p *plan) int {
	n := 0
	for i := range flow.Shards {
		s := a.table.At(i)
		s.Lock()
		s.Each(func(r *flow.Record) bool {
			if r.Has(flow.Held) || r.Has(flow.Unannounced) || r.Holder == 0 {
				return true
			}
			ranks := p.ranks(r.Hash)
			holder := a.ids.ID(r.Holder)
			if ranks[0] != a.opts.ID && ranks[0] != holder && !a.outbox.enqueue(ranks[0], holder, &r.Key) {
				return false
			}
			r.Set(flow.Unannounced) // queued; not to be queued again
			n++
			return true
		})
		s.Unlock()
	}
	return n
}
