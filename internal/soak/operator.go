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

// operator writes configurations and the registrations of backend servers to the
// store.
type operator struct {
	net     *network
	store   *platformtest.Store
	checker *checker
	vms     []*backendVM

	mu         sync.Mutex
	version    uint64 // of the current configuration
	current    platformtest.Configuration
	lastSerial int             // number of the last instance
	drained    map[string]bool // failure domains that are to be drained
	further    int             // routes that see no traffic
}

// Addresses of services. New flows to reroutedService go to another service with each
// version; those to fixedService always go to service 0.
var (
	reroutedService = netip.MustParseAddrPort("198.18.0.1:443")
	fixedService    = netip.MustParseAddrPort("198.18.0.2:443")
)

// configure writes the next version of the configuration.
func (o *operator) configure(now time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.version += 1 + o.version%3 // uneven steps, since version numbers need not be consecutive
	to := int(o.version) % serviceCount
	c := platformtest.Configuration{Version: o.version, Limits: map[string]int{"idle_timeout_ms": 30000}}
	for at, s := range map[netip.AddrPort]int{reroutedService: to, fixedService: 0} {
		c.Routes = append(c.Routes, platformtest.Route{
			Hostname: at.Addr().String(), Prefix: fmt.Sprintf("/%d/", at.Port()), Service: serviceName(s),
			TargetLatencyMS: 200, TimeoutMS: int(requestTimeout.Milliseconds()), Priority: 1,
		})
	}
	for n := range o.further {
		c.Routes = append(c.Routes, platformtest.Route{
			Hostname: netip.AddrFrom4([4]byte{198, 19, byte(n >> 8), byte(n)}).String(), Prefix: "/443/", Service: serviceName(0),
			TargetLatencyMS: 200, TimeoutMS: int(requestTimeout.Milliseconds()), Priority: 1,
		})
	}
	o.current = c
	o.store.Configure(c)
	o.checker.recordVersion(version{
		number: o.version, acknowledged: now, routes: map[netip.AddrPort]int{reroutedService: to, fixedService: 0},
	})
}

// setFurtherRoutes sets the number of routes without traffic in the next versions.
func (o *operator) setFurtherRoutes(n int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.further = n
}

// changeSlots registers the backend server of a VM with another number of slots.
func (o *operator) changeSlots(vm *backendVM) {
	vm.registering.Lock()
	defer vm.registering.Unlock()
	if b := vm.instance(); b != nil {
		b.fewerSlots = !b.fewerSlots
		o.register(b, vm.registrationState())
	}
}

// drain orders that a failure domain is drained.
func (o *operator) drain(domain string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.drained == nil {
		o.drained = make(map[string]bool)
	}
	o.drained[domain] = true
	o.store.Drain(domain)
}

// undrain takes the order to drain a failure domain back.
func (o *operator) undrain(domain string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.drained, domain)
	o.store.Undrain(domain)
}

// writeOrders writes the orders to drain failure domains again, and removes those again
// that were taken back.
func (o *operator) writeOrders() {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, domain := range o.store.Drained() {
		if !o.drained[domain] {
			o.store.Undrain(domain)
		}
	}
	for domain := range o.drained {
		o.store.Drain(domain)
	}
}

func serviceName(i int) string { return fmt.Sprintf("service%d", i) }

// newInstance returns a backend server with a new ID.
func (o *operator) newInstance(now time.Time, vm, service int) *instance {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.lastSerial++
	id := fmt.Sprintf("i-%d-%d", vm, o.lastSerial)
	return &instance{id: id, name: id, vm: vm, service: service, started: now}
}

// restartedInstance returns a restart of a backend server under its previous ID.
func (o *operator) restartedInstance(now time.Time, previous *instance) *instance {
	b := o.newInstance(now, previous.vm, previous.service)
	b.id = previous.id
	return b
}

func (o *operator) register(b *instance, state string) {
	o.mu.Lock()
	b.sequence++
	sequence, slots := b.sequence, slotsPerBackend
	if b.fewerSlots {
		slots--
	}
	o.mu.Unlock()
	o.store.Register(b.id, platformtest.Registration{
		Service: serviceName(b.service), Address: o.net.address(agentProxyNet, b.vm, backendPort).String(),
		Zone: failureDomain(b.vm), MaxConcurrency: slots, State: state, Sequence: sequence, Born: b.started.UnixMilli(),
	})
}

