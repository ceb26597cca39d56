package process

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"os"
	"runtime/debug"
	"time"

	"github.com/currantturn/currantturn"
	"github.com/currantturn/currantturn/internal/command"
	"github.com/currantturn/currantturn/internal/coordination/statesync"
	"github.com/currantturn/currantturn/internal/core"
	"github.com/currantturn/currantturn/internal/event"
	"github.com/currantturn/currantturn/internal/metric"
	"github.com/currantturn/currantturn/internal/pause"
	"github.com/currantturn/currantturn/internal/settings"
	"github.com/currantturn/currantturn/internal/transport/published"
	"github.com/currantturn/currantturn/platform"
	"github.com/rotisserie/eris"
)

// flowComponents are the parts that balancers and agents of opaque flows have in
// common.
type flowComponents struct {
	process *command.Process
	metrics *metric.Registry
	servers []*http.Server
}

func newFlowComponents(p *command.Process) *flowComponents {
	debug.SetMemoryLimit(memoryLimit)
	return &flowComponents{process: p, metrics: metric.NewRegistry()}
}

func (c *flowComponents) report(e currantturn.Event) {
	c.process.Log.Log(time.Now(), e)
}

// endpoint is an HTTP handler and its address, which is zero if it is not served.
type endpoint struct {
	address netip.AddrPort
	handler http.Handler
}

// serveHTTP starts a server for each endpoint that has an address. It serves none before
// all of them listen, so that a process that is ready also answers at its other addresses.
func (c *flowComponents) serveHTTP(endpoints ...endpoint) error {
	var listeners []net.Listener
	for _, e := range endpoints {
		if !e.address.IsValid() {
			continue
		}
		ln, err := net.Listen("tcp4", e.address.String())
		if err != nil {
			for _, other := range listeners {
				_ = other.Close() // nothing was served yet
			}
			return eris.Wrapf(err, "listen at %s", e.address)
		}
		listeners = append(listeners, ln)
		c.servers = append(c.servers, &http.Server{Handler: e.handler, ReadHeaderTimeout: readHeaderTimeout})
	}
	for i, ln := range listeners {
		go func() { _ = c.servers[i].Serve(ln) }() // returns after Close
	}
	return nil
}

func (c *flowComponents) close() {
	for _, s := range c.servers {
		_ = s.Close()
	}
}

// readinessHandler responds to readiness probes of the routers.
func readinessHandler(ready func() bool) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+platform.ReadinessPath, func(w http.ResponseWriter, _ *http.Request) {
		if !ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	return mux
}

// RunFlowBalancer runs a balancer of opaque flows until p.Stop is closed or the
// context ends.
func RunFlowBalancer(ctx context.Context, p *command.Process) error {
	c := newFlowComponents(p)
	defer c.close()
	seed, err := randomSeed()
	if err != nil {
		return err
	}
	o := p.Options
	store := platform.NewStore(o.Store.Address, func(key string, err error) {
		c.report(currantturn.Event{Number: event.RegistrationUnreadable, Fields: []currantturn.Field{
			event.F("key", key), event.F("error", err),
		}})
	})
	b, err := core.StartFlowBalancer(core.FlowBalancerOptions{
		Codec: platform.Packets{}, Store: store, FailureDomain: o.Process.FailureDomain,
		Link: o.Relay.LinkAddress, Callers: o.Relay.CallerAddress, State: o.Relay.StateAddress,
		Seeds: o.Relay.Seeds, ApplyWithin: min(o.Store.ApplyWithin, o.Store.DrainWithin), Seed: seed,
		LinkCapacity: o.Relay.LinkCapacity, FreshStart: o.Relay.FreshStart, Overflow: o.Relay.Overflow,
		Pull: published.Read, Clock: time.Now, Report: c.report,
	})
	if err != nil {
		return err
	}
	c.metrics.Publish("steering", func() any { return b.Counters() })
	c.metrics.Publish("publication", func() any { return b.PublishedCounters() })
	if err := c.serveHTTP(
		endpoint{o.Relay.ReadinessAddress, readinessHandler(b.Serving)},
		endpoint{o.Relay.StateAddress, published.Handler(func() statesync.State { return b.Published() })},
		endpoint{o.Relay.MetricsAddress, c.metrics.TextHandler()},
	); err != nil {
		_ = b.Close()
		return err
	}
	for {
		select {
		case <-ctx.Done():
			return b.Close()
		case <-p.Reload:
			c.reloadSettings(func(*settings.Options) {})
		case <-p.Stop:
			b.MarkStopping()
			pause.For(ctx, routerRemovalDelay)
			return b.Close()
		}
	}
}

