package process

import (
	"context"
	"net/netip"
	"time"

	"github.com/currantturn/currantturn"
	"github.com/currantturn/currantturn/internal/command"
	"github.com/currantturn/currantturn/internal/core"
	"github.com/currantturn/currantturn/internal/event"
	"github.com/currantturn/currantturn/internal/pause"
	"github.com/currantturn/currantturn/internal/settings"
	"github.com/currantturn/currantturn/internal/transport/entry"
)

// RunBalancer runs a balancer until its planned stop or the context's end.
func RunBalancer(ctx context.Context, p *command.Process) error {
	x, err := newParts(p)
	if err != nil {
		return err
	}
	door, listen, err := openEntry(p.Options)
	if err != nil {
		return err
	}
	o := p.Options
	feed := x.feed()
	feed.InForce = x.announceReady(feed.InForce, listen)
	b, err := core.StartBalancer(core.BalancerOptions{
		Name:      currantturn.VMName(o.Process.Name),
		Domain:    o.Process.FailureDomain,
		Link:      o.Link.Address,
		Advertise: o.Link.AdvertisedAddress,
		Entry:     door,
		Sealer:    x.sealer,
		Secrets:   x.secrets,
		Seed:      x.seed,
		Hints:     o.Flows.HintCacheSize,
		Feed:      feed,
		Clock:     time.Now,
		Report:    x.report,
	})
	if err != nil {
		return err
	}
	x.trail.log = b.Log
	b.Publish(x.metrics)
	return x.run(ctx, p, b, func(stop context.Context) error {
		// The fabric needs a moment to send its packets elsewhere; a balancer
		// holds no flow that its end could cut.
		pause.For(stop, balancerDrain)
		return b.Close()
	})
}

// openEntry opens the entry that the settings name; listen, if not nil, lets
// it follow the addresses of the configuration.
func openEntry(o *settings.Options) (door currantturn.Entry, listen func(*currantturn.View) error, err error) {
	if o.Entry.Kind == settings.EntryProxy {
		door, err = entry.OpenProxy(o.Entry.FabricAnswerAddress, o.Entry.Addresses...)
		return door, nil, err
	}
	d := entry.OpenDirect()
	if len(o.Entry.Addresses) > 0 {
		return d, nil, d.Listen(o.Entry.Addresses)
	}
	return d, func(v *currantturn.View) error { return d.Listen(serviceAddresses(v)) }, nil
}

func serviceAddresses(v *currantturn.View) []netip.AddrPort {
	var all []netip.AddrPort
	for i := range v.Services {
		all = append(all, v.Services[i].Addresses...)
	}
	return all
}

// announceReady reports the first configuration in force and lets a direct
// entry follow each one.
func (x *parts) announceReady(
	next func(time.Time, *currantturn.View), listen func(*currantturn.View) error,
) func(time.Time, *currantturn.View) {
	ready := false
	return func(now time.Time, v *currantturn.View) {
		next(now, v)
		if listen != nil {
			if err := listen(v); err != nil {
				x.report(currantturn.Event{Number: event.ListenerFailed, Fields: []currantturn.Field{
					event.F("kind", "entry"), event.F("error", err.Error()),
				}})
			}
		}
		if !ready {
			ready = true
			x.report(currantturn.Event{Number: event.ProcessReady, Fields: []currantturn.Field{
				event.F("configuration_version", uint64(v.Version)),
			}})
		}
	}
}
