package flowbalancer

import (
	"net/netip"
	"slices"
	"time"

	"github.com/currantturn/currantturn"
	"github.com/currantturn/currantturn/internal/coordination/statesync"
	"github.com/currantturn/currantturn/internal/state/roster"
)

// plan is the published state, indexed for routing packets. Only the targets' own
// state changes after it is built.
type plan struct {
	version  currantturn.Version
	position currantturn.Position
	// provisional is true if nothing is published, so that only announced agents are known:
	// flows are searched for among them, but not reset.
	provisional bool
	// placementHeld is true while new flows have to wait and no flow is reset, because the
	// state may come from a copy of the store and nothing else is known yet.
	placementHeld bool
	// resetsHeld is true while no flow is reset because nobody holds it: backend servers may
	// be missing.
	resetsHeld bool
	drained    map[currantturn.FailureDomain]bool // whose backend servers get no new flows
	withheld   int                                // backend servers that are not in placeable for that reason
	// recordedSince is the time since which no removal of a registration, or of a
	// service from a route, is missing from targets and earlierServices.
	recordedSince   time.Time
	routes          map[netip.AddrPort]*currantturn.FlowRoute    // by service address
	earlierServices map[netip.AddrPort][]currantturn.ServiceName // services that a route used to lead to, by service address
	routed          map[currantturn.ServiceName]bool             // services that a route leads or, as far as known, used to lead to
	placeable       map[currantturn.ServiceName][]*target        // targets that may get new flows
	byService       map[currantturn.ServiceName][]*target        // targets that may hold flows
	targets         []*target                                    // one per agent
	routedTargets   []*target                                    // those of them whose service is routed
	gone            []*target                                    // those of them without a registration
	byAgent         map[netip.AddrPort]*target                   // by link address
	number          uint64                                       // of the plans of this process
}

// nextNumber returns the number of the plan after p, which may be nil.
func (p *plan) nextNumber() uint64 {
	if p == nil {
		return 1
	}
	return p.number + 1
}

// newPlan builds a plan and carries the targets' state over from the old one, which
// may be nil. Of several registrations with one address only the newest is used: the
// backend servers of the others have ended. Announced agents without a registration
// may hold flows, but get no new ones.
func newPlan(now time.Time, source *statesync.State, agentPort uint16, old *plan) *plan {
	p := &plan{
		version:         source.RoutingVersion(),
		position:        source.Position,
		provisional:     source.Routing == nil,
		placementHeld:   source.PlacementHeld,
		resetsHeld:      source.ResetsHeld,
		drained:         drainedDomains(source),
		recordedSince:   now.Add(-source.Recorded()),
		routes:          make(map[netip.AddrPort]*currantturn.FlowRoute),
		earlierServices: make(map[netip.AddrPort][]currantturn.ServiceName),
		routed:          make(map[currantturn.ServiceName]bool),
		placeable:       make(map[currantturn.ServiceName][]*target),
		byService:       make(map[currantturn.ServiceName][]*target),
		byAgent:         make(map[netip.AddrPort]*target),
		number:          old.nextNumber(),
	}
	if source.Routing != nil {
		for i := range source.Routing.Routes {
			route := &source.Routing.Routes[i]
			p.routes[route.Address] = route
			for _, s := range route.Shares {
				p.routed[s.Service] = true
			}
		}
	}
	for i := range source.Earlier {
		p.addEarlierService(source.Earlier[i].Address, source.Earlier[i].Service)
		p.routed[source.Earlier[i].Service] = true
	}
	warmUps := indexWarmUps(source.Routing)
	servers := withReplacements(now, source.Servers)
	for i := range servers {
		e := &servers[i]
		agent := netip.AddrPortFrom(e.Address.Addr(), agentPort)
		other := p.byAgent[agent]
		contested := source.Unverified && other != nil && p.contest(e, &other.entry)
		if other != nil && !p.supersedes(e, &other.entry) {
			other.contested = other.contested || contested
			continue
		}
		p.byAgent[agent] = newTarget(now, e, agent, old)
		p.byAgent[agent].contested = contested
		p.byAgent[agent].warmUp = warmUps[e.Service]
	}
	for i := range servers {
		t := p.byAgent[netip.AddrPortFrom(servers[i].Address.Addr(), agentPort)]
		if t.entry.ID != servers[i].ID {
			continue
		}
		p.targets = append(p.targets, t)
		p.byService[t.entry.Service] = append(p.byService[t.entry.Service], t)
		switch {
		case !t.entry.Placeable() || t.contested || p.placementHeld:
		case p.drained[t.entry.FailureDomain]:
			p.withheld++
		default:
			p.placeable[t.entry.Service] = append(p.placeable[t.entry.Service], t)
			t.markPlaceable(now, old)
		}
	}
	p.addAnnounced(now, source.Announced, old)
	for _, t := range p.targets {
		if t.deregistered() {
			p.gone = append(p.gone, t)
		}
		if p.routed[t.entry.Service] {
			p.routedTargets = append(p.routedTargets, t)
		}
	}
	return p
}

