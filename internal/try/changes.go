package try

import (
	"context"
	"fmt"
	"time"

	"github.com/currantturn/currantturn/pkg/patch"
)

// plannedChange is an operator's change during a run.
type plannedChange struct {
	fraction float64 // of the run's duration, when the change is applied
	label    string
	apply    func(*run) error
}

// plannedChanges returns the changes of every run in order.
func plannedChanges() []plannedChange {
	return []plannedChange{
		{fraction: 0.15, label: "replace a balancer", apply: (*run).replaceBalancer},
		{fraction: 0.30, label: "drain a backend server", apply: (*run).drainHost},
		{fraction: 0.50, label: "patch a weight", apply: (*run).patchWeight},
		{fraction: 0.60, label: "replace a balancer", apply: (*run).replaceBalancer},
		{fraction: 0.75, label: "return the backend server", apply: (*run).undrainHost},
	}
}

// applyChanges applies each planned change at its time.
func (r *run) applyChanges(ctx context.Context, duration time.Duration) error {
	start := time.Now()
	for _, c := range plannedChanges() {
		at := time.Duration(c.fraction * float64(duration))
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(at - time.Since(start)):
		}
		r.printf("%5.1fs  %s", time.Since(start).Seconds(), c.label)
		if err := c.apply(r); err != nil {
			return fmt.Errorf("%s: %w", c.label, err)
		}
	}
	return nil
}

func (r *run) replaceBalancer() error {
	return r.cluster.replaceBalancer()
}

// drainedHost returns the host that every run drains: the first of the first service.
func (r *run) drainedHost() *host {
	return r.cluster.hosts[0]
}

// drainHost drains a backend server and, after drainBound, stores how many requests it
// has served.
func (r *run) drainHost() error {
	h := r.drainedHost()
	err := r.cluster.platform.publish(patch.Drain{Service: h.service, ID: h.id})
	time.AfterFunc(drainBound, func() { r.servedAtDrainBound.Store(h.backend.Served()) })
	return err
}

// undrainHost counts the requests served since drainBound, which should be none, and
// returns the backend server to service. It counts none if drainBound has not passed
// yet, as in a short run.
func (r *run) undrainHost() error {
	h := r.drainedHost()
	if served := r.servedAtDrainBound.Load(); served > 0 {
		r.servedAfterDrainBound.Store(h.backend.Served() - served)
	}
	return r.cluster.platform.publish(patch.Undrain{Service: h.service, ID: h.id})
}

// patchWeight increases the weight of the last backend server by one.
func (r *run) patchWeight() error {
	last := r.cluster.hosts[len(r.cluster.hosts)-1]
	return r.cluster.platform.publish(patch.SetWeight{Service: last.service, ID: last.id, Weight: last.slots + 1})
}
