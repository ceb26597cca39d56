package event

// Numbers of the events of opaque flows.
const (
	FlowDeclined     = 821
	FlowUnanswered   = 822
	FlowFound        = 823
	FlowReset        = 824
	FlowForgotten    = 825
	BackendSilent    = 826
	BackendAnswers   = 827
	FlowForeign      = 828
	RequestGivenUp   = 830
	PacketUnreadable = 829
	SettingsReloaded = 831
	SettingsRejected = 832
	RelayFailed      = 833
	RequestReleased  = 835
	LogLinesLeftOut  = 834
	BackendSlow      = 836
	BackendUsual     = 837
	AgentSilent      = 838
	AgentHeard       = 839
	FlowOverflowed   = 840
	BackendDrained   = 841
	BackendRestored  = 842
	BackendLimit     = 845
	BackendFails     = 846
	BackendCold      = 851
	BackendWarm      = 852
)

var opaqueFlowDefinitions = []Definition{
	{FlowDeclined, "flow_declined", Info, "backend server did not accept a new flow; another one gets it, if there is one", fields("flow backend tries")},
	{FlowUnanswered, "flow_unanswered", Info, "opening packet was not answered in time; another backend server gets it, if there is one", fields("flow backend tries waited")},
	{FlowFound, "flow_found", Debug, "search found the flow's holder", fields("flow backend elapsed")},
	{FlowReset, "flow_reset", Info, "reset was sent to the caller: its flow is refused or no longer exists", fields("flow reason searched")},
	{FlowForgotten, "flow_forgotten", Info, "backend server no longer holds an open flow; a reset was sent to the caller", fields("flow backend")},
	{BackendSilent, "backend_silent", Warning, "backend server does not answer opening packets", fields("backend unanswered waited")},
	{BackendAnswers, "backend_answers", Info, "backend server answers again", fields("backend")},
	{BackendFails, "backend_fails", Warning, "backend server resets requests instead of answering them; new flows go elsewhere", fields("backend resets")},
	{BackendSlow, "backend_slow", Warning, "backend server is slower than the others; it is treated as busier", fields("backend slowness service_time usual age")},
	{BackendUsual, "backend_usual", Info, "backend server is about as fast as the others again", fields("backend slowness service_time usual age")},
	{BackendLimit, "backend_limit", Info, "agent runs another number of requests at once, since more would not raise the rate of answers, or would again", fields("backend limit slots")},
	{AgentSilent, "agent_silent", Warning, "agent does not answer while others do, and its registration is gone; it is treated as holding no flows", fields("backend peer unanswered registered")},
	{AgentHeard, "agent_heard", Info, "agent answers again", fields("backend peer")},
	{FlowOverflowed, "flow_overflowed", Info, "new flow goes to another service of its route: the drawn one has no backend server for it, or only overloaded ones", fields("flow drawn service")},
	{BackendDrained, "backend_drained", Info, "balancer says that the failure domain is drained: the agent declines new flows", fields("backend domain era revision")},
	{BackendRestored, "backend_restored", Info, "failure domain is taken back, or no balancer repeats that it is drained: the agent accepts new flows again", fields("backend domain era revision")},
	{BackendCold, "backend_cold", Info, "backend server has started, or may have; it gets new flows up to the limit only", fields("backend rate limit")},
	{BackendWarm, "backend_warm", Info, "backend server is warm; the limit on new flows is lifted", fields("backend limited")},
	{FlowForeign, "flow_foreign", Warning, "packet for another service was returned to its balancer", fields("flow service")},
	{RequestGivenUp, "request_given_up", Info, "caller abandoned a request that waited for a slot; the request did not run", fields("flow backend waited")},
	{PacketUnreadable, "packet_unreadable", Warning, "datagram cannot be decoded", fields("peer error")},
	{SettingsReloaded, "settings_reloaded", Info, "changed settings are in force", fields("path service")},
	{SettingsRejected, "settings_rejected", Warning, "changed settings are invalid; the previous ones stay in force", fields("path error")},
	{RelayFailed, "relay_failed", Warning, "packet could not be sent", fields("peer error")},
	{RequestReleased, "request_released", Debug, "waiting request got a slot and runs", fields("flow backend waited waiting running")},
	{LogLinesLeftOut, "log_lines_left_out", Warning, "log lines were dropped because the reader of the log is too slow", fields("lines")},
}
