package flowbalancer

import (
	"slices"
	"time"

	"github.com/currantturn/currantturn/internal/coordination/placement"
	"github.com/currantturn/currantturn/internal/protocol/relay"
)

// usualTimes are the usual times of a service's requests at a point in time.
type usualTimes struct {
	at    time.Time
	times placement.UsualTimes
	short int // lower median of the shares of answers that came far too early, in percent
}

// usualTimes returns the usual times of the requests of a service, from the reports of
// up to maxUsualSamples of its backend servers. The caller holds b.mu.
func (b *Balancer) usualTimes(now time.Time, placeable []*target) *usualTimes {
	if len(placeable) == 0 {
		return &usualTimes{}
	}
	service := placeable[0].entry.Service
	if u := b.usual[service]; u != nil && now.Sub(u.at) < usualInterval {
		return u
	}
	var reported []relay.KindTimes
	var shorts []int
	for i := 0; i < len(placeable); i += 1 + (len(placeable)-1)/maxUsualSamples {
		if times, short := placeable[i].reportedTimes(now); times != 0 {
			reported = append(reported, times)
			shorts = append(shorts, short)
		}
	}
	u := &usualTimes{at: now, times: placement.UsualTimesOf(reported)}
	if len(shorts) > 0 {
		slices.Sort(shorts)
		u.short = shorts[(len(shorts)-1)/2]
	}
	b.usual[service] = u
	return u
}

// reportedTimes returns the reported times of kinds of requests, and the share of answers
// that came far too early; 0 if they are unknown.
func (t *target) reportedTimes(now time.Time) (times relay.KindTimes, short int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if now.Sub(t.reportedAt) >= reportLifetime {
		return 0, 0
	}
	return t.load.Times, t.load.Short
}
