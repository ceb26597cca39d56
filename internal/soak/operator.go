package soak

import (
	"context"
	"fmt"
	"net/netip"
	"sync"
	"time"

	"github.com/currantturn/currantturn/internal/pause"
	"github.com/currantturn/currantturn/platform/platformtest"
)

// operator writes to the store: configurations and, for the backend servers,
// registrations.
type operator struct {
	net   *network
	store *platformtest.Store
	judge *judge
	vms   []*backendVM

	mu      sync.Mutex
	version uint64
	serial  int // of backend servers
}

// addresses of services: new flows of the first go elsewhere with each
// version, those of the second stay with service 0.
var (
	movingService = netip.MustParseAddrPort("198.18.0.1:443")
	steadyService = netip.MustParseAddrPort("198.18.0.2:443")
)

// configure publishes the next version.
func (o *operator) configure(now time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.version += 1 + o.version%3 // uneven steps
	to := int(o.version) % services
	c := platformtest.Configuration{Version: o.version, Limits: map[string]int{"idle_timeout_ms": 30000}}
	for at, s := range map[netip.AddrPort]int{movingService: to, steadyService: 0} {
		c.Routes = append(c.Routes, platformtest.Route{
			Hostname: at.Addr().String(), Prefix: fmt.Sprintf("/%d/", at.Port()), Service: serviceName(s),
			TargetLatencyMS: 200, TimeoutMS: int(requestTimeout.Milliseconds()), Priority: 1,
		})
	}
	o.store.Configure(c)
	o.judge.configured(version{
		number: o.version, acked: now, routes: map[netip.AddrPort]int{movingService: to, steadyService: 0},
	})
}

func serviceName(i int) string { return fmt.Sprintf("service%d", i) }

// instance names a new backend server of a machine.
func (o *operator) instance(now time.Time, machine, service int) *instance {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.serial++
	id := fmt.Sprintf("i-%d-%d", machine, o.serial)
	return &instance{id: id, name: id, machine: machine, service: service, born: now}
}

// again names a new start of a backend server under its old id.
func (o *operator) again(now time.Time, was *instance) *instance {
	b := o.instance(now, was.machine, was.service)
	b.id = was.id
	return b
}

func (o *operator) register(b *instance, state string) {
	o.store.Register(b.id, platformtest.Registration{
		Service: serviceName(b.service), Address: o.net.at(backendNet, b.machine, backendPort).String(),
		Zone: domainOf(b.machine), MaxConcurrency: slots, State: state, Born: b.born.UnixMilli(),
	})
}

func domainOf(i int) string { return fmt.Sprintf("domain%d", i%3) }

// crash loses a backend server; another start follows after the fault.
func (o *operator) crash(ctx context.Context, f Fault) error {
	m := o.vms[f.Agent]
	if !m.changing.TryLock() {
		return nil // it is being replaced already
	}
	defer m.changing.Unlock()
	was := m.instance()
	calm := o.judge.disturb(backendSubject(f.Agent))
	defer func() { calm(time.Now()) }()
	m.end()
	pause.For(ctx, f.For)
	b := o.instance(time.Now(), was.machine, was.service)
	if f.How == "same_id" {
		b = o.again(time.Now(), was)
	}
	if err := m.start(b); err != nil {
		return err
	}
	o.register(b, "ready")
	if b.id != was.id {
		pause.For(ctx, heartbeatsMissed)
		o.store.Remove(was.id)
	}
	return nil
}

// reuse drains a backend server and gives its address to one of another service.
func (o *operator) reuse(ctx context.Context, f Fault, changeService func(service int) error) error {
	m := o.vms[f.Agent]
	if !m.changing.TryLock() {
		return nil // it is being replaced already
	}
	defer m.changing.Unlock()
	was := m.instance()
	o.register(was, "draining")
	m.leave(time.Now())
	pause.For(ctx, drainWithin+leavesAfter+f.For)
	calm := o.judge.disturb(backendSubject(f.Agent))
	defer func() { calm(time.Now()) }()
	m.end()
	o.store.Remove(was.id)
	pause.For(ctx, addressReuse)
	b := o.instance(time.Now(), was.machine, (was.service+1)%services)
	if o.lastOf(was.service, was.machine) {
		b.service = was.service // the last one is replaced by one of its own service
	}
	if err := changeService(b.service); err != nil {
		return err
	}
	if err := m.start(b); err != nil {
		return err
	}
	o.register(b, "ready")
	return nil
}

// lastOf says whether no other machine runs a backend server of the service.
func (o *operator) lastOf(service, machine int) bool {
	for _, m := range o.vms {
		if b := m.instance(); b != nil && m.index != machine && b.service == service {
			return false
		}
	}
	return true
}
