package core

import (
	"context"
	"time"

	"github.com/currantturn/currantturn"
	"github.com/currantturn/currantturn/internal/coordination/health"
)

// probe asks the backend server's endpoints until the context ends, and lets
// the agent leave while they show that it should take no work.
func (a *Agent) probe(ctx context.Context) {
	p := a.opts.Prober
	if p == nil || !p.HasHealth() {
		return
	}
	judge := health.New(a.opts.ID)
	t := time.NewTicker(health.ProbeEvery)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		a.probeOnce(ctx, judge)
	}
}

func (a *Agent) probeOnce(ctx context.Context, judge *health.Judge) {
	ctx, cancel := context.WithTimeout(ctx, health.ProbeTimeout)
	defer cancel()
	before := judge.State()
	answer := a.opts.Prober.Health(ctx)
	a.node.decide(func(now time.Time, out *currantturn.Effects) { judge.Probe(now, answer, out) })
	if a.opts.Prober.HasLoad() {
		a.compareLoad(ctx, judge)
	}
	if after := judge.State(); after != before {
		a.follow(before, after)
	}
}

// compareLoad reports an endpoint whose load is not what the gate counts.
func (a *Agent) compareLoad(ctx context.Context, judge *health.Judge) {
	told, err := a.opts.Prober.Load(ctx)
	if err != nil {
		return
	}
	a.node.decide(func(now time.Time, out *currantturn.Effects) {
		judge.Load(now, told, a.gate.Load(now).Running, out)
	})
}

// follow lets the agent leave or come back with its backend server; a planned
// stop is not taken back.
func (a *Agent) follow(before, after health.State) {
	if a.stopping.Load() {
		return
	}
	a.Leave(after != health.Up)
	if before == health.Down && after == health.Up {
		a.gate.Restarted(a.opts.Clock())
	}
}
