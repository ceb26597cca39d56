package flowbalancer

import (
	"net/netip"
	"time"

	"github.com/currantturn/currantturn"
	"github.com/currantturn/currantturn/internal/coordination/statesync"
	"github.com/currantturn/currantturn/internal/state/roster"
)

// plan is the published state, indexed for routing packets. Only the targets' own
// state changes after it is built.
type plan struct {
	version  currantturn.Version
	revision uint64
	// recordedSince is the time since which no removal of a registration, or of a
	// service from a route, is missing from targets and earlierServices.
	recordedSince   time.Time
	routes          map[netip.AddrPort]*currantturn.FlowRoute    // by service address
	earlierServices map[netip.AddrPort][]currantturn.ServiceName // services that a route used to lead to, by service address
	placeable       map[currantturn.ServiceName][]*target        // targets that may get new flows
	byService       map[currantturn.ServiceName][]*target        // targets that may hold flows
	targets         []*target                                    // one per agent
	byAgent         map[netip.AddrPort]*target                   // by link address
}

// newPlan builds a plan and carries the targets' state over from the old one, which
// may be nil. Of several registrations with one address only the newest is used: the
// backend servers of the others have ended.
func newPlan(now time.Time, source *statesync.State, agentPort uint16, old *plan) *plan {
	p := &plan{
		version:         source.Routing.Version,
		revision:        source.Revision,
		recordedSince:   now.Add(-source.Recorded()),
		routes:          make(map[netip.AddrPort]*currantturn.FlowRoute, len(source.Routing.Routes)),
		earlierServices: make(map[netip.AddrPort][]currantturn.ServiceName),
		placeable:       make(map[currantturn.ServiceName][]*target),
		byService:       make(map[currantturn.ServiceName][]*target),
		byAgent:         make(map[netip.AddrPort]*target),
	}
	for i := range source.Routing.Routes {
		route := &source.Routing.Routes[i]
		p.routes[route.Address] = route
	}
	for i := range source.Earlier {
		p.addEarlierService(source.Earlier[i].Address, source.Earlier[i].Service)
	}
	for i := range source.Servers {
		e := &source.Servers[i]
		agent := netip.AddrPortFrom(e.Address.Addr(), agentPort)
		if other := p.byAgent[agent]; other != nil && !supersedes(e, &other.entry) {
			continue
		}
		p.byAgent[agent] = newTarget(now, e, agent, old)
	}
	for i := range source.Servers {
		t := p.byAgent[netip.AddrPortFrom(source.Servers[i].Address.Addr(), agentPort)]
		if t.entry.ID != source.Servers[i].ID {
			continue
		}
		p.targets = append(p.targets, t)
		p.byService[t.entry.Service] = append(p.byService[t.entry.Service], t)
		if t.entry.Placeable() {
			p.placeable[t.entry.Service] = append(p.placeable[t.entry.Service], t)
		}
	}
	return p
}

// supersedes reports whether registration a is used instead of b, which has the same
// address. One that still exists is preferred to a removed one. Of two removed ones
// the one removed later is used; of two others the one whose backend server started
// later or, with equal start times, the one created later.
func supersedes(a, b *roster.Entry) bool {
	if a.Gone.IsZero() != b.Gone.IsZero() {
		return a.Gone.IsZero()
	}
	if !a.Gone.IsZero() {
		return a.Gone.After(b.Gone)
	}
	if !a.StartedAt.Equal(b.StartedAt) {
		return a.StartedAt.After(b.StartedAt)
	}
	return a.CreatedRevision > b.CreatedRevision
}

// addEarlierService records a service that a route used to lead to, unless it still
// does.
func (p *plan) addEarlierService(address netip.AddrPort, service currantturn.ServiceName) {
	if route := p.routes[address]; route != nil {
		for _, share := range route.Shares {
			if share.Service == service {
				return
			}
		}
	}
	p.earlierServices[address] = append(p.earlierServices[address], service)
}

// routeHolders returns the targets that may hold a flow of the route, as far as it is
// known which services the route led to.
func (p *plan) routeHolders(route *currantturn.FlowRoute) []*target {
	if len(p.targets) <= searchAllLimit {
		return p.targets
	}
	var all []*target
	for _, s := range route.Shares {
		all = append(all, p.byService[s.Service]...)
	}
	for _, s := range p.earlierServices[route.Address] {
		all = append(all, p.byService[s]...)
	}
	return all
}

// possibleHolders returns all targets that may hold a flow of the route. Unless it is
// known which services the route led to during the lifetime of a flow, any may.
func (p *plan) possibleHolders(now time.Time, route *currantturn.FlowRoute) []*target {
	if now.Sub(p.recordedSince) < flowLifetime {
		return p.targets
	}
	return p.routeHolders(route)
}
