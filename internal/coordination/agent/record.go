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

// batch is one announcement to one agent.
type batch struct {
	seq    uint32
	to     currantturn.BackendID
	holder currantturn.BackendID
	keys   [][]byte
	sent   time.Time
	tries  int
}

// outbox paces announcements and hints and repeats the unacknowledged.
type outbox struct {
	mu      sync.Mutex
	batches []*batch
	seq     uint32
	bytes   float64 // that may be sent now
	hints   float64 // that may be sent now
	filled  time.Time
	hinted  time.Time
}

// add queues a flow's announcement; it returns false when the outbox is full.
func (o *outbox) add(to, holder currantturn.BackendID, key *flow.Key) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, b := range o.batches {
		if b.to == to && b.holder == holder && b.tries == 0 && len(b.keys) < batchKeys {
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

func (o *outbox) acknowledge(seq uint32) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.batches = slices.DeleteFunc(o.batches, func(b *batch) bool { return b.seq == seq && b.tries > 0 })
}

func (o *outbox) takeHint(now time.Time) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.hints = min(o.hints+now.Sub(o.hinted).Seconds()*HintsPerSecond, HintsPerSecond)
	o.hinted = now
	if o.hints < 1 {
		return false
	}
	o.hints--
	return true
}

// flush sends what is due within the budget of bytes.
func (o *outbox) flush(now time.Time, a *Agent, p *plan, out *currantturn.Effects) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.bytes = min(o.bytes+now.Sub(o.filled).Seconds()*AnnounceBytesPerSecond, announceBurst)
	o.filled = now
	o.batches = slices.DeleteFunc(o.batches, func(b *batch) bool { return a.abandon(p, b) })
	for _, b := range o.batches {
		if b.tries > 0 && now.Sub(b.sent) < AnnounceTimeout {
			continue
		}
		cost := float64(batchBytes + recordBytes*len(b.keys))
		if cost > o.bytes {
			return
		}
		o.bytes -= cost
		if b.tries > 0 {
			a.members.Doubt(now, b.to, out)
		}
		b.tries++
		b.sent = now
		a.counts.announced.Add(uint64(len(b.keys)))
		out.Send(a.addressOf(p, b.to), Announce{Seq: b.seq, Holder: b.holder, Keys: b.keys})
	}
}

// abandon says whether an announcement has no receiver any more.
func (a *Agent) abandon(p *plan, b *batch) bool {
	m, ok := a.members.Get(b.to)
	_, known := p.address(b.to)
	if known && (!ok || m.State != membership.Dead) && b.tries < maxTries {
		return false
	}
	a.counts.announceDrops.Add(uint64(len(b.keys)))
	return true
}

// sweep expires idle records and announces held flows whose ranks changed.
func (a *Agent) sweep(now time.Time, p *plan, out *currantturn.Effects) {
	a.mu.Lock()
	defer a.mu.Unlock()
	stamp := flow.StampOf(now)
	left := sweepRecords
	for range sweepShards {
		s := a.table.At(a.sweepAt)
		s.Lock()
		full := false
		done := s.Sweep(left, func(r *flow.Record) bool {
			left--
			if a.expire(s, r, stamp, out) {
				return true
			}
			full = !a.announce(r, p, stamp)
			return !full
		})
		s.Unlock()
		if !done {
			return
		}
		a.sweepAt = (a.sweepAt + 1) % flow.Shards
	}
}

// expire removes a record that was idle for too long.
func (a *Agent) expire(s *flow.Shard, r *flow.Record, now flow.Stamp, out *currantturn.Effects) bool {
	idle := r.Seen.Since(now)
	limit := RedirectIdle
	switch {
	case r.Has(flow.Closed):
		limit = ClosedFor
	case r.Has(flow.Held):
		limit = a.opts.Idle
	}
	if idle < limit {
		return false
	}
	if r.Has(flow.Held) {
		a.counts.expired.Add(1)
		out.Event(event.FlowExpired, event.F("flow", r.Key.Flow()), event.F("service", a.opts.Service), event.F("idle", idle))
	}
	s.Delete(r)
	return true
}

// announce queues what the two highest ranks of a held flow do not know yet;
// it returns false when the outbox is full.
func (a *Agent) announce(r *flow.Record, p *plan, now flow.Stamp) bool {
	if !r.Has(flow.Held) || r.Has(flow.Silent) {
		return true
	}
	due := r.Told.Since(now) >= RefreshEvery
	if r.Epoch == p.epoch && !r.Has(flow.Dirty) && !due {
		return true
	}
	ranks := p.top(r.Hash)
	home, second := a.ids.Ref(ranks[0]), a.ids.Ref(ranks[1])
	told := func(to flow.Ref) bool {
		return (to == r.Home || to == r.Second) && !due && r.Epoch >= p.forgot[to]
	}
	for i, to := range []flow.Ref{home, second} {
		if to == 0 || ranks[i] == a.opts.ID || told(to) {
			continue
		}
		if !a.outbox.add(ranks[i], a.opts.ID, &r.Key) {
			return false
		}
	}
	r.Home, r.Second, r.Epoch, r.Told = home, second, p.epoch, now
	r.Clear(flow.Dirty)
	return true
}

// handleAnnounce records the holder of flows that rank here.
func (a *Agent) handleAnnounce(now time.Time, from netip.AddrPort, m Announce, out *currantturn.Effects) {
	p := a.plan.Load()
	if p == nil || p.service.Backend(m.Holder) == nil || m.Holder == a.opts.ID {
		return
	}
	holder := a.ids.Ref(m.Holder)
	first := p.byAgent[from] == m.Holder
	for _, k := range m.Keys {
		if key, ok := flow.ParseKey(k); ok {
			a.takeAnnounced(now, key, holder, first, p, out)
		}
	}
	out.Send(from, AnnounceAck{Seq: m.Seq})
}

func (a *Agent) takeAnnounced(
	now time.Time, key flow.Key, holder flow.Ref, firstHand bool, p *plan, out *currantturn.Effects,
) {
	hash := a.opts.Key.Flow(key.Flow())
	shard := a.table.Shard(hash)
	shard.Lock()
	defer shard.Unlock()
	if s := a.searches[flow.ShardOf(hash)][hash]; s != nil && s.key == key {
		a.endFound(now, s, a.ids.ID(holder), p, out)
	}
	r := shard.Get(hash, &key)
	if r != nil && r.Has(flow.Held) {
		if !r.Has(flow.Silent) {
			a.counts.conflicts.Add(1)
		}
		return
	}
	if r != nil && !firstHand {
		return
	}
	if r = shard.Put(hash, &key); r == nil {
		a.counts.tableFull.Add(1)
		return
	}
	used := r.Flags & flow.Used
	shard.Redirect(r, holder)
	r.Set(used)
	r.Seen = flow.StampOf(now)
}

// HandOver sends the redirect records of a stopping process to the flows'
// next homes; the runtime calls it until it returns false.
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

// queueRedirects queues each redirect record once.
func (a *Agent) queueRedirects(p *plan) int {
	n := 0
	for i := range flow.Shards {
		s := a.table.At(i)
		s.Lock()
		s.Each(func(r *flow.Record) bool {
			if r.Has(flow.Held) || r.Has(flow.Silent) || r.Holder == 0 {
				return true
			}
			ranks := p.top(r.Hash)
			holder := a.ids.ID(r.Holder)
			if ranks[0] != a.opts.ID && ranks[0] != holder && !a.outbox.add(ranks[0], holder, &r.Key) {
				return false
			}
			r.Set(flow.Silent)
			n++
			return true
		})
		s.Unlock()
	}
	return n
}
