package balancer

import (
	"time"

	"github.com/currantturn/currantturn"
	"github.com/currantturn/currantturn/internal/coordination/membership"
	"github.com/currantturn/currantturn/internal/coordination/rank"
)

// plan is one configuration prepared for ranking.
type plan struct {
	view     *currantturn.View
	services map[currantturn.ServiceName]*servicePlan
}

// servicePlan ranks one service's backend servers without those that are gone.
type servicePlan struct {
	service *currantturn.Service
	live    *rank.Table
	dead    map[currantturn.BackendID]bool
	seeds   map[uint64]int // of the configured backend servers
}

// mark is what balancers know of a backend server that died or leaves.
type mark struct {
	update membership.Update
	until  time.Time
}

// member names a backend server of a service.
type member struct {
	service currantturn.ServiceName
	id      currantturn.BackendID
}

func newServicePlan(s *currantturn.Service, gone, dead map[currantturn.BackendID]bool) *servicePlan {
	p := &servicePlan{service: s, live: rank.Live(s, gone), dead: dead, seeds: make(map[uint64]int, len(s.Backends))}
	for i := range s.Backends {
		p.seeds[rank.Seed(s.Backends[i].ID)] = i
	}
	return p
}

// prepare ranks one service under the marks; the caller holds b.mu.
func (b *Balancer) prepare(s *currantturn.Service) *servicePlan {
	gone := make(map[currantturn.BackendID]bool)
	dead := make(map[currantturn.BackendID]bool)
	for i := range s.Backends {
		id := s.Backends[i].ID
		m, ok := b.marks[member{s.Name, id}]
		if ok && m.update.State == membership.Dead {
			dead[id], gone[id] = true, true
		}
		if ok && m.update.Leaving || b.leaving[s.Backends[i].Agent] {
			gone[id] = true
		}
	}
	return newServicePlan(s, gone, dead)
}

// rebuild replaces the whole plan; the caller holds b.mu.
func (b *Balancer) rebuild(v *currantturn.View) {
	p := &plan{view: v, services: make(map[currantturn.ServiceName]*servicePlan, len(v.Services))}
	for i := range v.Services {
		s := &v.Services[i]
		p.services[s.Name] = b.prepare(s)
	}
	b.plan.Store(p)
}

// rerank replaces the plan of one service; the caller holds b.mu.
func (b *Balancer) rerank(name currantturn.ServiceName) {
	old := b.plan.Load()
	s := old.view.Service(name)
	if s == nil {
		return
	}
	p := &plan{view: old.view, services: make(map[currantturn.ServiceName]*servicePlan, len(old.services))}
	for n, sp := range old.services {
		p.services[n] = sp
	}
	p.services[name] = b.prepare(s)
	b.plan.Store(p)
}
