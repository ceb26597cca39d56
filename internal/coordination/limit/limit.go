package limit

import (
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/currantturn/currantturn/internal/coordination/rank"
	"golang.org/x/time/rate"
)

// Verdict says whether a caller may go on, or which limit it has reached.
type Verdict string

// Verdicts of a limiter.
const (
	Allowed        Verdict = "allowed"
	HostFlows      Verdict = "host_flows"
	CallerFlows    Verdict = "caller_flows"
	CallerRate     Verdict = "caller_rate"
	CallerRequests Verdict = "caller_requests"
	CallerOpenings Verdict = "caller_openings"
)

// Limits are the bounds of one host; a zero takes its default.
type Limits struct {
	FlowsPerSecond int // per caller
	FlowBurst      int // per caller
	Openings       int // opening packets per caller a second, and at once
	CallerFlows    int
	CallerRequests int
	HostFlows      int
}

func (l Limits) filled() *Limits {
	fill(&l.FlowsPerSecond, DefaultFlowsPerSecond)
	fill(&l.FlowBurst, DefaultFlowBurst)
	fill(&l.Openings, DefaultOpenings)
	fill(&l.CallerFlows, DefaultCallerFlows)
	fill(&l.CallerRequests, DefaultCallerRequests)
	fill(&l.HostFlows, DefaultHostFlows)
	return &l
}

func fill(n *int, to int) {
	if *n <= 0 {
		*n = to
	}
}

// Limiter counts what each caller holds of one host. A caller is an IPv4
// address or an IPv6 prefix of 64 bits.
type Limiter struct {
	limits atomic.Pointer[Limits]
	key    rank.Key
	flows  atomic.Int64
	shards [shards]*shard
	counts counts
}

// New returns a limiter of a host that holds nothing.
func New(l Limits, key rank.Key) *Limiter {
	m := &Limiter{key: key}
	m.limits.Store(l.filled())
	for i := range m.shards {
		m.shards[i] = newShard()
	}
	return m
}

// Configure changes the limits; flows and requests above them go on.
func (m *Limiter) Configure(l Limits) {
	m.limits.Store(l.filled())
}

// OpenFlow takes a new flow of a caller into account unless a limit is reached.
func (m *Limiter) OpenFlow(now time.Time, caller netip.Addr) Verdict {
	l := m.limits.Load()
	if m.flows.Add(1) > int64(l.HostFlows) {
		m.flows.Add(-1)
		return m.counts.count(HostFlows)
	}
	v := Allowed
	m.with(caller, l, func(c *holder) {
		switch {
		case c.flows >= l.CallerFlows:
			v = CallerFlows
		case !allow(c.opening, now, l.FlowsPerSecond, l.FlowBurst):
			v = CallerRate
		default:
			c.flows++
		}
	})
	if v != Allowed {
		m.flows.Add(-1)
	}
	return m.counts.count(v)
}

// Opening spends an opening packet of a caller, which may be forged and may
// never become a flow; it keeps the flow table from filling up.
func (m *Limiter) Opening(now time.Time, caller netip.Addr) Verdict {
	l := m.limits.Load()
	v := Allowed
	m.with(caller, l, func(c *holder) {
		if !allow(c.packets, now, l.Openings, l.Openings) {
			v = CallerOpenings
		}
	})
	return m.counts.count(v)
}

// AdoptFlow takes a flow into account that was established elsewhere; no limit
// may break it.
func (m *Limiter) AdoptFlow(caller netip.Addr) {
	m.flows.Add(1)
	m.with(caller, m.limits.Load(), func(c *holder) { c.flows++ })
	m.counts.adopted.Add(1)
}

// CloseFlow ends a flow that was opened or adopted.
func (m *Limiter) CloseFlow(caller netip.Addr) {
	m.with(caller, m.limits.Load(), func(c *holder) {
		if c.flows == 0 {
			m.counts.unmatched.Add(1)
			return
		}
		c.flows--
		m.flows.Add(-1)
	})
}

// BeginRequest takes a request of a caller into account unless a limit is reached.
func (m *Limiter) BeginRequest(caller netip.Addr) Verdict {
	l := m.limits.Load()
	v := Allowed
	m.with(caller, l, func(c *holder) {
		if c.requests >= l.CallerRequests {
			v = CallerRequests
			return
		}
		c.requests++
	})
	return m.counts.count(v)
}

// EndRequest ends a request that began.
func (m *Limiter) EndRequest(caller netip.Addr) {
	m.with(caller, m.limits.Load(), func(c *holder) {
		if c.requests == 0 {
			m.counts.unmatched.Add(1)
			return
		}
		c.requests--
	})
}

// with runs f on what a caller holds, under its shard's lock.
func (m *Limiter) with(caller netip.Addr, l *Limits, f func(*holder)) {
	caller = owner(caller)
	b := caller.As16()
	s := m.shards[m.key.Bytes(b[:])%shards]
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.take(caller, l)
	f(c)
	s.put(caller, c)
}

// owner is the first address of what one caller is taken to own.
func owner(a netip.Addr) netip.Addr {
	a = a.Unmap()
	if !a.Is6() {
		return a
	}
	p, _ := a.Prefix(callerBits6)
	return p.Addr()
}

// holder is what one caller holds.
type holder struct {
	flows, requests int
	opening         *rate.Limiter // of flows
	packets         *rate.Limiter // of opening packets
}

func newHolder(l *Limits) *holder {
	return &holder{
		opening: rate.NewLimiter(rate.Limit(l.FlowsPerSecond), l.FlowBurst),
		packets: rate.NewLimiter(rate.Limit(l.Openings), l.Openings),
	}
}

// allow spends one token, at the rate of the present limits.
func allow(r *rate.Limiter, now time.Time, perSecond, burst int) bool {
	if r.Limit() != rate.Limit(perSecond) || r.Burst() != burst {
		r.SetLimitAt(now, rate.Limit(perSecond))
		r.SetBurstAt(now, burst)
	}
	return r.AllowN(now, 1)
}
