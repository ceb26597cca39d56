package limit

import (
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/currantturn/currantturn/internal/coordination/rank"
	"golang.org/x/time/rate"
)

// Verdict is Allowed, or the limit that was reached.
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

// Limits are the limits of one host; a field that is not positive takes its
// default.
type Limits struct {
	FlowsPerSecond    int // new flows per caller and second
	FlowBurst         int // new flows per caller in a burst
	OpeningsPerSecond int // opening packets per caller and second, and in a burst
	CallerFlows       int // open flows per caller
	CallerRequests    int // requests in progress per caller
	HostFlows         int // open flows of all callers
}

// withDefaults returns a copy with the defaults set.
func (l Limits) withDefaults() *Limits {
	setDefault(&l.FlowsPerSecond, DefaultFlowsPerSecond)
	setDefault(&l.FlowBurst, DefaultFlowBurst)
	setDefault(&l.OpeningsPerSecond, DefaultOpeningsPerSecond)
	setDefault(&l.CallerFlows, DefaultCallerFlows)
	setDefault(&l.CallerRequests, DefaultCallerRequests)
	setDefault(&l.HostFlows, DefaultHostFlows)
	return &l
}

// setDefault sets a value that is not positive to its default.
func setDefault(n *int, to int) {
	if *n <= 0 {
		*n = to
	}
}

// Limiter counts the flows and requests of each caller of one host and enforces
// its limits. A caller is an IPv4 address or an IPv6 prefix of 64 bits.
type Limiter struct {
	limits atomic.Pointer[Limits]
	key    rank.Key     // hashes callers to shards
	flows  atomic.Int64 // open flows of all callers
	shards [shardCount]*shard
	counts counts
}

// New returns a limiter without flows or requests. The key spreads callers over
// the shards.
func New(limits Limits, key rank.Key) *Limiter {
	limiter := &Limiter{key: key}
	limiter.limits.Store(limits.withDefaults())
	for i := range limiter.shards {
		limiter.shards[i] = newShard()
	}
	return limiter
}

// Configure changes the limits; flows and requests above them continue.
func (l *Limiter) Configure(limits Limits) {
	l.limits.Store(limits.withDefaults())
}

// OpenFlow counts a new flow of a caller unless a limit is reached.
func (l *Limiter) OpenFlow(now time.Time, caller netip.Addr) Verdict {
	limits := l.limits.Load()
	if l.flows.Add(1) > int64(limits.HostFlows) {
		l.flows.Add(-1)
		return l.counts.count(HostFlows)
	}
	v := Allowed
	l.updateCaller(caller, limits, func(usage *callerUsage) {
		switch {
		case usage.flows >= limits.CallerFlows:
			v = CallerFlows
		case !takeToken(usage.flowRate, now, limits.FlowsPerSecond, limits.FlowBurst):
			v = CallerRate
		default:
			usage.flows++
		}
	})
	if v != Allowed {
		l.flows.Add(-1)
	}
	return l.counts.count(v)
}

// AllowOpening returns Allowed for an opening packet of a caller, or CallerOpenings
// above the caller's rate limit. Opening packets may be forged and may never become
// a flow; the limit keeps them from filling the flow table.
func (l *Limiter) AllowOpening(now time.Time, caller netip.Addr) Verdict {
	limits := l.limits.Load()
	v := Allowed
	l.updateCaller(caller, limits, func(usage *callerUsage) {
		if !takeToken(usage.openingRate, now, limits.OpeningsPerSecond, limits.OpeningsPerSecond) {
			v = CallerOpenings
		}
	})
	return l.counts.count(v)
}

// AdoptFlow counts a flow that was established elsewhere, regardless of limits,
// since none may break an established flow.
func (l *Limiter) AdoptFlow(caller netip.Addr) {
	l.flows.Add(1)
	l.updateCaller(caller, l.limits.Load(), func(usage *callerUsage) { usage.flows++ })
	l.counts.adopted.Add(1)
}

// CloseFlow removes a flow counted by OpenFlow or AdoptFlow.
func (l *Limiter) CloseFlow(caller netip.Addr) {
	l.updateCaller(caller, l.limits.Load(), func(usage *callerUsage) {
		if usage.flows == 0 {
			l.counts.unmatched.Add(1)
			return
		}
		usage.flows--
		l.flows.Add(-1)
	})
}

// BeginRequest counts a request of a caller unless its limit is reached.
func (l *Limiter) BeginRequest(caller netip.Addr) Verdict {
	limits := l.limits.Load()
	v := Allowed
	l.updateCaller(caller, limits, func(usage *callerUsage) {
		if usage.requests >= limits.CallerRequests {
			v = CallerRequests
			return
		}
		usage.requests++
	})
	return l.counts.count(v)
}

// EndRequest removes a request counted by BeginRequest.
func (l *Limiter) EndRequest(caller netip.Addr) {
	l.updateCaller(caller, l.limits.Load(), func(usage *callerUsage) {
		if usage.requests == 0 {
			l.counts.unmatched.Add(1)
			return
		}
		usage.requests--
	})
}

// updateCaller calls f on the usage of a caller under its shard's lock.
func (l *Limiter) updateCaller(caller netip.Addr, limits *Limits, f func(*callerUsage)) {
	caller = callerKey(caller)
	b := caller.As16()
	s := l.shards[l.key.HashBytes(b[:])%shardCount]
	s.mu.Lock()
	defer s.mu.Unlock()
	usage := s.get(caller, limits)
	f(usage)
	s.put(caller, usage)
}

// callerKey returns the address that identifies a caller: an IPv4 address
// itself, or the first address of an IPv6 prefix.
func callerKey(a netip.Addr) netip.Addr {
	a = a.Unmap()
	if !a.Is6() {
		return a
	}
	p, _ := a.Prefix(ipv6CallerPrefixBits)
	return p.Addr()
}

// callerUsage holds the counts and the rate limiters of one caller.
type callerUsage struct {
	flows, requests int           // open flows, requests in progress
	flowRate        *rate.Limiter // of new flows
	openingRate     *rate.Limiter // of opening packets
}

func newCallerUsage(limits *Limits) *callerUsage {
	return &callerUsage{
		flowRate:    rate.NewLimiter(rate.Limit(limits.FlowsPerSecond), limits.FlowBurst),
		openingRate: rate.NewLimiter(rate.Limit(limits.OpeningsPerSecond), limits.OpeningsPerSecond),
	}
}

// takeToken takes one token, after adjusting the rate and burst to the current
// limits.
func takeToken(r *rate.Limiter, now time.Time, perSecond, burst int) bool {
	if r.Limit() != rate.Limit(perSecond) || r.Burst() != burst {
		r.SetLimitAt(now, rate.Limit(perSecond))
		r.SetBurstAt(now, burst)
	}
	return r.AllowN(now, 1)
}
