package placement

import "time"

// coldness returns the slowness assumed of a recently started backend server. With a
// configured rate, the share of the usual work that it is expected to do rises evenly
// from that rate to the whole over its warm-up.
func (c *Candidate) coldness(usual time.Duration) float64 {
	if c.WarmUpRate <= 0 {
		return warmUpSlowness
	}
	initial := 1.0 / warmUpSlowness // if it is not known what a warm one does
	if usual > 0 {
		initial = min(c.WarmUpRate*usual.Seconds()/float64(max(c.Slots, 1)), 1)
	}
	share := initial + (1-initial)*min(max(c.Warmth, 0), 1)
	return 1 / max(share, minColdShare)
}
