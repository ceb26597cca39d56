package try

import (
	"context"
	"fmt"
	"time"

	"github.com/currantturn/currantturn/pkg/patch"
)

// change is one planned change and when it happens, as a fraction of the run.
type change struct {
	at    float64
	label string
	apply func(*run) error
}

// changes are what every run goes through.
func changes() []change {
	return []change{
		{at: 0.15, label: "replace a balancer", apply: (*run).replaceBalancer},
		{at: 0.30, label: "drain a backend server", apply: (*run).drain},
		{at: 0.50, label: "patch a weight", apply: (*run).patchWeight},
		{at: 0.60, label: "replace a balancer", apply: (*run).replaceBalancer},
		{at: 0.75, label: "return the backend server", apply: (*run).undrain},
	}
}

// change applies each planned change at its time.
func (r *run) change(ctx context.Context, d time.Duration) error {
	start := time.Now()
	for _, c := range changes() {
		at := time.Duration(c.at * float64(d))
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(at - time.Since(start)):
		}
		r.say("%5.1fs  %s", time.Since(start).Seconds(), c.label)
		if err := c.apply(r); err != nil {
			return fmt.Errorf("%s: %w", c.label, err)
		}
	}
	return nil
}

func (r *run) replaceBalancer() error {
	return r.site.replaceBalancer()
}

// drained is the backend server that every run drains: the first of the first
// service.
func (r *run) drained() *host {
	return r.site.hosts[0]
}

func (r *run) drain() error {
	h := r.drained()
	err := r.site.platform.publish(patch.Drain{Service: h.service, ID: h.id})
	time.AfterFunc(leavingBound, func() { r.servedAtBound.Store(h.backend.Served()) })
	return err
}

func (r *run) undrain() error {
	h := r.drained()
	if at := r.servedAtBound.Load(); at > 0 {
		r.lateWork.Store(h.backend.Served() - at)
	}
	return r.site.platform.publish(patch.Undrain{Service: h.service, ID: h.id})
}

func (r *run) patchWeight() error {
	last := r.site.hosts[len(r.site.hosts)-1]
	return r.site.platform.publish(patch.SetWeight{Service: last.service, ID: last.id, Weight: last.slots + 1})
}
