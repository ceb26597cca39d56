package vet

import (
	"fmt"
	"net/netip"
	"slices"
	"strings"

	"github.com/currantturn/currantturn"
)

// CheckVersion returns an error if the draft would not replace the configuration in force.
func CheckVersion(inForce, d *Draft) []Finding {
	if d.Version > inForce.Version {
		return nil
	}
	return []Finding{Errorf(configurationEntry, "version %d does not replace version %d, which is in force", d.Version, inForce.Version)}
}

// Diff returns what would change, one line for each: routes by address, then services,
// then the rest.
func Diff(inForce, d *Draft) (changes []string) {
	before, after := effectiveRoutes(inForce), effectiveRoutes(d)
	for _, address := range sortedKeys(before, after) {
		from, to := before[address], after[address]
		switch {
		case from == nil:
			changes = append(changes, fmt.Sprintf("+ %s: %s", to.label(), to.describe()))
		case to == nil:
			changes = append(changes, fmt.Sprintf("- %s: its open flows are reset", from.label()))
		case from.describe() != to.describe():
			changes = append(changes, fmt.Sprintf("~ %s: %s", to.label(), compare(from.fields(), to.fields())))
		}
	}
	warmUps, next := effectiveWarmUps(inForce), effectiveWarmUps(d)
	for _, name := range sortedKeysOf(warmUps, next) {
		if from, to := describeWarmUp(warmUps[name]), describeWarmUp(next[name]); from != to {
			changes = append(changes, fmt.Sprintf("~ service %s: warm-up %s -> %s", name, from, to))
		}
	}
	if inForce.IdleTimeout != d.IdleTimeout {
		changes = append(changes, fmt.Sprintf("~ idle timeout: %s -> %s", inForce.IdleTimeout, d.IdleTimeout))
	}
	return changes
}

// effectiveRoutes returns the routes in force by address: the last of each.
func effectiveRoutes(d *Draft) map[netip.AddrPort]*Route {
	all := make(map[netip.AddrPort]*Route)
	for i := range d.Routes {
		all[d.Routes[i].Address] = &d.Routes[i]
	}
	return all
}

// effectiveWarmUps returns the warm-ups with a rate: the first of each service.
func effectiveWarmUps(d *Draft) map[currantturn.ServiceName]currantturn.WarmUp {
	all := make(map[currantturn.ServiceName]currantturn.WarmUp)
	for i := range d.Services {
		s := &d.Services[i]
		if _, found := all[s.Name]; !found && s.WarmUp.Rate > 0 {
			all[s.Name] = s.WarmUp
		}
	}
	return all
}

func describeWarmUp(w currantturn.WarmUp) string {
	if w.Rate <= 0 {
		return "without a limit"
	}
	return fmt.Sprintf("%g/s for %s", w.Rate, w.Duration)
}

// field is a part of a route that can change.
type field struct{ name, value string }

// fields returns the parts of a route that have an effect.
func (r *Route) fields() []field {
	var shares []string
	for _, s := range r.Shares {
		if s.Weight > 0 && s.Service != "" {
			shares = append(shares, fmt.Sprintf("%s %d", s.Service, s.Weight))
		}
	}
	slices.Sort(shares)
	return []field{
		{"services", strings.Join(shares, " + ")},
		{"priority", fmt.Sprint(r.Priority)},
		{"objective", r.LatencyObjective.String()},
		{"timeout", r.Timeout.String()},
	}
}

// describe returns all fields of a route on a line.
func (r *Route) describe() string {
	var parts []string
	for _, f := range r.fields() {
		parts = append(parts, f.name+" "+f.value)
	}
	return strings.Join(parts, ", ")
}

// compare returns the fields that differ.
func compare(before, after []field) string {
	var parts []string
	for i := range before {
		if before[i] != after[i] {
			parts = append(parts, fmt.Sprintf("%s %s -> %s", before[i].name, before[i].value, after[i].value))
		}
	}
	return strings.Join(parts, ", ")
}

// sortedKeys returns the addresses in either map, in order.
func sortedKeys(a, b map[netip.AddrPort]*Route) []netip.AddrPort {
	var all []netip.AddrPort
	for _, m := range []map[netip.AddrPort]*Route{a, b} {
		for k := range m {
			all = append(all, k)
		}
	}
	slices.SortFunc(all, netip.AddrPort.Compare)
	return slices.Compact(all)
}

// sortedKeysOf returns the services in either map, in order.
func sortedKeysOf(a, b map[currantturn.ServiceName]currantturn.WarmUp) []currantturn.ServiceName {
	var all []currantturn.ServiceName
	for _, m := range []map[currantturn.ServiceName]currantturn.WarmUp{a, b} {
		for k := range m {
			all = append(all, k)
		}
	}
	slices.Sort(all)
	return slices.Compact(all)
}
