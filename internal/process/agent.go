package process

import (
	"context"
	"time"

	"github.com/currantturn/currantturn"
	"github.com/currantturn/currantturn/internal/command"
	"github.com/currantturn/currantturn/internal/core"
	"github.com/currantturn/currantturn/internal/transport/probe"
)

// RunAgent runs an agent until p.Stop is closed or the context ends.
func RunAgent(ctx context.Context, p *command.Process) error {
	c, err := newComponents(p)
	if err != nil {
		return err
	}
	o := p.Options
	callerTLS, err := readCallerTLS(o.Backend.CallerCertificateFile, o.Backend.CallerKeyFile)
	if err != nil {
		return err
	}
	feed := c.feedOptions()
	feed.OnInForce = c.inForceHandler(feed.OnInForce, nil)
	a, err := core.StartAgent(core.AgentOptions{
		ID:              currantturn.BackendID(o.Process.Name),
		Service:         o.Backend.Service,
		FailureDomain:   o.Process.FailureDomain,
		Link:            o.Link.Address,
		Advertise:       o.Link.AdvertisedAddress,
		Stream:          o.Backend.StreamAddress,
		Backend:         o.Backend.Address,
		Prober:          probe.New(o.Backend.HealthURL, o.Backend.LoadURL),
		CallerTLS:       callerTLS,
		Identity:        c.identity,
		Sealer:          c.sealer,
		Secrets:         c.secrets,
		Seed:            c.seed,
		CheckInvariants: o.Flows.CheckInvariants,
		MaxFlowRecords:  o.Flows.TableSize,
		FlowIdle:        o.Flows.IdleTimeout,
		Retention:       o.Requests.Retention,
		MaxClaimBytes:   int(o.Requests.RecordStoreBytes),
		ClockSkew:       o.Requests.ClockSkew,
		MaxWatches:      o.Requests.WatchesMax,
		RampUp:          o.Requests.ColdStart,
		Feed:            feed,
		Clock:           time.Now,
		Report:          c.report,
	})
	if err != nil {
		return err
	}
	c.auditor.configurationLog = a.Log
	a.Publish(c.metrics)
	return c.run(ctx, p, a, a.Shutdown)
}
