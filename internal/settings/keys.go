package settings

import (
	"net/netip"
	"net/url"
	"slices"
	"time"

	"github.com/currantturn/currantturn"
	"github.com/currantturn/currantturn/internal/event"
)

func processKeys() []Definition {
	return section(
		"process", nil,
		key("role", "", "Role of the process.",
			choices(slices.Concat(requestRoles, relayRoles)...),
			func(o *Options) *currantturn.Role { return &o.Process.Role }).required(),
		key("name", "", "Name of the VM (balancer) or ID of the backend server (agent).",
			names[string](), func(o *Options) *string { return &o.Process.Name }).required(),
		key("failure_domain", "", "Set of machines that may fail together with this one.",
			names[currantturn.FailureDomain](),
			func(o *Options) *currantturn.FailureDomain { return &o.Process.FailureDomain }).required(),
		key("shutdown_grace", "24h", "How long a planned stop waits for work in progress, including watches; a second signal ends the wait.",
			durations(0, 7*24*time.Hour), func(o *Options) *time.Duration { return &o.Process.ShutdownGrace }),
	)
}

func platformKeys() []Definition {
	return section(
		"platform", requestRoles,
		key("urls", "", "Endpoints of the configuration service, tried in turn.",
			lists(urls()), func(o *Options) *[]*url.URL { return &o.Platform.URLs }).required(),
		key("read_timeout", "5s", "Timeout of a read; for a watch, it is added to the time that the watch waits.",
			durations(100*time.Millisecond, time.Minute),
			func(o *Options) *time.Duration { return &o.Platform.ReadTimeout }),
		key("read_budget_per_second", "0.1", "Maximum mean rate of reads and watches by this process.",
			rates("reads/s", 0.01, 100), func(o *Options) *float64 { return &o.Platform.ReadBudgetPerSecond }),
		key("peers", "", "Link addresses of processes that are queried while the platform does not answer.",
			lists(addresses()), func(o *Options) *[]netip.AddrPort { return &o.Platform.Peers }),
		key("fleet_size", "64", "Number of processes that the fleet is assumed to have until a configuration is received.",
			counts("processes", 1, 100_000), func(o *Options) *int { return &o.Platform.FleetSize }),
	)
}

func linkKeys() []Definition {
	return section(
		"link", requestRoles,
		key("address", "", "UDP address at which other processes of the system reach this one.",
			addresses(), func(o *Options) *netip.AddrPort { return &o.Link.Address }).required(),
		key("advertised_address", "", "Address announced to peers; by default the link address.",
			addresses(), func(o *Options) *netip.AddrPort { return &o.Link.AdvertisedAddress }),
	)
}

func entryKeys() []Definition {
	return section(
		"entry", balancerRoles,
		key("kind", "direct", "How the fabric delivers packets: unchanged, or behind a PROXY protocol v2 header.",
			choices(EntryDirect, EntryProxy), func(o *Options) *EntryKind { return &o.Entry.Kind }),
		key("addresses", "", "UDP addresses at which callers' packets arrive; if there are none, kind direct uses those of the configuration.",
			lists(addresses()), func(o *Options) *[]netip.AddrPort { return &o.Entry.Addresses }),
		key("fabric_answer_address", "", "Address at which the fabric receives answers; required with kind proxy.",
			addresses(), func(o *Options) *netip.AddrPort { return &o.Entry.FabricAnswerAddress }),
	)
}

func trustKeys() []Definition {
	return section(
		"trust", requestRoles,
		key("ca_file", "", "Certificate of the authority that signs the fleet's certificates, PEM.",
			files(), func(o *Options) *string { return &o.Trust.CAFile }).required(),
		key("certificate_file", "", "Certificate of this process, PEM.",
			files(), func(o *Options) *string { return &o.Trust.CertificateFile }).required(),
		key("key_file", "", "Private key of this process, PEM.",
			files(), func(o *Options) *string { return &o.Trust.KeyFile }).required(),
		key("datagram_key_file", "", "Key ring of the datagrams between processes: INI, section [keys], at most two IDs with 32 bytes in hexadecimal each, and active = the ID of the key that authenticates outgoing datagrams.",
			files(), func(o *Options) *string { return &o.Trust.DatagramKeyFile }).required(),
		key("hash_key_file", "", "Secret of at least 32 bytes in hexadecimal, the same on the whole fleet, from which the keys for ranking, connection IDs and resets are derived.",
			files(), func(o *Options) *string { return &o.Trust.HashKeyFile }).required(),
		key("reload_every", "1m", "How often the files of this section are read again.",
			durations(time.Second, 24*time.Hour), func(o *Options) *time.Duration { return &o.Trust.ReloadEvery }),
	)
}

