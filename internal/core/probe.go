package core

import (
	"context"
	"time"

	"github.com/currantturn/currantturn"
	"github.com/currantturn/currantturn/internal/coordination/health"
)

// probeLoop probes the health and load endpoints of the backend server until the
// context ends; the agent is leaving while the server is leaving or down.
func (a *Agent) probeLoop(ctx context.Context) {
	prober := a.opts.Prober
	if prober == nil || !prober.HasHealth() {
		return
	}
	tracker := health.New(a.opts.ID)
	ticker := time.NewTicker(health.ProbeEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		a.probeOnce(ctx, tracker)
	}
}

// probeOnce probes the backend server once and applies a change of its health.
func (a *Agent) probeOnce(ctx context.Context, tracker *health.Tracker) {
	ctx, cancel := context.WithTimeout(ctx, health.ProbeTimeout)
	defer cancel()
	before := tracker.State()
	result := a.opts.Prober.Health(ctx)
	a.node.decide(func(now time.Time, out *currantturn.Effects) { tracker.RecordProbe(now, result, out) })
	if a.opts.Prober.HasLoad() {
		a.compareLoad(ctx, tracker)
	}
	if after := tracker.State(); after != before {
		a.applyHealth(before, after)
	}
}

// compareLoad compares the load that the endpoint reports with the gate's own
// count; the tracker reports a difference.
func (a *Agent) compareLoad(ctx context.Context, tracker *health.Tracker) {
	reported, err := a.opts.Prober.Load(ctx)
	if err != nil {
		return
	}
	a.node.decide(func(now time.Time, out *currantturn.Effects) {
		tracker.CompareLoad(now, reported, a.gate.Load(now).Running, out)
	})
}

// applyHealth makes the agent leave or return together with its backend server. A
// planned stop is never undone.
func (a *Agent) applyHealth(before, after health.State) {
	if a.stopping.Load() {
		return
	}
	a.SetLeaving(after != health.Up)
	if before == health.Down && after == health.Up {
		a.gate.BeginRampUp(a.opts.Clock())
	}
}