// withReplacements returns the entries of a state with those that their replacements make up, whose
// agents may hold flows.
func withReplacements(now time.Time, servers []roster.Entry) []roster.Entry {
	all := servers
	for i := range servers {
		if c, ok := servers[i].ReplacementEntry(now); ok {
			all = append(slices.Clip(all), c)
		}
	}
	return all
}

// addAnnounced adds the announced agents that no registration refers to.
func (p *plan) addAnnounced(now time.Time, announced []statesync.Announced, old *plan) {
	for i := range announced {
		a := &announced[i]
		if p.byAgent[a.Agent] != nil {
			continue
		}
		t := newTarget(now, &roster.Entry{
			Registration: currantturn.Registration{
				ID: currantturn.BackendID("unregistered at " + a.Agent.Addr().String()), Service: a.Service,
				FailureDomain: a.FailureDomain, Address: a.Agent,
			},
			Gone: now,
		}, a.Agent, old)
		t.unregistered = true
		p.byAgent[a.Agent] = t
		p.targets = append(p.targets, t)
		p.byService[a.Service] = append(p.byService[a.Service], t)
	}
}

// route returns the route of a service address, or nil. A provisional plan has a route
// without services for each address.
func (p *plan) route(address netip.AddrPort) *currantturn.FlowRoute {
	if p.provisional {
		return &currantturn.FlowRoute{Address: address}
	}
	return p.routes[address]
}

// waits reports whether a packet has to wait for a later plan: there is no backend server
// for new flows, or the state may lack routes and backend servers.
func (p *plan) waits(packet *currantturn.Packet) bool {
	switch {
	case p.provisional:
		return false
	case p.placementHeld:
		return packet.Mark == currantturn.MarkOpening || p.routes[packet.Flow.Service] == nil
	default:
		return !p.complete()
	}
}

// complete reports whether the published state has backend servers for new flows, or has
// them but for drained failure domains.
func (p *plan) complete() bool {
	return len(p.placeable)+p.withheld > 0
}

// supersedes reports whether registration a is used instead of b, which has the same
// address. One of a service without a route, which may be by another writer, is never
// preferred. One that still exists is preferred to a removed one. Of two removed ones
// the one removed later is used; of two others the one whose backend server started
// later or, with equal start times, the one created later.
func (p *plan) supersedes(a, b *roster.Entry) bool {
	if p.routed[a.Service] != p.routed[b.Service] {
		return p.routed[a.Service]
	}
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

// contest reports whether two registrations with one address are both in force, and
// which one is later is unknown unless their revisions are of one era.
func (p *plan) contest(a, b *roster.Entry) bool {
	return p.routed[a.Service] == p.routed[b.Service] && a.Gone.IsZero() && b.Gone.IsZero() && a.StartedAt.Equal(b.StartedAt)
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
	if p.provisional {
		return p.targets
	}
	if len(p.targets) <= searchAllLimit {
		return p.routedTargets
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
