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
	x, err := newComponents(p)
	if err != nil {
		return err
	}
	entryConn, listen, err := openEntry(p.Options)
	if err != nil {
		return err
	}
	o := p.Options
	feed := x.feedOptions()
	feed.InForce = x.inForceHandler(feed.InForce, listen)
	b, err := core.StartBalancer(core.BalancerOptions{
		Name:      currantturn.VMName(o.Process.Name),
		Domain:    o.Process.FailureDomain,
		Link:      o.Link.Address,
		Advertise: o.Link.AdvertisedAddress,
		Entry:     entryConn,
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
	x.auditor.configurationLog = b.Log
	b.Publish(x.metrics)
	return x.run(ctx, p, b, func(stop context.Context) error {
		// The fabric needs a moment to send its packets elsewhere; a balancer
		// holds no flow that its end could cut.
		pause.For(stop, drainTime)
		return b.Close()
	})
}

// openEntry opens the entry that the settings name; listen, if not nil, lets
// it follow the addresses of the configuration.
func openEntry(o *settings.Options) (opened currantturn.Entry, listen func(*currantturn.View) error, err error) {
	if o.Entry.Kind == settings.EntryProxy {
		opened, err = entry.OpenProxy(o.Entry.FabricAnswerAddress, o.Entry.Addresses...)
		return opened, nil, err
	}
	direct := entry.OpenDirect()
	if len(o.Entry.Addresses) > 0 {
		return direct, nil, direct.Listen(o.Entry.Addresses)
	}
	return direct, func(v *currantturn.View) error { return direct.Listen(serviceAddresses(v)) }, nil
}

func serviceAddresses(v *currantturn.View) []netip.AddrPort {
	var addresses []netip.AddrPort
	for i := range v.Services {
		addresses = append(addresses, v.Services[i].Addresses...)
	}
	return addresses
}

// inForceHandler reports the first configuration in force and lets a direct
// entry follow each one.
func (x *components) inForceHandler(
	handle func(time.Time, *currantturn.View), listen func(*currantturn.View) error,
) func(time.Time, *currantturn.View) {
	ready := false
	return func(now time.Time, v *currantturn.View) {
		handle(now, v)
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
