package balancer

import (
	"time"

	"github.com/currantturn/currantturn"
	"github.com/currantturn/currantturn/internal/coordination/membership"
	"github.com/currantturn/currantturn/internal/coordination/rank"
)

// plan is a configuration prepared for ranking; it is immutable once stored.
type plan struct {
	view     *currantturn.View
	services map[currantturn.ServiceName]*servicePlan
}

// servicePlan ranks the backend servers of a service that are not gone.
type servicePlan struct {
	service     *currantturn.Service
	ranking     *rank.Table
	dead        map[currantturn.BackendID]bool
	indexBySeed map[uint64]int // index of each configured backend server by rank.Seed
}

// memberStatus is the last accepted notice about a backend server.
type memberStatus struct {
	update    membership.Update
	expiresAt time.Time
}

// memberKey identifies a backend server of a service.
type memberKey struct {
	service currantturn.ServiceName
	id      currantturn.BackendID
}

// newServicePlan ranks the backend servers of s that are not gone. The dead ones,
// which are a subset of the gone ones, are not chosen by a hint or a connection ID
// either.
func newServicePlan(s *currantturn.Service, gone, dead map[currantturn.BackendID]bool) *servicePlan {
	p := &servicePlan{service: s, ranking: rank.Live(s, gone), dead: dead, indexBySeed: make(map[uint64]int, len(s.Backends))}
	for i := range s.Backends {
		p.indexBySeed[rank.Seed(s.Backends[i].ID)] = i
	}
	return p
}

// buildServicePlan ranks a service's backend servers by the current statuses; the
// caller holds b.mu.
func (b *Balancer) buildServicePlan(s *currantturn.Service) *servicePlan {
	gone := make(map[currantturn.BackendID]bool)
	dead := make(map[currantturn.BackendID]bool)
	for i := range s.Backends {
		id := s.Backends[i].ID
		status, ok := b.statuses[memberKey{s.Name, id}]
		if ok && status.update.State == membership.Dead {
			dead[id], gone[id] = true, true
		}
		if ok && status.update.Leaving || b.leaving[s.Backends[i].Agent] {
			gone[id] = true
		}
	}
	return newServicePlan(s, gone, dead)
}

// rebuildPlan replaces the plan by one for the given view; the caller holds b.mu.
func (b *Balancer) rebuildPlan(v *currantturn.View) {
	p := &plan{view: v, services: make(map[currantturn.ServiceName]*servicePlan, len(v.Services))}
	for i := range v.Services {
		s := &v.Services[i]
		p.services[s.Name] = b.buildServicePlan(s)
	}
	b.plan.Store(p)
}

// rebuildServicePlan replaces the plan by a copy with one service ranked again; the
// caller holds b.mu.
func (b *Balancer) rebuildServicePlan(name currantturn.ServiceName) {
	old := b.plan.Load()
	s := old.view.Service(name)
	if s == nil {
		return
	}
	p := &plan{view: old.view, services: make(map[currantturn.ServiceName]*servicePlan, len(old.services))}
	for n, sp := range old.services {
		p.services[n] = sp
	}
	p.services[name] = b.buildServicePlan(s)
	b.plan.Store(p)
}
