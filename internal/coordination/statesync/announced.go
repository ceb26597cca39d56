package statesync

import (
	"math"
	"net/netip"
	"slices"
	"time"

	"github.com/currantturn/currantturn"
	"github.com/currantturn/currantturn/internal/protocol/relay"
)

// Announced is an agent that announced itself because it receives nothing from any
// balancer. Nothing else is known of it.
type Announced struct {
	Agent         netip.AddrPort            `cbor:"1,keyasint"` // link address
	Service       currantturn.ServiceName   `cbor:"2,keyasint"`
	FailureDomain currantturn.FailureDomain `cbor:"3,keyasint"`
	AgeMS         uint32                    `cbor:"4,keyasint"` // time since the announcement
}

// announcement is the last announcement of an agent.
type announcement struct {
	relay.Announce
	at time.Time
}

// HandleAnnounce processes an agent's announcement. It reports whether the state
// changed.
func (f *Feed) HandleAnnounce(now time.Time, from netip.AddrPort, m relay.Announce) (changed bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.counts.Announced++
	if m.Service == "" || len(m.Service) > maxNameBytes || len(m.FailureDomain) > maxNameBytes {
		return false
	}
	added := f.addAnnounced(from, announcement{Announce: m, at: now})
	return added && (!f.usable() || now.Before(f.lapsedUntil)) && !f.registeredVMs()[from.Addr()]
}

// registeredVMs returns the addresses of the VMs with a registration.
func (f *Feed) registeredVMs() map[netip.Addr]bool {
	vms := make(map[netip.Addr]bool, len(f.state.Servers))
	for i := range f.state.Servers {
		vms[f.state.Servers[i].Address.Addr()] = true
	}
	return vms
}

// addAnnounced stores an announcement unless a later one is known or there are too many
// agents. It reports whether the agent is new.
func (f *Feed) addAnnounced(agent netip.AddrPort, n announcement) (added bool) {
	known, found := f.announced[agent]
	if !found && len(f.announced) >= maxAnnounced {
		return false
	}
	if !found || n.at.After(known.at) {
		f.announced[agent] = n
	}
	return !found
}

// expireAnnounced removes the agents whose last announcement is too old, and reports
// whether there were any.
func (f *Feed) expireAnnounced(now time.Time) (changed bool) {
	for agent, n := range f.announced {
		if now.Sub(n.at) > announceLifetime {
			delete(f.announced, agent)
			changed = true
		}
	}
	return changed
}

// needsAnnounced reports whether a peer has announcements that this balancer lacks: it
// has no usable state, and so finds agents in no other way.
func (f *Feed) needsAnnounced(peerCount int) bool {
	return !f.usable() && peerCount > len(f.announced)
}

// mergeAnnounced adds the announcements that a peer received.
func (f *Feed) mergeAnnounced(now time.Time, all []Announced) (changed bool) {
	for i := range all {
		a := &all[i]
		at := now.Add(-time.Duration(a.AgeMS) * time.Millisecond)
		changed = f.addAnnounced(a.Agent, announcement{relay.Announce{Service: a.Service, FailureDomain: a.FailureDomain}, at}) || changed
	}
	return changed
}

// announcedAgents returns the announced agents without a registration, sorted by
// address.
func (f *Feed) announcedAgents(now time.Time) []Announced {
	if len(f.announced) == 0 {
		return nil
	}
	var all []Announced
	registered := f.registeredVMs()
	for agent, n := range f.announced {
		if registered[agent.Addr()] {
			continue
		}
		age := min(max(now.Sub(n.at).Milliseconds(), 0), math.MaxUint32)
		all = append(all, Announced{Agent: agent, Service: n.Service, FailureDomain: n.FailureDomain, AgeMS: uint32(age)})
	}
	slices.SortFunc(all, func(a, b Announced) int { return a.Agent.Compare(b.Agent) })
	return all
}
