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

// source is a running balancer or agent, as the administration API reads it.
type source interface {
	Log() *configuration.Log
	Status() admin.Status
	Members(limit int) []admin.Member
	Flows(limit int) []admin.BackendFlows
	Stopping()
	Close() error
}

func (x *parts) providers(s source) admin.Providers {
	return admin.Providers{
		Status:   func() admin.Status { return x.status(s) },
		Verdicts: x.verdicts,
		Members:  s.Members,
		Flows:    s.Flows,
		Audit:    x.trail.trail.Entries,
		DryRun: func(_ context.Context, against currantturn.Version, p []byte) (admin.DryRun, error) {
			return admin.JudgeAgainst(s.Log().Current(), against, p)
		},
		Metrics: x.metrics,
	}
}

// status adds what the process knows to what its role knows.
func (x *parts) status(s source) admin.Status {
	out := s.Status()
	o := x.options.Process
	out.Name = o.Name
	out.Role = o.Role
	out.FailureDomain = o.FailureDomain
	out.Release = command.Release
	out.Started = x.started
	out.Uptime = time.Since(x.started)
	if in := x.newestInForce(); in != nil {
		out.Configuration.InForce = in.InForce
	}
	return out
}

func (x *parts) newestInForce() *audit.Entry {
	entries := x.trail.trail.Entries(audit.Capacity)
	for i := len(entries) - 1; i >= 0; i-- {
		if !entries[i].InForce.IsZero() {
			return &entries[i]
		}
	}
	return nil
}

func (x *parts) verdicts(limit int) []admin.Verdict {
	entries := x.trail.trail.Entries(limit)
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
