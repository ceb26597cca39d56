package flowbalancer

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/currantturn/currantturn"
	"github.com/currantturn/currantturn/internal/coordination/placement"
	"github.com/currantturn/currantturn/internal/event"
)

// chooseBackend returns the best backend server that has not been tried, or nil if
// there is none. The service is drawn by the weights of the route. If it has no such
// backend server, or only overloaded ones, another service of the route is used.
func (b *Balancer) chooseBackend(
	now time.Time, p *plan, route *currantturn.FlowRoute, flow currantturn.FlowKey, tried []currantturn.BackendID,
	out *currantturn.Effects,
) *target {
	b.mu.Lock()
	defer b.mu.Unlock()
	if p.provisional {
		t, _ := b.chooseAmong(now, b.learnedHolders[route.Address], flow, tried, out)
		return t
	}
	drawn := drawShare(b.rng, route.Shares)
	t, c := b.chooseAmong(now, p.placeable[drawn.Service], flow, tried, out)
	if len(route.Shares) == 1 || t != nil && (b.opts.NoOverflow || !c.Overloaded(route.LatencyObjective)) {
		return t
	}
	others := withoutShare(route.Shares, drawn)
	for len(others) > 0 {
		share := drawShare(b.rng, others)
		other, c := b.chooseAmong(now, p.placeable[share.Service], flow, tried, out)
		if other != nil && (t == nil || c.Relieves(route.LatencyObjective)) {
			b.counts.overflowed.Add(1)
			out.Event(event.FlowOverflowed, event.F("flow", flow), event.F("drawn", drawn.Service), event.F("service", share.Service))
			return other
		}
		others = withoutShare(others, share)
	}
	return t
}

// chooseAmong returns the best of the targets that have not been tried, or nil if there
// is none. It considers only the highest-ranked ones, so that searches find the flow
// quickly, unless all of these were tried or are to be avoided. The caller holds b.mu.
func (b *Balancer) chooseAmong(
	now time.Time, placeable []*target, flow currantturn.FlowKey, tried []currantturn.BackendID, out *currantturn.Effects,
) (*target, placement.Candidate) {
	usual := b.usualTimes(now, placeable)
	for _, group := range [][]*target{highestRanked(placeable, flow, placementCandidates), placeable} {
		targets, candidates := b.targets[:0], b.candidates[:0]
		for _, t := range group {
			c := t.candidate(now, b.opts.Domain, usual)
			if slices.Contains(tried, t.entry.ID) || t.declines(now) || b.drains.learned(now, t.entry.FailureDomain) ||
				c.Avoid && len(group) < len(placeable) {
				continue
			}
			targets = append(targets, t)
			candidates = append(candidates, c)
		}
		b.targets, b.candidates = targets, candidates // keeps the memory
		usualTime := placement.UsualServiceTime(candidates)
		reportSpeedChanges(now, targets, candidates, usualTime, out)
		if best := placement.Choose(b.rng, candidates, usualTime); best >= 0 {
			return targets[best], candidates[best]
		}
	}
	return nil, placement.Candidate{}
}

// drawShare draws one of the shares at random, by weight.
func drawShare(rng *rand.Rand, shares []currantturn.Share) currantturn.Share {
	if len(shares) == 1 {
		return shares[0]
	}
	total := 0
	for _, s := range shares {
		total += s.Weight
	}
	remaining := rng.IntN(total)
	for _, s := range shares {
		if remaining -= s.Weight; remaining < 0 {
			return s
		}
	}
	return shares[0]
}

// withoutShare returns a copy of shares without one of them.
func withoutShare(shares []currantturn.Share, share currantturn.Share) []currantturn.Share {
	return slices.DeleteFunc(slices.Clone(shares), func(s currantturn.Share) bool { return s == share })
}

// reportSpeedChanges emits an event for each target that has become slow compared to
// the others, or is no longer slow.
func reportSpeedChanges(
	now time.Time, targets []*target, candidates []placement.Candidate, usual time.Duration, out *currantturn.Effects,
) {
	for i, t := range targets {
		c := &candidates[i]
		if c.ServiceTime <= 0 || len(candidates) == 1 {
			continue
		}
		slow, changed := t.updateSlow(c, usual)
		if !changed {
			continue
		}
		eventNumber := event.BackendUsual
		if slow {
			eventNumber = event.BackendSlow
		}
		out.Event(eventNumber, event.F("backend", t.entry.ID), event.F("slowness", c.SlownessAgainst(usual)),
			event.F("service_time", c.ServiceTime), event.F("usual", usual), event.F("age", t.loadSnapshot(now).age))
	}
}
