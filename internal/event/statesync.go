package event

// Numbers of the events about reading the published state, from the store or
// from other balancers.
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
	AgentsAnnounced        = 810
	StoreRestored          = 811
	DomainDrained          = 812
	DomainRestored         = 813
	ChangeReceived         = 814
	StoreAnswerTooLarge    = 815
	StateDiffers           = 816
	RegistrationUnusable   = 817
)

var stateSyncDefinitions = []Definition{
	{StoreLost, "store_lost", Warning, "store cannot be read; retrying", fields("error")},
	{StoreRegained, "store_regained", Info, "store can be read again", fields("failures")},
	{RoutingInForce, "routing_in_force", Info, "published configuration is in force", fields("version routes")},
	{RegistrationSeen, "registration_seen", Info, "backend server registered or changed its registration", fields("backend state era revision")},
	{RegistrationGone, "registration_gone", Info, "registration of a backend server was removed; if not trusted, it may have lapsed during a store outage and come back", fields("backend era revision trusted")},
	{RegistrationUnreadable, "registration_unreadable", Warning, "store entry cannot be decoded; a configuration is ignored, a registration stays in force for a while, an order to drain a failure domain holds by its key alone", fields("key error")},
	{StatePulled, "state_pulled", Info, "newer published state was fetched from another balancer", fields("peer era revision version")},
	{StoreWatched, "store_watched", Info, "balancer watches the store: too few live balancers rank ahead of it by link capacity", fields("peers age")},
	{StoreLeftToOthers, "store_left_to_others", Info, "balancer does not watch the store: other live balancers do, and it receives the state from them", fields("peers age")},
	{StoreRestored, "store_restored", Warning, "store returned from a copy: its revisions are given out again, and what it says is compared with what was known", fields("era earlier revision age")},
	{AgentsAnnounced, "agents_announced", Warning, "nothing is published yet; flows are searched for among agents that announced themselves, and new ones go only to agents that hold flows of their address", fields("agents")},
	{DomainDrained, "domain_drained", Info, "operator drains a failure domain: its backend servers get no new flows; without backend servers the order has no effect", fields("domain servers era revision")},
	{DomainRestored, "domain_restored", Info, "operator has taken a failure domain back: its backend servers get new flows again", fields("domain servers era revision")},
	{ChangeReceived, "change_received", Info, "another balancer's heartbeat brought the published state to a newer revision", fields("peer since era revision servers orders")},
	{StoreAnswerTooLarge, "store_answer_too_large", Warning, "store's answer is above the limit and was not used; everything is read in its place, page by page", fields("error era revision")},
	{StateDiffers, "state_differs", Warning, "another balancer has another state at the same position: one of them has missed a change; both read everything, and reset no flow meanwhile because nobody holds it", fields("peer era revision own theirs")},
	{RegistrationUnusable, "registration_unusable", Warning, "something that is no registration was published under the ID of a backend server, which stays in force for a while if it is known", fields("backend era revision")},
}
