package process

import (
	"context"
	"time"

	"github.com/currantturn/currantturn"
	"github.com/currantturn/currantturn/internal/admin"
	"github.com/currantturn/currantturn/internal/audit"
	"github.com/currantturn/currantturn/internal/command"
	"github.com/currantturn/currantturn/internal/state/configuration"
)

// role is a running balancer or agent, as the administration API reads it.
type role interface {
	Log() *configuration.Log
	Status() admin.Status
	Members(limit int) []admin.Member
	Flows(limit int) []admin.BackendFlows
	Stopping()
	Close() error
}

func (x *components) providers(s role) admin.Providers {
	return admin.Providers{
		Status:   func() admin.Status { return x.status(s) },
		Verdicts: x.verdicts,
		Members:  s.Members,
		Flows:    s.Flows,
		Audit:    x.auditor.trail.Entries,
		DryRun: func(_ context.Context, against currantturn.Version, p []byte) (admin.DryRun, error) {
			return admin.CheckPatchAgainst(s.Log().Current(), against, p)
		},
		Metrics: x.metrics,
	}
}

// status adds what the process knows to what its role knows.
func (x *components) status(s role) admin.Status {
	out := s.Status()
	o := x.options.Process
	out.Name = o.Name
	out.Role = o.Role
	out.FailureDomain = o.FailureDomain
	out.Release = command.Release
	out.Started = x.started
	out.Uptime = time.Since(x.started)
	if newest := x.newestInForce(); newest != nil {
		out.Configuration.InForce = newest.InForce
	}
	return out
}

func (x *components) newestInForce() *audit.Entry {
	entries := x.auditor.trail.Entries(audit.DefaultCapacity)
	for i := len(entries) - 1; i >= 0; i-- {
		if !entries[i].InForce.IsZero() {
			return &entries[i]
		}
	}
	return nil
}

func (x *components) verdicts(limit int) []admin.Verdict {
	entries := x.auditor.trail.Entries(limit)
	out := make([]admin.Verdict, 0, len(entries))
	for i := range entries {
		e := &entries[i]
		out = append(out, admin.Verdict{
			Position:  e.Position,
			Author:    e.Author,
			Published: e.Published,
			Verdict:   e.Verdict,
			Reason:    e.Reason,
			Version:   e.Version,
		})
	}
	return out
}
