package placement

import (
	"math/rand/v2"
	"time"
)

// Candidate is a backend server as one balancer knows it.
type Candidate struct {
	Slots   int
	Running int           // requests in progress or waiting as its agent told last
	Sent    int           // flows sent there since then
	Flows   int           // open flows as its agent told last
	Service time.Duration // mean time of recent answers, zero if unknown
	WarmUp  bool          // started a moment ago
	Local   bool          // in the balancer's failure domain
	Avoid   bool          // did not answer lately
}

// Choose returns the index of the best candidate, or -1 without any. It answers
// a load of short requests beside long flows: work in progress decides, slow
// backend servers count as busier, and open flows break ties, since each may
// send a request at any time. Usual is the time of a usual answer. Those to avoid are taken only if all are.
func Choose(rng *rand.Rand, all []Candidate, usual time.Duration) int {
	best, lowest := -1, 0.0
	for i := range all {
		c := cost(&all[i], usual)
		// Balancers that know the same must not all choose alike.
		c *= 1 + noise*rng.Float64()
		if best < 0 || c < lowest {
			best, lowest = i, c
		}
	}
	return best
}

// cost is the expected time to an answer, in units of a usual answer.
func cost(c *Candidate, usual time.Duration) float64 {
	slots := float64(max(c.Slots, 1))
	speed := c.slowness(usual)
	if c.WarmUp {
		speed = max(speed, warmUpSlowness)
	}
	busy := float64(c.Running + c.Sent + 1)
	total := speed * (busy/slots + flowShare*float64(c.Flows)/slots)
	if !c.Local {
		total += remoteCost
	}
	if c.Avoid {
		total += avoidCost
	}
	return total
}

// slowness is how many times longer than usual its answers take, at least 1.
func (c *Candidate) slowness(usual time.Duration) float64 {
	if usual <= 0 || c.Service <= 0 {
		return 1
	}
	return min(max(float64(c.Service)/float64(usual), 1), maxSlowness)
}

// Slow says whether the candidate answers so much more slowly than usual that
// it gets clearly less work; one that was slow has to get clearly better.
func (c *Candidate) Slow(usual time.Duration, was bool) bool {
	if was {
		return c.slowness(usual) >= slowUntil
	}
	return c.slowness(usual) >= slowFrom
}

// Usual returns the lower median of the known service times, so that a slow
// minority does not pass for usual; zero if none is known.
func Usual(all []Candidate) time.Duration {
	var known [maxMedian]time.Duration
	n := 0
	for i := range all {
		if all[i].Service <= 0 || n == len(known) {
			continue
		}
		at := n
		for at > 0 && known[at-1] > all[i].Service {
			known[at] = known[at-1]
			at--
		}
		known[at] = all[i].Service
		n++
	}
	if n == 0 {
		return 0
	}
	return known[(n-1)/2]
}
