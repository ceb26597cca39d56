package agent

import (
	"net/netip"
	"sync"
	"time"

	"github.com/currantturn/currantturn"
	"github.com/currantturn/currantturn/internal/coordination/membership"
	"github.com/currantturn/currantturn/internal/state/flow"
)

// knownBalancer is a balancer that forwarded packets here.
type knownBalancer struct {
	addr    netip.AddrPort
	lastReceived  time.Time // last packet or echo reply
	echoSent   time.Time // last unanswered echo
	leaving bool
}

// balancerSet keeps the balancers that may carry answers.
type balancerSet struct {
	mu      sync.Mutex
	byAddr  map[netip.AddrPort]*knownBalancer
	ring    []*knownBalancer // in the order in which they were first heard
	unnotified   []netip.AddrPort // heard for the first time
	nextAnswer    int
	nextContact int
	lastProbe   time.Time
	echoSeq     uint32
}

func (h *balancerSet) init() {
	h.byAddr = make(map[netip.AddrPort]*knownBalancer)
}

// recordPacket notes a packet through a balancer.
func (h *balancerSet) recordPacket(now time.Time, addr netip.AddrPort) {
	if !addr.IsValid() {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	b := h.byAddr[addr]
	if b == nil {
		if len(h.ring) >= maxBalancers {
			h.evictOldest()
		}
		b = &knownBalancer{addr: addr}
		h.byAddr[addr] = b
		h.ring = append(h.ring, b)
		h.unnotified = append(h.unnotified, addr)
	}
	b.lastReceived = now
	b.echoSent = time.Time{}
}

func (h *balancerSet) evictOldest() {
	oldest := 0
	for i, b := range h.ring {
		if b.lastReceived.Before(h.ring[oldest].lastReceived) {
			oldest = i
		}
	}
	delete(h.byAddr, h.ring[oldest].addr)
	h.ring = append(h.ring[:oldest], h.ring[oldest+1:]...)
}

// recordEchoReply notes an echo's reply.
func (h *balancerSet) recordEchoReply(now time.Time, addr netip.AddrPort) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if b := h.byAddr[addr]; b != nil {
		b.lastReceived = now
		b.echoSent = time.Time{}
	}
}

// takeNew returns and forgets the balancers heard for the first time.
func (h *balancerSet) takeNew() []netip.AddrPort {
	h.mu.Lock()
	defer h.mu.Unlock()
	out := h.unnotified
	h.unnotified = nil
	return out
}

func (h *balancerSet) setLeaving(leaving map[netip.AddrPort]bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, b := range h.ring {
		b.leaving = leaving[b.addr]
	}
}

// pickNext returns the next balancer in turn among the most recently heard that
// are not silent.
func (h *balancerSet) pickNext(now time.Time) (netip.AddrPort, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, within := range []time.Duration{activeWindow, recentWindow, usableWindow} {
		if b := h.nextWithin(now, within); b != nil {
			return b.addr, true
		}
	}
	if len(h.ring) == 0 {
		return netip.AddrPort{}, false
	}
	h.nextAnswer = (h.nextAnswer + 1) % len(h.ring)
	return h.ring[h.nextAnswer].addr, true
}

// nextWithin needs two balancers, so that a repeat takes another way; the widest
// window makes do with one.
func (h *balancerSet) nextWithin(now time.Time, within time.Duration) *knownBalancer {
	n := 0
	for _, b := range h.ring {
		if b.usable(now, within) {
			n++
		}
	}
	if n == 0 || (n == 1 && within != usableWindow) {
		return nil
	}
	for range h.ring {
		h.nextAnswer = (h.nextAnswer + 1) % len(h.ring)
		if b := h.ring[h.nextAnswer]; b.usable(now, within) {
			return b
		}
	}
	return nil
}

func (b *knownBalancer) usable(now time.Time, within time.Duration) bool {
	silent := !b.echoSent.IsZero() && now.Sub(b.echoSent) > echoTimeout
	return !b.leaving && !silent && now.Sub(b.lastReceived) <= within
}

// nextUsable returns up to n recently heard balancers, a different part each time.
func (h *balancerSet) nextUsable(now time.Time, n int) []netip.AddrPort {
	h.mu.Lock()
	defer h.mu.Unlock()
	var out []netip.AddrPort
	for range h.ring {
		h.nextContact = (h.nextContact + 1) % len(h.ring)
		if b := h.ring[h.nextContact]; len(out) < n && b.usable(now, usableWindow) {
			out = append(out, b.addr)
		}
	}
	return out
}

// sendEchoes asks balancers that were not heard of late whether they are there.
func (h *balancerSet) sendEchoes(now time.Time, out *currantturn.Effects) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if now.Sub(h.lastProbe) < EchoInterval || len(h.ring) == 0 {
		return
	}
	h.lastProbe = now
	sent := 0
	for range h.ring {
		h.nextContact = (h.nextContact + 1) % len(h.ring)
		b := h.ring[h.nextContact]
		if sent >= echoFanout || b.leaving || now.Sub(b.lastReceived) < EchoInterval || now.Sub(b.lastReceived) > usableWindow {
			continue
		}
		sent++
		if b.echoSent.IsZero() {
			b.echoSent = now
		}
		h.echoSeq++
		out.Send(b.addr, membership.Echo{Seq: h.echoSeq})
	}
}

// Answer sends a packet back through one of the balancers in turn.
func (a *Agent) Answer(now time.Time, p *currantturn.Packet, out *currantturn.Effects) {
	to, ok := a.balancers.pickNext(now)
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
