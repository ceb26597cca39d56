package settings

import (
	"net/netip"
	"time"

	"github.com/currantturn/currantturn"
)

// Store holds the settings for reading the platform's store.
type Store struct {
	Address     netip.AddrPort
	ApplyWithin time.Duration
	DrainWithin time.Duration
}

// Relay holds the addresses of a process for opaque flows, and the settings that
// depend on its role.
type Relay struct {
	FreshStart       bool // no flow can be older than this process
	LinkAddress      netip.AddrPort
	ReadinessAddress netip.AddrPort
	MetricsAddress   netip.AddrPort
	CallerAddress    netip.AddrPort

	// Settings of a balancer.
	StateAddress netip.AddrPort
	Seeds        []netip.AddrPort
	LinkCapacity float64 // Mbit/s
	Overflow     bool

	// Settings of an agent.
	OutboundAddress netip.AddrPort
	BackendAddress  netip.AddrPort
	Service         currantturn.ServiceName
	// WarmUpOvershoot and WarmUpTolerance turn the rate of cold backend servers into
	// their limit.
	WarmUpOvershoot float64
	WarmUpTolerance float64 // requests per second
}

func storeKeys() []Definition {
	return section(
		"store", []currantturn.Role{currantturn.RoleFlowBalancer},
		key("address", "", "HTTP address of the platform's store.",
			addresses(), func(o *Options) *netip.AddrPort { return &o.Store.Address }).required(),
		key("apply_within", "3s", "Time within which a published configuration must be in force.",
			durations(500*time.Millisecond, time.Minute), func(o *Options) *time.Duration { return &o.Store.ApplyWithin }),
		key("drain_within", "1m", "Time within which the backend servers of a drained failure domain must get no new flows; the shorter one of this and apply_within bounds the age of what is read.",
			durations(500*time.Millisecond, time.Minute), func(o *Options) *time.Duration { return &o.Store.DrainWithin }),
	)
}

func relayKeys() []Definition {
	balancer, agent := currantturn.RoleFlowBalancer, currantturn.RoleFlowAgent
	return section(
		"relay", relayRoles,
		key("link_address", "", "UDP address for traffic between balancers and agents; its port must be the same on every VM.",
			addresses(), func(o *Options) *netip.AddrPort { return &o.Relay.LinkAddress }).required(),
		key("readiness_address", "", "HTTP address of the readiness check, which reports whether this process serves.",
			addresses(), func(o *Options) *netip.AddrPort { return &o.Relay.ReadinessAddress }).required(),
		key("metrics_address", "", "HTTP address that serves the counters and histograms as text; without it they are not served.",
			addresses(), func(o *Options) *netip.AddrPort { return &o.Relay.MetricsAddress }),
		key("caller_address", "", "UDP address at which a balancer receives callers' packets; an agent uses only the port, to which it sends answers to callers.",
			addresses(), func(o *Options) *netip.AddrPort { return &o.Relay.CallerAddress }).required(),
		key("state_address", "", "HTTP address where other balancers read the published state.",
			addresses(), func(o *Options) *netip.AddrPort { return &o.Relay.StateAddress }).required().onlyFor(balancer),
		key("seeds", "", "State addresses of the balancers that this process contacts first.",
			lists(addresses()), func(o *Options) *[]netip.AddrPort { return &o.Relay.Seeds }),
		key("link_capacity", "1000", "Capacity of the VM's network link; balancers with the fastest links read the store for the others.",
			rates("Mbit/s", 0.1, 1e6), func(o *Options) *float64 { return &o.Relay.LinkCapacity }).onlyFor(balancer),
		key("overflow", "true", "Whether new flows may go to another service of their route while all suitable backend servers of the one drawn by weight are overloaded.",
			booleans(), func(o *Options) *bool { return &o.Relay.Overflow }).onlyFor(balancer),
		key("outbound_address", "", "UDP address to which the backend server sends its packets.",
			addresses(), func(o *Options) *netip.AddrPort { return &o.Relay.OutboundAddress }).required().onlyFor(agent),
		key("backend_address", "", "Address of the backend server: UDP for packets; a TCP connection, without a request, shows whether it runs.",
			addresses(), func(o *Options) *netip.AddrPort { return &o.Relay.BackendAddress }).required().onlyFor(agent),
		key("service", "", "Service that the backend server belongs to.",
			names[currantturn.ServiceName](), func(o *Options) *currantturn.ServiceName { return &o.Relay.Service }).required().onlyFor(agent),
		key("warm_up_overshoot", "1", "Factor on the rate that the configuration gives for cold backend servers; with warm_up_tolerance it makes the limit on new flows in any second.",
			rates("factor", 0, 1000), func(o *Options) *float64 { return &o.Relay.WarmUpOvershoot }).onlyFor(agent),
		key("warm_up_tolerance", "0", "New flows per second that a cold backend server may get above its rate times warm_up_overshoot.",
			rates("1/s", 0, 1e6), func(o *Options) *float64 { return &o.Relay.WarmUpTolerance }).onlyFor(agent),
		key("fresh_start", "false", "Set to true only when the whole system starts for the first time: no flow can then be older than this process.",
			booleans(), func(o *Options) *bool { return &o.Relay.FreshStart }),
	)
}