func logKeys() []Definition {
	return section(
		"log", nil,
		key("format", "text", "Format of log lines.",
			choices(event.Text, event.JSON), func(o *Options) *event.Format { return &o.Log.Format }),
		key("level", "info", "Least severe level that is logged.",
			choices(event.Debug, event.Info, event.Warning, event.Error), func(o *Options) *event.Level { return &o.Log.Level }),
	)
}

func adminKeys() []Definition {
	return section(
		"admin", requestRoles,
		key("address", "", "TCP address of the administration API; without one it is off.",
			addresses(), func(o *Options) *netip.AddrPort { return &o.Admin.Address }),
		key("ca_file", "", "Certificate of the authority that signs operators' certificates, PEM.",
			files(), func(o *Options) *string { return &o.Admin.CAFile }),
		key("certificate_file", "", "Certificate of the API, PEM.",
			files(), func(o *Options) *string { return &o.Admin.CertificateFile }),
		key("key_file", "", "Private key of the API, PEM.",
			files(), func(o *Options) *string { return &o.Admin.KeyFile }),
		key("insecure", "false", "Serves the API without TLS, on a loopback address only.",
			booleans(), func(o *Options) *bool { return &o.Admin.Insecure }),
	)
}

func flowKeys() []Definition {
	return section(
		"flows", requestRoles,
		key("idle_timeout", "2m", "Time without packets after which a flow is removed.",
			durations(10*time.Second, 24*time.Hour),
			func(o *Options) *time.Duration { return &o.Flows.IdleTimeout }).onlyFor(currantturn.RoleAgent),
		key("table_size", "262144", "Maximum number of flow records that an agent keeps.",
			counts("flows", 1024, 1<<23), func(o *Options) *int { return &o.Flows.TableSize }).onlyFor(currantturn.RoleAgent),
		key("hint_cache_size", "8192", "Maximum number of hints about the locations of flows that a balancer keeps.",
			counts("hints", 1024, 1<<23), func(o *Options) *int { return &o.Flows.HintCacheSize }).onlyFor(currantturn.RoleBalancer),
		key("check_invariants", "false", "Checks the invariants of the tables at run time and reports each violation as event 108.",
			booleans(), func(o *Options) *bool { return &o.Flows.CheckInvariants }),
	)
}

func requestKeys() []Definition {
	return section(
		"requests", agentRoles,
		key("retention", "15m", "How long the claim, outcome and answer of a request are kept.",
			durations(time.Minute, 24*time.Hour), func(o *Options) *time.Duration { return &o.Requests.Retention }),
		key("record_store_bytes", "16MiB", "Memory for records of requests; a new request that would exceed it is not run.",
			sizes(64*kibibyte, 1024*mebibyte), func(o *Options) *int64 { return &o.Requests.RecordStoreBytes }),
		key("clock_skew", "1s", "Maximum difference between any two clocks of callers and processes.",
			durations(0, time.Minute), func(o *Options) *time.Duration { return &o.Requests.ClockSkew }),
		key("watches_max", "4096", "Maximum number of watches (answers without end), which take no slot.",
			counts("answers", 0, 1<<20), func(o *Options) *int { return &o.Requests.WatchesMax }),
		key("cold_start", "10s", "Time over which a newly started backend server is ramped up to all its slots.",
			durations(0, 10*time.Minute), func(o *Options) *time.Duration { return &o.Requests.ColdStart }),
	)
}

func backendKeys() []Definition {
	return section(
		"backend", agentRoles,
		key("service", "", "Service that the backend server belongs to.",
			names[currantturn.ServiceName](),
			func(o *Options) *currantturn.ServiceName { return &o.Backend.Service }).required(),
		key("address", "", "HTTP address of the backend server.",
			loopbackAddresses(), func(o *Options) *netip.AddrPort { return &o.Backend.Address }).required(),
		key("stream_address", "", "Address where callers and peers open streams to this agent.",
			addresses(), func(o *Options) *netip.AddrPort { return &o.Backend.StreamAddress }).required(),
		key("health_url", "", "Health endpoint of the backend server; without one, only its answers to requests show its health.",
			urls(), func(o *Options) **url.URL { return &o.Backend.HealthURL }),
		key("load_url", "", "Load endpoint of the backend server; without one, only the load observed by the agent is used.",
			urls(), func(o *Options) **url.URL { return &o.Backend.LoadURL }),
		key("caller_certificate_file", "", "Certificate presented to callers, PEM.",
			files(), func(o *Options) *string { return &o.Backend.CallerCertificateFile }).required(),
		key("caller_key_file", "", "Private key of that certificate, PEM.",
			files(), func(o *Options) *string { return &o.Backend.CallerKeyFile }).required(),
	)
}
