package limit

import "sync/atomic"

type counts struct {
	allowed, hostFlows, callerFlows, callerRate, callerRequests, callerOpenings, adopted, unmatched atomic.Uint64
}

// Counters are a limiter's totals since its start.
type Counters struct {
	Allowed        uint64 `json:"allowed"`         // flows, requests and opening packets allowed
	Adopted        uint64 `json:"adopted"`         // flows taken over without a limit
	HostFlows      uint64 `json:"host_flows"`      // flows refused because the host holds its most
	CallerFlows    uint64 `json:"caller_flows"`    // flows refused because the caller holds its most
	CallerRate     uint64 `json:"caller_rate"`     // flows refused because the caller opens too many a second
	CallerRequests uint64 `json:"caller_requests"` // requests refused because the caller has its most in progress
	CallerOpenings uint64 `json:"caller_openings"` // opening packets dropped because the caller sends too many a second
	Unmatched      uint64 `json:"unmatched"`       // ends of flows or requests that had not begun
	Flows          int64  `json:"flows"`           // flows open at present
	Holding        int    `json:"holding"`         // callers that hold something at present
	Idle           int    `json:"idle"`            // callers that are remembered and hold nothing
}

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

// Counters returns the totals so far.
func (m *Limiter) Counters() Counters {
	c := &m.counts
	out := Counters{
		Allowed:        c.allowed.Load(),
		Adopted:        c.adopted.Load(),
		HostFlows:      c.hostFlows.Load(),
		CallerFlows:    c.callerFlows.Load(),
		CallerRate:     c.callerRate.Load(),
		CallerRequests: c.callerRequests.Load(),
		CallerOpenings: c.callerOpenings.Load(),
		Unmatched:      c.unmatched.Load(),
		Flows:          m.flows.Load(),
	}
	for _, s := range m.shards {
		s.mu.Lock()
		out.Holding += len(s.holding)
		out.Idle += s.idle.Len()
		s.mu.Unlock()
	}
	return out
}