// RunFlowAgent runs an agent of opaque flows until p.Stop is closed or the context
// ends.
func RunFlowAgent(ctx context.Context, p *command.Process) error {
	c := newFlowComponents(p)
	defer c.close()
	o := p.Options
	a, err := core.StartFlowAgent(core.FlowAgentOptions{
		Name: currantturn.BackendID(o.Process.Name), Codec: platform.Packets{}, Service: o.Relay.Service,
		Link: o.Relay.LinkAddress, Outbound: o.Relay.OutboundAddress, Backend: o.Relay.BackendAddress,
		CallerPort: o.Relay.CallerAddress.Port(), FreshStart: o.Relay.FreshStart,
		Seeds: o.Relay.Seeds, FailureDomain: o.Process.FailureDomain,
		WarmUpOvershoot: o.Relay.WarmUpOvershoot, WarmUpTolerance: o.Relay.WarmUpTolerance,
		Clock: time.Now, Report: c.report,
	})
	if err != nil {
		return err
	}
	c.metrics.Publish("holding", func() any { return a.Counters() })
	if err := c.serveHTTP(
		endpoint{o.Relay.ReadinessAddress, readinessHandler(func() bool { return true })},
		endpoint{o.Relay.MetricsAddress, c.metrics.TextHandler()},
	); err != nil {
		_ = a.Close()
		return err
	}
	poll := time.NewTicker(settingsPollInterval)
	defer poll.Stop()
	lastStamp := readFileStamp(p.SettingsPath)
	for {
		select {
		case <-ctx.Done():
			return a.Close()
		case <-p.Stop:
			return a.Stop(ctx)
		case <-p.Reload:
		case <-poll.C:
			if readFileStamp(p.SettingsPath) == lastStamp {
				continue
			}
		}
		lastStamp = readFileStamp(p.SettingsPath)
		c.reloadSettings(func(o *settings.Options) {
			a.SetService(o.Relay.Service)
			a.SetWarmUpLimit(o.Relay.WarmUpOvershoot, o.Relay.WarmUpTolerance)
		})
	}
}

// fileStamp is the size and modification time of a file, by which changes are
// detected.
type fileStamp struct {
	size     int64
	modified time.Time
}

// readFileStamp returns zero if the file cannot be accessed; the reload reports the
// error.
func readFileStamp(path string) fileStamp {
	info, err := os.Stat(path)
	if err != nil {
		return fileStamp{}
	}
	return fileStamp{info.Size(), info.ModTime()}
}

// reloadSettings loads the settings file and applies it. If it has errors or names
// another role, the previous settings remain in use.
func (c *flowComponents) reloadSettings(apply func(*settings.Options)) {
	o, err := settings.Load(c.process.SettingsPath)
	if err == nil && o.Process.Role != c.process.Options.Process.Role {
		err = eris.Errorf("role changed to %s", o.Process.Role)
	}
	if err != nil {
		c.report(currantturn.Event{Number: event.SettingsRejected, Fields: []currantturn.Field{
			event.F("path", c.process.SettingsPath), event.F("error", err),
		}})
		return
	}
	apply(o)
	c.report(currantturn.Event{Number: event.SettingsReloaded, Fields: []currantturn.Field{
		event.F("path", c.process.SettingsPath), event.F("service", o.Relay.Service),
	}})
}
