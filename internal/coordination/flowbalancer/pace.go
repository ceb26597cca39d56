package flowbalancer

import (
	"time"

	"golang.org/x/time/rate"
)

// pace bounds the part of the VM's link that searches take: after a restart of
// everything each flow is searched for at once, and a full link would delay the
// answers, and with them the end of the searches, and callers' packets.
type pace struct {
	limiter *rate.Limiter // nil without a bound
}

// newPace takes what the link carries, bytes a second; 0 is without a bound.
func newPace(link float64) pace {
	if link <= 0 {
		return pace{}
	}
	share := link * searchShare
	return pace{limiter: rate.NewLimiter(rate.Limit(share), max(1, int(share*searchBurst.Seconds())))}
}

// take says whether so many bytes may be sent now; what exceeds a burst counts
// as one.
func (p pace) take(now time.Time, n int) bool {
	return p.limiter == nil || p.limiter.AllowN(now, min(n, p.limiter.Burst()))
}

// packetBytes is what a packet takes of the link.
func packetBytes(packet []byte) int {
	return len(packet) + packetOverhead
}
