package limit

import "sync/atomic"

// counts are the running totals that Counters returns.
type counts struct {
	allowed, hostFlows, callerFlows, callerRate, callerRequests, callerOpenings, adopted, unmatched atomic.Uint64
}

// Counters are a limiter's totals since its start.
type Counters struct {
	Allowed        uint64 `json:"allowed"`         // flows, requests and opening packets allowed
	Adopted        uint64 `json:"adopted"`         // flows established elsewhere and adopted without a limit
	HostFlows      uint64 `json:"host_flows"`      // flows refused at the host's limit on open flows
	CallerFlows    uint64 `json:"caller_flows"`    // flows refused at the caller's limit on open flows
	CallerRate     uint64 `json:"caller_rate"`     // flows refused at the caller's limit on new flows per second
	CallerRequests uint64 `json:"caller_requests"` // requests refused at the caller's limit on requests in progress
	CallerOpenings uint64 `json:"caller_openings"` // opening packets dropped at the caller's limit per second
	Unmatched      uint64 `json:"unmatched"`       // ends of flows or requests without a recorded start
	Flows          int64  `json:"flows"`           // flows open now
	Holding        int    `json:"holding"`         // callers with open flows or requests in progress
	Idle           int    `json:"idle"`            // stored callers without flows or requests
}

// count counts a verdict and returns it.
func (c *counts) count(v Verdict) Verdict {
	switch v {
	case Allowed:
		c.allowed.Add(1)
	case HostFlows:
		c.hostFlows.Add(1)
	case CallerFlows:
		c.callerFlows.Add(1)
	case CallerRate:
		c.callerRate.Add(1)
	case CallerRequests:
		c.callerRequests.Add(1)
	case CallerOpenings:
		c.callerOpenings.Add(1)
	}
	return v
}

// Counters returns the current totals.
func (l *Limiter) Counters() Counters {
	c := &l.counts
	out := Counters{
		Allowed:        c.allowed.Load(),
		Adopted:        c.adopted.Load(),
		HostFlows:      c.hostFlows.Load(),
		CallerFlows:    c.callerFlows.Load(),
		CallerRate:     c.callerRate.Load(),
		CallerRequests: c.callerRequests.Load(),
		CallerOpenings: c.callerOpenings.Load(),
		Unmatched:      c.unmatched.Load(),
		Flows:          l.flows.Load(),
	}
	for _, s := range l.shards {
		s.mu.Lock()
		out.Holding += len(s.holding)
		out.Idle += s.idle.Len()
		s.mu.Unlock()
	}
	return out
}
