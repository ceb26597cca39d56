package soak

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/currantturn/currantturn/internal/pause"
	"github.com/currantturn/currantturn/platform/platformtest"
)

// Variants of GreyBackend: requests that are never answered, and flows that are reset.
const (
	greyHang  = "hang"
	greyReset = "reset"
)

// Variants of ForeignEntry.
const (
	foreignBytes   = "bytes"   // single entries that cannot be read
	foreignPage    = "page"    // more of them than a page holds
	foreignService = "service" // an unknown service at the address of a backend server
	foreignOver    = "over"    // bytes over the registration of a backend server, which writes it again
)

// Subjects of faults that excuse failed service, but no placement.
const (
	drainSubject subject = "drained domain"
	burstSubject subject = "burst"
)

// applyLater applies a fault of laterKinds.
func (r *run) applyLater(ctx context.Context, f Fault) {
	vm := r.vms[f.Agent]
	switch f.Kind {
	case DrainDomain:
		r.drainDomain(ctx, f)
	case SlowBackend:
		r.withDisturbance(func() {
			vm.change(func(vm *backendVM) { vm.slow++ })
			pause.For(ctx, f.Duration)
			vm.change(func(vm *backendVM) { vm.slow-- })
		}, backendSubject(f.Agent))
	case GreyBackend:
		r.withDisturbance(func() {
			vm.change(func(vm *backendVM) { vm.grey = f.Variant })
			pause.For(ctx, f.Duration)
			vm.change(func(vm *backendVM) { vm.grey = "" })
		}, backendSubject(f.Agent))
	case Burst:
		r.withDisturbance(func() {
			burst, stop := context.WithTimeout(ctx, f.Duration)
			defer stop()
			var callers sync.WaitGroup
			for _, c := range r.callers {
				for range burstFactor - 1 {
					callers.Go(func() { c.run(burst) })
				}
			}
			callers.Wait()
		}, burstSubject)
	case ForeignEntry:
		r.writeForeign(ctx, f)
	}
}

// drainDomain drains the failure domain of an agent, unless it is drained already, and
// takes the order back.
func (r *run) drainDomain(ctx context.Context, f Fault) {
	domain := failureDomain(f.Agent)
	if !r.checker.beginDrain(domain) {
		return
	}
	r.withDisturbance(func() {
		r.operator.drain(domain)
		r.checker.recordDrained(time.Now(), domain)
		pause.For(ctx, f.Duration)
		r.checker.endDrain(domain)
		r.operator.undrain(domain)
	}, drainSubject)
}

// writeForeign writes entries of another writer and removes them.
func (r *run) writeForeign(ctx context.Context, f Fault) {
	store, vm := r.operator.store, r.vms[f.Agent]
	key := func(n int) string { return fmt.Sprintf("a-foreign-%d-%04d", f.At, n) }
	count := 1
	switch f.Variant {
	case foreignOver:
		if !vm.replacing.TryLock() {
			return // a fault replaces the backend server
		}
		defer vm.replacing.Unlock()
		b := vm.instance()
		r.withDisturbance(func() {
			store.Write("servers/"+b.id, []byte("\x00\xff"))
			pause.For(ctx, f.Duration)
			vm.registering.Lock()
			defer vm.registering.Unlock()
			r.operator.register(b, vm.registrationState())
		}, backendSubject(f.Agent))
		return
	case foreignService:
		store.Register(key(0), platformtest.Registration{
			Service: "elsewhere", Address: r.net.address(agentProxyNet, f.Agent, backendPort).String(), Zone: failureDomain(f.Agent),
			MaxConcurrency: 100, State: "ready", Sequence: 1, Born: time.Now().UnixMilli(),
		})
	case foreignPage:
		count = foreignPageItems
		fallthrough
	default:
		for n := range count {
			store.Write("servers/"+key(n), []byte(`{"service":"service0","address":"[fd00::1]:1","state":7}`))
		}
	}
	pause.For(ctx, f.Duration)
	for n := range count {
		store.Remove(key(n))
	}
}
