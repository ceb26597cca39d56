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

// RunBalancer runs a balancer until p.Stop is closed or the context ends.
func RunBalancer(ctx context.Context, p *command.Process) error {
	c, err := newComponents(p)
	if err != nil {
		return err
	}
	entryConn, listen, err := openEntry(p.Options)
	if err != nil {
		return err
	}
	o := p.Options
	feed := c.feedOptions()
	feed.OnInForce = c.inForceHandler(feed.OnInForce, listen)
	b, err := core.StartBalancer(core.BalancerOptions{
		Name:          currantturn.VMName(o.Process.Name),
		FailureDomain: o.Process.FailureDomain,
		Link:          o.Link.Address,
		Advertise:     o.Link.AdvertisedAddress,
		Entry:         entryConn,
		Sealer:        c.sealer,
		Secrets:       c.secrets,
		Seed:          c.seed,
		MaxHints:      o.Flows.HintCacheSize,
		Feed:          feed,
		Clock:         time.Now,
		Report:        c.report,
	})
	if err != nil {
		return err
	}
	c.auditor.configurationLog = b.Log
	b.Publish(c.metrics)
	return c.run(ctx, p, b, func(stop context.Context) error {
		// The fabric needs some time to send its packets to other balancers. No flow
		// has to end first, as balancers hold none.
		pause.For(stop, drainTime)
		return b.Close()
	})
}

// openEntry opens the entry that the settings select. If the settings give no
// addresses to a direct entry, listen makes it listen on the service addresses of
// a configuration; otherwise listen is nil.
func openEntry(o *settings.Options) (opened currantturn.Entry, listen func(*currantturn.View) error, err error) {
	if o.Entry.Kind == settings.EntryProxy {
		opened, err = entry.OpenProxy(o.Entry.FabricAnswerAddress, o.Entry.Addresses...)
		return opened, nil, err
	}
	direct := entry.NewDirect()
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

// inForceHandler returns a handler for configurations that come into force. It
// calls handle, updates the addresses of the entry with listen if that is not nil,
// and reports the process as ready on the first configuration.
func (c *components) inForceHandler(
	handle func(time.Time, *currantturn.View), listen func(*currantturn.View) error,
) func(time.Time, *currantturn.View) {
	ready := false
	return func(now time.Time, v *currantturn.View) {
		handle(now, v)
		if listen != nil {
			if err := listen(v); err != nil {
				c.report(currantturn.Event{Number: event.ListenerFailed, Fields: []currantturn.Field{
					event.F("kind", "entry"), event.F("error", err.Error()),
				}})
			}
		}
		if !ready {
			ready = true
			c.report(currantturn.Event{Number: event.ProcessReady, Fields: []currantturn.Field{
				event.F("configuration_version", uint64(v.Version)),
			}})
		}
	}
}
