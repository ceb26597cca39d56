package vet

import (
	"net/netip"
	"time"

	"github.com/currantturn/currantturn"
)

const (
	// configurationEntry names the configuration as a whole in findings.
	configurationEntry = "configuration"
	// maxDuration is the longest objective or timeout that reaches agents.
	maxDuration = 65535 * time.Millisecond
)

// Check returns what is wrong with a draft, in its order. Registrations are those of the
// backend servers; without a list of them (nil) services are not looked for there.
func Check(d *Draft, registrations []currantturn.Registration) (all []Finding) {
	if len(d.Routes) == 0 {
		all = append(all, Warningf(configurationEntry, "has no routes: every flow is refused"))
	}
	if d.IdleTimeout < 0 {
		all = append(all, Warningf(configurationEntry, "idle timeout %s is negative", d.IdleTimeout))
	}
	all = append(all, checkShadowed(d)...)
	for i := range d.Routes {
		all = append(all, checkShares(&d.Routes[i], d.Services)...)
		all = append(all, checkLimits(&d.Routes[i], d.IdleTimeout)...)
	}
	all = append(all, checkServices(d)...)
	if registrations != nil {
		all = append(all, checkRegistered(d, registrations)...)
	}
	return all
}

// checkShadowed reports routes whose address a later route has: that one is in force.
func checkShadowed(d *Draft) (all []Finding) {
	last := make(map[netip.AddrPort]int)
	for i := range d.Routes {
		last[d.Routes[i].Address] = i
	}
	for i := range d.Routes {
		if by := last[d.Routes[i].Address]; by != i {
			all = append(all, Errorf(d.Routes[i].label(), "never matches: %s has the same address and comes later", d.Routes[by].label()))
		}
	}
	return all
}

// checkShares reports shares that get no new flows, and services that are not listed.
func checkShares(r *Route, services []Service) (all []Finding) {
	positive := false
	seen := make(map[currantturn.ServiceName]bool)
	for _, s := range r.Shares {
		switch {
		case s.Service == "":
			all = append(all, Errorf(r.label(), "a share names no service"))
		case s.Weight < 0:
			all = append(all, Errorf(r.label(), "the weight %d of service %s is negative and counts as 0", s.Weight, s.Service))
		case s.Weight == 0:
			all = append(all, Warningf(r.label(), "service %s has a weight of 0 and gets no new flows", s.Service))
		default:
			positive = true
		}
		if seen[s.Service] && s.Service != "" {
			all = append(all, Warningf(r.label(), "service %s has several shares, which add up", s.Service))
		}
		seen[s.Service] = true
		if len(services) > 0 && s.Service != "" && !listed(services, s.Service) {
			all = append(all, Warningf(r.label(), "leads to service %s, which is not in the list of services", s.Service))
		}
	}
	if !positive {
		all = append(all, Errorf(r.label(), "no service has a weight above 0: the whole configuration stays out of force"))
	}
	return all
}

func listed(services []Service, name currantturn.ServiceName) bool {
	for i := range services {
		if services[i].Name == name {
			return true
		}
	}
	return false
}

// checkLimits reports limits of a route that contradict each other or are beyond use.
func checkLimits(r *Route, idleTimeout time.Duration) (all []Finding) {
	warn := func(format string, args ...any) { all = append(all, Warningf(r.label(), format, args...)) }
	switch objective, timeout := r.LatencyObjective, r.Timeout; {
	case objective < 0 || timeout < 0:
		warn("objective %s or timeout %s is negative and counts as none", objective, timeout)
	case objective > 0 && timeout > 0 && objective > timeout:
		warn("objective %s is above the timeout %s: requests are given up before they are late", objective, timeout)
	case max(objective, timeout) > maxDuration:
		warn("objective %s or timeout %s is above %s and counts as that", objective, timeout, maxDuration)
	case timeout == 0:
		warn("has no timeout: waiting requests are never given up")
	}
	if idleTimeout > 0 && r.Timeout > idleTimeout {
		warn("the timeout %s is above the idle timeout %s: a flow may be discarded while its request runs", r.Timeout, idleTimeout)
	}
	if r.Priority < 0 {
		warn("priority %d is negative and counts as 0, the highest", r.Priority)
	}
	return all
}

// checkServices reports services without a route, listed twice, or with a warm-up that
// contradicts itself.
func checkServices(d *Draft) (all []Finding) {
	seen := make(map[currantturn.ServiceName]bool)
	for i := range d.Services {
		s := &d.Services[i]
		entry := "service " + string(s.Name)
		if s.Name == "" {
			all = append(all, Errorf("service", "has no name"))
			continue
		}
		switch {
		case seen[s.Name]:
			all = append(all, Errorf(entry, "is listed twice; the first entry with a warm-up rate counts"))
		case !d.leadsTo(s.Name):
			all = append(all, Warningf(entry, "no route leads to it"))
		}
		seen[s.Name] = true
		switch w := s.WarmUp; {
		case w.Rate < 0 || w.Duration < 0:
			all = append(all, Errorf(entry, "warm-up of %s at %g requests per second is negative and counts as none", w.Duration, w.Rate))
		case w.Rate > 0 && w.Duration == 0:
			all = append(all, Warningf(entry, "has a warm-up rate of %g requests per second and no duration", w.Rate))
		}
	}
	return all
}

// leadsTo reports whether any route leads to the service.
func (d *Draft) leadsTo(name currantturn.ServiceName) bool {
	for i := range d.Routes {
		if d.Routes[i].leadsTo(name) {
			return true
		}
	}
	return false
}

// checkRegistered reports services that routes lead to and that have no backend server
// which takes new flows.
func checkRegistered(d *Draft, registrations []currantturn.Registration) (all []Finding) {
	registered, active := make(map[currantturn.ServiceName]int), make(map[currantturn.ServiceName]int)
	for i := range registrations {
		r := &registrations[i]
		registered[r.Service]++
		if r.State == currantturn.BackendActive {
			active[r.Service]++
		}
	}
	seen := make(map[currantturn.ServiceName]bool)
	for i := range d.Routes {
		for _, s := range d.Routes[i].Shares {
			if s.Weight <= 0 || s.Service == "" || seen[s.Service] {
				continue
			}
			seen[s.Service] = true
			entry := "service " + string(s.Service)
			switch {
			case registered[s.Service] == 0:
				all = append(all, Warningf(entry, "no backend server is registered"))
			case active[s.Service] == 0:
				all = append(all, Warningf(entry, "all %d backend servers drain", registered[s.Service]))
			}
		}
	}
	return all
}