// failureDomain returns the failure domain of a VM. Each has backend servers of all services.
func failureDomain(i int) string { return fmt.Sprintf("domain%d", i/serviceCount%3) }

// crashBackend stops a backend server without notice and starts another after the
// fault's duration, under the same ID or a new one.
func (o *operator) crashBackend(ctx context.Context, f Fault) error {
	vm := o.vms[f.Agent]
	if !vm.replacing.TryLock() {
		return nil // another fault is replacing it
	}
	defer vm.replacing.Unlock()
	previous := vm.instance()
	endDisturbance := o.checker.beginDisturbance(backendSubject(f.Agent))
	defer func() { endDisturbance(time.Now()) }()
	vm.registering.Lock()
	vm.stop()
	vm.registering.Unlock()
	pause.For(ctx, f.Duration)
	b := o.newInstance(time.Now(), previous.vm, previous.service)
	if f.Variant == "same_id" {
		b = o.restartedInstance(time.Now(), previous)
	}
	if err := o.start(vm, b); err != nil {
		return err
	}
	if b.id != previous.id {
		pause.For(ctx, registrationTimeout)
		o.store.Remove(previous.id)
	}
	return nil
}

// reuseAddress drains a backend server and starts one of another service at its
// address.
func (o *operator) reuseAddress(ctx context.Context, f Fault, changeService func(service int) error) error {
	vm := o.vms[f.Agent]
	if !vm.replacing.TryLock() {
		return nil // another fault is replacing it
	}
	defer vm.replacing.Unlock()
	previous := vm.instance()
	vm.registering.Lock()
	o.register(previous, "draining")
	vm.markDraining(time.Now())
	vm.registering.Unlock()
	pause.For(ctx, drainWithin+serveAfterDrain+f.Duration)
	endDisturbance := o.checker.beginDisturbance(backendSubject(f.Agent))
	defer func() { endDisturbance(time.Now()) }()
	vm.registering.Lock()
	vm.stop()
	o.store.Remove(previous.id)
	vm.registering.Unlock()
	pause.For(ctx, addressReuseDelay)
	b := o.newInstance(time.Now(), previous.vm, (previous.service+1)%serviceCount)
	if o.isLastOf(previous.service, previous.vm) {
		b.service = previous.service // a service keeps at least one backend server
	}
	if err := changeService(b.service); err != nil {
		return err
	}
	if err := o.start(vm, b); err != nil {
		return err
	}
	return nil
}

// isLastOf reports whether no other VM runs a backend server of the service.
func (o *operator) isLastOf(service, vm int) bool {
	for _, other := range o.vms {
		if b := other.instance(); b != nil && other.index != vm && b.service == service {
			return false
		}
	}
	return true
}

// writeAgain writes the configuration, the orders to drain failure domains and the
// registrations of running backend servers again, within rewriteWithin, after the store has returned from a copy. Registrations of
// backend servers that have ended lapse meanwhile.
func (o *operator) writeAgain(ctx context.Context) {
	interval := rewriteWithin / time.Duration(len(o.vms)+1)
	for _, vm := range o.vms {
		vm.registering.Lock()
		if b := vm.instance(); b != nil {
			o.register(b, vm.registrationState())
		}
		vm.registering.Unlock()
		pause.For(ctx, interval)
	}
	o.mu.Lock()
	o.store.Configure(o.current)
	o.mu.Unlock()
	o.writeOrders()
	o.removeLapsed()
}

// removeLapsed removes the registrations of backend servers that do not run.
func (o *operator) removeLapsed() {
	running := make(map[string]bool)
	for _, vm := range o.vms {
		vm.registering.Lock()
		defer vm.registering.Unlock()
		if b := vm.instance(); b != nil {
			running[b.id] = true
		}
	}
	for _, id := range o.store.Registered() {
		if !running[id] {
			o.store.Remove(id)
		}
	}
}

// start starts a backend server and registers it.
func (o *operator) start(vm *backendVM, b *instance) error {
	vm.registering.Lock()
	defer vm.registering.Unlock()
	if err := vm.start(b); err != nil {
		return err
	}
	o.register(b, "ready")
	return nil
}
