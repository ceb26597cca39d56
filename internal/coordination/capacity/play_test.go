package capacity_test

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/currantturn/currantturn/internal/coordination/capacity"
)

// kind is a kind of requests in a play.
type kind struct {
	id        capacity.Kind
	perSecond float64
	work      time.Duration // median, at speed 1
}

// play is one backend server under random requests. Requests beyond the limit wait in
// order of arrival until their callers give up.
type play struct {
	seed  uint64
	slots int
	kinds func(at time.Duration) []kind
	// speed returns the work done per second with n requests in progress.
	speed func(at time.Duration, n int) float64
	// failing is the share of requests that end at once with a failure.
	failing  func(at time.Duration) float64
	duration time.Duration
	// unlimited runs as many requests as there are slots.
	unlimited bool
	// each is called every 100 ms.
	each func(at time.Duration, c *capacity.Concurrency, t *capacity.Times)
}

// running is a request in progress or waiting.
type running struct {
	kind             capacity.Kind
	arrived, started time.Duration
	work             float64 // seconds left
}

const (
	step    = time.Millisecond
	timeout = 1500 * time.Millisecond
)

// longTail returns a factor of the median work: a few requests take far longer.
func longTail(rng *rand.Rand) float64 {
	factor := math.Exp(0.45 * rng.NormFloat64())
	if rng.Float64() < 0.03 {
		factor *= 7
	}
	return factor
}

// run plays the load, and returns the times from arrival to the answer in order.
func (p *play) run() []time.Duration {
	rng := rand.New(rand.NewPCG(p.seed, 7))
	var c capacity.Concurrency
	var times capacity.Times
	c.SetSlots(p.slots)
	var waiting, inProgress []running
	var took []time.Duration
	for at := time.Duration(0); at < p.duration; at += step {
		now := time.Unix(1000, 0).Add(at)
		for _, k := range p.kinds(at) {
			if rng.Float64() < k.perSecond*step.Seconds() {
				r := running{kind: k.id, arrived: at, work: k.work.Seconds() * longTail(rng)}
				if p.failing != nil && rng.Float64() < p.failing(at) {
					r.work = 0.0005
				}
				waiting = append(waiting, r)
			}
		}
		limit := p.slots
		if !p.unlimited {
			limit = c.Limit(now)
		}
		for len(waiting) > 0 && at-waiting[0].arrived > timeout {
			waiting = waiting[1:]
		}
		for len(waiting) > 0 && len(inProgress) < limit {
			waiting[0].started = at
			inProgress = append(inProgress, waiting[0])
			waiting = waiting[1:]
			c.Started(now)
		}
		if n := len(inProgress); n > 0 {
			share := p.speed(at, n) / float64(n) * step.Seconds()
			for i := range inProgress {
				inProgress[i].work -= share
			}
		}
		inProgress = slices.DeleteFunc(inProgress, func(r running) bool {
			if r.work > 0 {
				return false
			}
			c.Answered(now)
			times.Record(now, r.kind, at+step-r.started)
			took = append(took, at+step-r.arrived)
			return true
		})
		if p.each != nil && at%(100*time.Millisecond) == 0 {
			p.each(at, &c, &times)
		}
	}
	return took
}

// timely counts the answers within the objective.
func timely(took []time.Duration, objective time.Duration) (n int) {
	for _, t := range took {
		if t <= objective {
			n++
		}
	}
	return n
}
