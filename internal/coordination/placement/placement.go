package placement

import (
	"math/rand/v2"
	"time"
)

// Candidate is the state of a backend server as seen by one balancer.
type Candidate struct {
	Slots       int           // requests that it may run at once; 0 if unknown
	Running     int           // requests in progress or waiting, as last reported
	Sent        int           // flows placed there since that report
	Flows       int           // open flows, as last reported
	ServiceTime time.Duration // average time to an answer; zero if unknown
	Slowness    float64       // time to an answer, compared to the usual by kinds of requests; 0 if unknown
	Short       float64       // share of answers that came far too early, above that of the others
	WarmingUp   bool          // true if it started recently
	WarmUpRate  float64       // requests per second that it bears when it has just started; 0 if not configured
	Warmth      float64       // elapsed part of its warm-up, with WarmUpRate
	Local       bool          // true if it is in the balancer's failure domain
	Avoid       bool          // true if it recently failed to answer
}

// Choose returns the index of the candidate with the lowest cost, or -1 if there
// are none; usual is the usual service time. The cost suits short requests on
// long flows: work in progress dominates, slow backend servers count as busier,
// and open flows break ties, since each may send a request at any time. A
// candidate to avoid is chosen only if all are to be avoided.
func Choose(rng *rand.Rand, candidates []Candidate, usual time.Duration) int {
	best, lowest := -1, 0.0
	for i := range candidates {
		c := cost(&candidates[i], usual)
		// Balancers with the same data must not all choose the same candidate.
		c *= 1 + costVariation*rng.Float64()
		if best < 0 || c < lowest {
			best, lowest = i, c
		}
	}
	return best
}

// cost returns the expected time to an answer, as a multiple of the usual time.
func cost(c *Candidate, usual time.Duration) float64 {
	slots := float64(max(c.Slots, 1))
	slowness := c.slowness(usual)
	if c.WarmingUp {
		slowness = max(slowness, c.coldness(usual))
	}
	busy := float64(c.Running + c.Sent + 1)
	total := slowness * (busy/slots + openFlowWeight*float64(c.Flows)/slots)
	if !c.Local {
		total += remoteCost
	}
	if c.Avoid {
		total += avoidCost
	}
	return total
}

// suspect reports whether the candidate probably fails requests: far more of its answers
// than of the others' came far too early, or most did.
func (c *Candidate) suspect() bool {
	return c.Short >= suspectShare || c.Slowness > 0 && c.Slowness < failingSlowness
}

// slowness returns the ratio of the candidate's service time to the usual one, from
// minSlowness to maxSlowness; 1 if it is unknown, and at least suspectSlowness for a
// suspect. A ratio just below 1 counts as 1. Without the times of kinds of requests, only
// a slower candidate counts: a short average may come from the mix of its work.
func (c *Candidate) slowness(usual time.Duration) float64 {
	if c.suspect() {
		return min(max(c.Slowness, suspectSlowness), maxSlowness)
	}
	if c.Slowness > 0 {
		if c.Slowness > fasterThreshold && c.Slowness < 1 {
			return 1
		}
		return min(max(c.Slowness, minSlowness), maxSlowness)
	}
	if usual <= 0 || c.ServiceTime <= 0 {
		return 1
	}
	return min(max(float64(c.ServiceTime)/float64(usual), 1), maxSlowness)
}

// SlownessAgainst returns the slowness that placement uses, given the usual service time.
func (c *Candidate) SlownessAgainst(usual time.Duration) float64 { return c.slowness(usual) }

// IsSlow reports whether the candidate is so much slower than usual that it receives
// clearly less work. The threshold is lower if it was slow before.
func (c *Candidate) IsSlow(usual time.Duration, wasSlow bool) bool {
	if wasSlow {
		return c.slowness(usual) >= slowRecoveryThreshold
	}
	return c.slowness(usual) >= slowThreshold
}

// UsualServiceTime returns the lower median of the known service times, so that a
// slow minority does not count as usual; zero if none is known.
func UsualServiceTime(candidates []Candidate) time.Duration {
	var known [maxMedianSamples]time.Duration
	n := 0
	for i := range candidates {
		if candidates[i].ServiceTime <= 0 || n == len(known) {
			continue
		}
		pos := n
		for pos > 0 && known[pos-1] > candidates[i].ServiceTime {
			known[pos] = known[pos-1]
			pos--
		}
		known[pos] = candidates[i].ServiceTime
		n++
	}
	if n == 0 {
		return 0
	}
	return known[(n-1)/2]
}
