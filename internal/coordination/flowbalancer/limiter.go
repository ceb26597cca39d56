package flowbalancer

import (
	"time"

	"golang.org/x/time/rate"
)

// searchLimiter limits how much of the VM's link searches use. After a restart of
// all processes every flow is searched for at once; a full link would delay the
// answers, and with them the end of the searches, and callers' packets.
type searchLimiter struct {
	limiter *rate.Limiter // nil if unlimited
}

// newSearchLimiter returns a limiter for a link of linkRate bytes per second; 0 means
// unlimited.
func newSearchLimiter(linkRate float64) searchLimiter {
	if linkRate <= 0 {
		return searchLimiter{}
	}
	searchRate := linkRate * searchLinkShare
	return searchLimiter{limiter: rate.NewLimiter(rate.Limit(searchRate), max(1, int(searchRate*searchBurst.Seconds())))}
}

// allow reports whether n bytes may be sent now, and reserves them if so. More than a
// burst counts as one burst.
func (l searchLimiter) allow(now time.Time, n int) bool {
	return l.limiter == nil || l.limiter.AllowN(now, min(n, l.limiter.Burst()))
}

// linkBytes returns how many bytes of the link a packet uses.
func linkBytes(packet []byte) int {
	return len(packet) + packetOverhead
}
