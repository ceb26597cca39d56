package settings

import (
	"net/netip"
	"time"

	"github.com/currantturn/currantturn"
)

// Store says how the platform's store is read.
type Store struct {
	Address     netip.AddrPort
	ApplyWithin time.Duration
}

// Relay is where the packets of opaque flows come from and go to.
type Relay struct {
	LinkAddress      netip.AddrPort
	ReadinessAddress netip.AddrPort
	MetricsAddress   netip.AddrPort

	CallerAddress netip.AddrPort

	StateAddress netip.AddrPort // of a balancer
	Seeds        []netip.AddrPort
	LinkCapacity float64 // Mbit/s

	OutboundAddress netip.AddrPort // of an agent
	BackendAddress  netip.AddrPort
	Service         currantturn.ServiceName
	FreshStart      bool
}

func storeKeys() []Definition {
	return section(
		"store", []currantturn.Role{currantturn.RoleFlowBalancer},
		key("address", "", "HTTP address of the platform's store.",
			addresses(), func(o *Options) *netip.AddrPort { return &o.Store.Address }).required(),
		key("apply_within", "3s", "Time within which a published configuration has to be in force.",
			durations(500*time.Millisecond, time.Minute), func(o *Options) *time.Duration { return &o.Store.ApplyWithin }),
	)
}

func relayKeys() []Definition {
	balancer, agent := currantturn.RoleFlowBalancer, currantturn.RoleFlowAgent
	return section(
		"relay", relaying,
		key("link_address", "", "UDP address for the other processes; its port is the same on every VM.",
			addresses(), func(o *Options) *netip.AddrPort { return &o.Relay.LinkAddress }).required(),
		key("readiness_address", "", "HTTP address that tells whether this process serves.",
			addresses(), func(o *Options) *netip.AddrPort { return &o.Relay.ReadinessAddress }).required(),
		key("metrics_address", "", "HTTP address of the counters and histograms, as text; without one it is off.",
			addresses(), func(o *Options) *netip.AddrPort { return &o.Relay.MetricsAddress }),
		key("caller_address", "", "UDP address of a balancer that callers' packets arrive at; at an agent, only its port matters, at which callers take answers.",
			addresses(), func(o *Options) *netip.AddrPort { return &o.Relay.CallerAddress }).required(),
		key("state_address", "", "HTTP address where other balancers read the published state.",
			addresses(), func(o *Options) *netip.AddrPort { return &o.Relay.StateAddress }).required().only(balancer),
		key("seeds", "", "State addresses of balancers that are told of this one first.",
			lists(addresses()), func(o *Options) *[]netip.AddrPort { return &o.Relay.Seeds }).only(balancer),
		key("link_capacity", "1000", "Capacity of the VM's network link; balancers with the fastest links read the store for the others.",
			rates("Mbit/s", 0.1, 1e6), func(o *Options) *float64 { return &o.Relay.LinkCapacity }).only(balancer),
		key("outbound_address", "", "UDP address that the backend server sends to.",
			addresses(), func(o *Options) *netip.AddrPort { return &o.Relay.OutboundAddress }).required().only(agent),
		key("backend_address", "", "UDP address of the backend server.",
			addresses(), func(o *Options) *netip.AddrPort { return &o.Relay.BackendAddress }).required().only(agent),
		key("service", "", "Service that the backend server belongs to.",
			names[currantturn.ServiceName](), func(o *Options) *currantturn.ServiceName { return &o.Relay.Service }).required().only(agent),
		key("fresh_start", "false", "No flow can be older than this process: the whole system starts for the first time.",
			booleans(), func(o *Options) *bool { return &o.Relay.FreshStart }).only(agent),
	)
}
