package agent

import (
	"net/netip"
	"sync"
	"time"

	"github.com/currantturn/currantturn"
	"github.com/currantturn/currantturn/internal/coordination/membership"
	"github.com/currantturn/currantturn/internal/state/flow"
)

// knownBalancer is a balancer that forwarded packets to this agent.
type knownBalancer struct {
	addr         netip.AddrPort
	lastReceived time.Time // last packet or echo reply
	echoSent     time.Time // first echo without a reply; zero if there is none
	leaving      bool
}

// balancerSet holds the balancers through which answers can be sent.
type balancerSet struct {
	mu          sync.Mutex
	byAddr      map[netip.AddrPort]*knownBalancer
	ring        []*knownBalancer // in the order of their first packets
	unnotified  []netip.AddrPort // new balancers, not yet returned by takeNew
	nextAnswer  int              // index into ring, for answers
	nextContact int              // index into ring, for notices and echoes
	lastProbe   time.Time        // last time at which echoes were sent
	echoSeq     uint32
}

func (s *balancerSet) init() {
	s.byAddr = make(map[netip.AddrPort]*knownBalancer)
}

// recordPacket records that a packet arrived through a balancer, adding the
// balancer if it is new.
func (s *balancerSet) recordPacket(now time.Time, addr netip.AddrPort) {
	if !addr.IsValid() {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	b := s.byAddr[addr]
	if b == nil {
		if len(s.ring) >= maxBalancers {
			s.evictOldest()
		}
		b = &knownBalancer{addr: addr}
		s.byAddr[addr] = b
		s.ring = append(s.ring, b)
		s.unnotified = append(s.unnotified, addr)
	}
	b.lastReceived = now
	b.echoSent = time.Time{}
}

// evictOldest removes the balancer that was received from least recently.
func (s *balancerSet) evictOldest() {
	oldest := 0
	for i, b := range s.ring {
		if b.lastReceived.Before(s.ring[oldest].lastReceived) {
			oldest = i
		}
	}
	delete(s.byAddr, s.ring[oldest].addr)
	s.ring = append(s.ring[:oldest], s.ring[oldest+1:]...)
}

// recordEchoReply records the reply to an echo.
func (s *balancerSet) recordEchoReply(now time.Time, addr netip.AddrPort) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if b := s.byAddr[addr]; b != nil {
		b.lastReceived = now
		b.echoSent = time.Time{}
	}
}

// takeNew returns the balancers added since the last call.
func (s *balancerSet) takeNew() []netip.AddrPort {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := s.unnotified
	s.unnotified = nil
	return out
}

// setLeaving sets which balancers are leaving, by link address.
func (s *balancerSet) setLeaving(leaving map[netip.AddrPort]bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, b := range s.ring {
		b.leaving = leaving[b.addr]
	}
}

// pickNext returns the next balancer in rotation among the most recently active
// usable ones, or among all if none is usable.
func (s *balancerSet) pickNext(now time.Time) (netip.AddrPort, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, within := range []time.Duration{activeWindow, recentWindow, usableWindow} {
		if b := s.nextWithin(now, within); b != nil {
			return b.addr, true
		}
	}
	if len(s.ring) == 0 {
		return netip.AddrPort{}, false
	}
	s.nextAnswer = (s.nextAnswer + 1) % len(s.ring)
	return s.ring[s.nextAnswer].addr, true
}

// nextWithin returns the next usable balancer in rotation that was active within a
// window. It requires two of them, so that a retransmission takes another path;
// in the widest window one is enough.
func (s *balancerSet) nextWithin(now time.Time, within time.Duration) *knownBalancer {
	n := 0
	for _, b := range s.ring {
		if b.usable(now, within) {
			n++
		}
	}
	if n == 0 || (n == 1 && within != usableWindow) {
		return nil
	}
	for range s.ring {
		s.nextAnswer = (s.nextAnswer + 1) % len(s.ring)
		if b := s.ring[s.nextAnswer]; b.usable(now, within) {
			return b
		}
	}
	return nil
}

// usable reports whether the balancer is not leaving, has not left an echo
// unanswered, and was active within the given time.
func (b *knownBalancer) usable(now time.Time, within time.Duration) bool {
	unresponsive := !b.echoSent.IsZero() && now.Sub(b.echoSent) > echoTimeout
	return !b.leaving && !unresponsive && now.Sub(b.lastReceived) <= within
}

// nextUsable returns up to n usable balancers, in rotation over successive calls.
func (s *balancerSet) nextUsable(now time.Time, n int) []netip.AddrPort {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []netip.AddrPort
	for range s.ring {
		s.nextContact = (s.nextContact + 1) % len(s.ring)
		if b := s.ring[s.nextContact]; len(out) < n && b.usable(now, usableWindow) {
			out = append(out, b.addr)
		}
	}
	return out
}

// sendEchoes probes balancers that were idle for EchoInterval but are within
// usableWindow.
func (s *balancerSet) sendEchoes(now time.Time, out *currantturn.Effects) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now.Sub(s.lastProbe) < EchoInterval || len(s.ring) == 0 {
		return
	}
	s.lastProbe = now
	sent := 0
	for range s.ring {
		s.nextContact = (s.nextContact + 1) % len(s.ring)
		b := s.ring[s.nextContact]
		if sent >= echoFanout || b.leaving || now.Sub(b.lastReceived) < EchoInterval || now.Sub(b.lastReceived) > usableWindow {
			continue
		}
		sent++
		if b.echoSent.IsZero() {
			b.echoSent = now
		}
		s.echoSeq++
		out.Send(b.addr, membership.Echo{Seq: s.echoSeq})
	}
}

// Answer sends a packet to its caller through the next balancer; it drops the packet
// if none has forwarded a packet here.
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

// touch resets the idle time of the flow, so that a flow on which only the backend
// server sends does not expire.
func (a *Agent) touch(now time.Time, p *currantturn.Packet) {
	hash, key := a.opts.Key.HashFlow(p.Flow), flow.KeyOf(p.Flow)
	s := a.table.Shard(hash)
	s.Lock()
	defer s.Unlock()
	if r := s.Get(hash, &key); r != nil {
		r.LastSeen = flow.StampOf(now)
	}
}
