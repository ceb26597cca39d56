package event

// Numbers of the events of what the store publishes.
const (
	StoreLost              = 801
	StoreRegained          = 802
	RoutingInForce         = 803
	RegistrationSeen       = 804
	RegistrationGone       = 805
	RegistrationUnreadable = 806
	StatePulled            = 807
	StoreWatched           = 808
	StoreLeftToOthers      = 809
)

var publicationDefinitions = []Definition{
	{StoreLost, "store_lost", Warning, "store does not answer this process", fields("error")},
	{StoreRegained, "store_regained", Info, "store answers again", fields("failures")},
	{RoutingInForce, "routing_in_force", Info, "published configuration is in force", fields("version routes")},
	{RegistrationSeen, "registration_seen", Info, "backend server registered or changed its registration", fields("backend state revision")},
	{RegistrationGone, "registration_gone", Info, "registration of a backend server was removed; untrusted ones may come back", fields("backend revision trusted")},
	{RegistrationUnreadable, "registration_unreadable", Warning, "item of the store can't be read and names nothing", fields("key error")},
	{StatePulled, "state_pulled", Info, "newer published state was taken from another balancer", fields("peer revision version")},
	{StoreWatched, "store_watched", Info, "this balancer watches the store, for want of others with faster links", fields("peers age")},
	{StoreLeftToOthers, "store_left_to_others", Info, "balancers that are alive watch the store; this one follows them", fields("peers age")},
}
