package flowagent

import (
	"time"

	"github.com/currantturn/currantturn"
	"github.com/currantturn/currantturn/internal/protocol/relay"
)

// announcer decides when the agent announces itself to the seeds: when nothing arrives
// from any balancer, which may have restarted without a published state. It is not safe
// for concurrent use.
type announcer struct {
	lastReceived time.Time     // last packet or message from a balancer; zero before the first one
	lastSent     time.Time     // last announcement
	interval     time.Duration // until the next announcement
}

// recordReceived records a packet or message from a balancer.
func (n *announcer) recordReceived(now time.Time) {
	n.lastReceived, n.interval = now, 0
}

// due reports whether announcements are to be sent now.
func (n *announcer) due(now time.Time) bool {
	return now.Sub(n.lastReceived) >= announceDelay && now.Sub(n.lastSent) >= n.interval
}

// recordSent records sent announcements. Their interval doubles as long as nothing
// arrives.
func (n *announcer) recordSent(now time.Time) {
	n.lastSent = now
	n.interval = min(max(2*n.interval, minAnnounceInterval), maxAnnounceInterval)
}

// AnnounceDue reports whether announcements are due. The agent announces itself only if
// its backend server accepts connections: one that has ended holds no flows, but nobody
// else can tell that.
func (a *Agent) AnnounceDue(now time.Time) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.opts.Seeds) > 0 && a.announcer.due(now)
}

// Announce sends announcements to the seeds.
func (a *Agent) Announce(now time.Time, out *currantturn.Effects) {
	a.mu.Lock()
	a.announcer.recordSent(now)
	a.mu.Unlock()
	for _, seed := range a.opts.Seeds {
		out.Send(seed, relay.Announce{Service: a.Service(), FailureDomain: a.opts.FailureDomain})
	}
}
