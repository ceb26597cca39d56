package flowbalancer

import (
	"time"

	"github.com/currantturn/currantturn/internal/coordination/placement"
	"github.com/currantturn/currantturn/internal/protocol/relay"
)

// usualTimes are the usual times of a service's requests at a point in time.
type usualTimes struct {
	at    time.Time
	times placement.UsualTimes
}

// usualTimes returns the usual times of the requests of a service, from the reports of
// up to maxUsualSamples of its backend servers. The caller holds b.mu.
func (b *Balancer) usualTimes(now time.Time, placeable []*target) placement.UsualTimes {
	if len(placeable) == 0 {
		return nil
	}
	service := placeable[0].entry.Service
	if u := b.usual[service]; u != nil && now.Sub(u.at) < usualInterval {
		return u.times
	}
	var reported []relay.KindTimes
	for i := 0; i < len(placeable); i += 1 + (len(placeable)-1)/maxUsualSamples {
		if times := placeable[i].reportedTimes(now); times != 0 {
			reported = append(reported, times)
		}
	}
	u := &usualTimes{at: now, times: placement.UsualTimesOf(reported)}
	b.usual[service] = u
	return u.times
}

// reportedTimes returns the reported times of kinds of requests, 0 if they are unknown.
func (t *target) reportedTimes(now time.Time) relay.KindTimes {
	t.mu.Lock()
	defer t.mu.Unlock()
	if now.Sub(t.reportedAt) >= reportLifetime {
		return 0
	}
	return t.load.Times
}
