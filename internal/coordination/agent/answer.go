package agent

import (
	"net/netip"
	"sync"
	"time"

	"github.com/currantturn/currantturn"
	"github.com/currantturn/currantturn/internal/coordination/membership"
	"github.com/currantturn/currantturn/internal/state/flow"
)

// heardBalancer is a balancer that forwarded packets here.
type heardBalancer struct {
	addr    netip.AddrPort
	packet  time.Time // last packet or echo reply
	asked   time.Time // last unanswered echo
	leaving bool
}

// heard keeps the balancers that may carry answers.
type heard struct {
	mu      sync.Mutex
	byAddr  map[netip.AddrPort]*heardBalancer
	ring    []*heardBalancer // in the order in which they were first heard
	fresh   []netip.AddrPort // heard for the first time
	next    int
	nextAsk int
	asked   time.Time
	seq     uint32
}

func (h *heard) init() {
	h.byAddr = make(map[netip.AddrPort]*heardBalancer)
}

// hear notes a packet through a balancer.
func (h *heard) hear(now time.Time, addr netip.AddrPort) {
	if !addr.IsValid() {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	b := h.byAddr[addr]
	if b == nil {
		if len(h.ring) >= maxHeard {
			h.forgetOldest()
		}
		b = &heardBalancer{addr: addr}
		h.byAddr[addr] = b
		h.ring = append(h.ring, b)
		h.fresh = append(h.fresh, addr)
	}
	b.packet = now
	b.asked = time.Time{}
}

func (h *heard) forgetOldest() {
	oldest := 0
	for i, b := range h.ring {
		if b.packet.Before(h.ring[oldest].packet) {
			oldest = i
		}
	}
	delete(h.byAddr, h.ring[oldest].addr)
	h.ring = append(h.ring[:oldest], h.ring[oldest+1:]...)
}

// answered notes an echo's reply.
func (h *heard) answered(now time.Time, addr netip.AddrPort) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if b := h.byAddr[addr]; b != nil {
		b.packet = now
		b.asked = time.Time{}
	}
}

// newcomers returns and forgets the balancers heard for the first time.
func (h *heard) newcomers() []netip.AddrPort {
	h.mu.Lock()
	defer h.mu.Unlock()
	out := h.fresh
	h.fresh = nil
	return out
}

func (h *heard) setLeaving(leaving map[netip.AddrPort]bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, b := range h.ring {
		b.leaving = leaving[b.addr]
	}
}

// pick returns the next balancer in turn among the most recently heard that
// are not silent.
func (h *heard) pick(now time.Time) (netip.AddrPort, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, within := range []time.Duration{usedWithin, recentWithin, heardWithin} {
		if b := h.turn(now, within); b != nil {
			return b.addr, true
		}
	}
	if len(h.ring) == 0 {
		return netip.AddrPort{}, false
	}
	h.next = (h.next + 1) % len(h.ring)
	return h.ring[h.next].addr, true
}

// turn needs two balancers, so that a repeat takes another way; the widest
// window makes do with one.
func (h *heard) turn(now time.Time, within time.Duration) *heardBalancer {
	n := 0
	for _, b := range h.ring {
		if b.usable(now, within) {
			n++
		}
	}
	if n == 0 || (n == 1 && within != heardWithin) {
		return nil
	}
	for range h.ring {
		h.next = (h.next + 1) % len(h.ring)
		if b := h.ring[h.next]; b.usable(now, within) {
			return b
		}
	}
	return nil
}

func (b *heardBalancer) usable(now time.Time, within time.Duration) bool {
	silent := !b.asked.IsZero() && now.Sub(b.asked) > echoTimeout
	return !b.leaving && !silent && now.Sub(b.packet) <= within
}

// some returns up to n recently heard balancers, a different part each time.
func (h *heard) some(now time.Time, n int) []netip.AddrPort {
	h.mu.Lock()
	defer h.mu.Unlock()
	var out []netip.AddrPort
	for range h.ring {
		h.nextAsk = (h.nextAsk + 1) % len(h.ring)
		if b := h.ring[h.nextAsk]; len(out) < n && b.usable(now, heardWithin) {
			out = append(out, b.addr)
		}
	}
	return out
}

// probe asks balancers that were not heard of late whether they are there.
func (h *heard) probe(now time.Time, out *currantturn.Effects) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if now.Sub(h.asked) < EchoEvery || len(h.ring) == 0 {
		return
	}
	h.asked = now
	sent := 0
	for range h.ring {
		h.nextAsk = (h.nextAsk + 1) % len(h.ring)
		b := h.ring[h.nextAsk]
		if sent >= echoFan || b.leaving || now.Sub(b.packet) < EchoEvery || now.Sub(b.packet) > heardWithin {
			continue
		}
		sent++
		if b.asked.IsZero() {
			b.asked = now
		}
		h.seq++
		out.Send(b.addr, membership.Echo{Seq: h.seq})
	}
}

// Answer sends a packet back through one of the balancers in turn.
func (a *Agent) Answer(now time.Time, p *currantturn.Packet, out *currantturn.Effects) {
	to, ok := a.heard.pick(now)
	if !ok {
		return
	}
	a.touch(now, p)
	out.Forwards = append(out.Forwards, currantturn.Forward{
		To: to,
		Envelope: currantturn.Envelope{
			Direction: currantturn.ToCaller,
			Service:   a.opts.Service,
			Packet:    *p,
		},
	})
}

// touch keeps a flow alive on which only the backend server sends.
func (a *Agent) touch(now time.Time, p *currantturn.Packet) {
	hash, key := a.opts.Key.Flow(p.Flow), flow.KeyOf(p.Flow)
	s := a.table.Shard(hash)
	s.Lock()
	defer s.Unlock()
	if r := s.Get(hash, &key); r != nil {
		r.Seen = flow.StampOf(now)
	}
}
