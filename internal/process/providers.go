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

// role is a running balancer or agent.
type role interface {
	Log() *configuration.Log
	Status() admin.Status
	Members(limit int) []admin.Member
	Flows(limit int) []admin.BackendFlows
	MarkStopping()
	Close() error
}

func (c *components) providers(r role) admin.Providers {
	return admin.Providers{
		Status:   func() admin.Status { return c.status(r) },
		Verdicts: c.verdicts,
		Members:  r.Members,
		Flows:    r.Flows,
		Audit:    c.auditor.trail.Entries,
		DryRun: func(_ context.Context, against currantturn.Version, p []byte) (admin.DryRun, error) {
			return admin.CheckPatchAgainst(r.Log().Current(), against, p)
		},
		Metrics: c.metrics,
	}
}

// status returns the status of the role, completed by the fields that are common
// to all processes.
func (c *components) status(r role) admin.Status {
	status := r.Status()
	o := c.options.Process
	status.Name = o.Name
	status.Role = o.Role
	status.FailureDomain = o.FailureDomain
	status.Release = command.Release
	status.Started = c.started
	status.Uptime = time.Since(c.started)
	if newest := c.newestInForce(); newest != nil {
		status.Configuration.InForce = newest.InForce
	}
	return status
}

// newestInForce returns the newest entry of the audit trail that is in force, or
// nil.
func (c *components) newestInForce() *audit.Entry {
	entries := c.auditor.trail.Entries(audit.DefaultCapacity)
	for i := len(entries) - 1; i >= 0; i-- {
		if !entries[i].InForce.IsZero() {
			return &entries[i]
		}
	}
	return nil
}

// verdicts returns the newest entries of the audit trail in the form of the
// administration API.
func (c *components) verdicts(limit int) []admin.Verdict {
	entries := c.auditor.trail.Entries(limit)
	verdicts := make([]admin.Verdict, 0, len(entries))
	for i := range entries {
		e := &entries[i]
		verdicts = append(verdicts, admin.Verdict{
			Position:  e.Position,
			Author:    e.Author,
			Published: e.Published,
			Verdict:   e.Verdict,
			Reason:    e.Reason,
			Version:   e.Version,
		})
	}
	return verdicts
}
