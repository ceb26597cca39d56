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
)

var steeringDefinitions = []Definition{
	{FlowDeclined, "flow_declined", Info, "backend server did not take a new flow; it is placed elsewhere", fields("flow backend tries")},
	{FlowUnanswered, "flow_unanswered", Info, "opening packet was not answered in time; the flow is placed elsewhere", fields("flow backend tries waited")},
	{FlowFound, "flow_found", Debug, "search found the flow's holder", fields("flow backend elapsed")},
	{FlowReset, "flow_reset", Info, "caller was told that its flow is refused or gone", fields("flow reason")},
	{FlowForgotten, "flow_forgotten", Info, "backend server does not know an open flow any more; its caller is told", fields("flow backend")},
	{BackendSilent, "backend_silent", Warning, "backend server does not answer opening packets", fields("backend unanswered waited")},
	{BackendAnswers, "backend_answers", Info, "backend server answers again", fields("backend")},
	{BackendSlow, "backend_slow", Warning, "backend server answers more slowly than others; it counts as busier", fields("backend service_time usual age")},
	{BackendUsual, "backend_usual", Info, "backend server answers about as fast as others again", fields("backend service_time usual age")},
	{AgentSilent, "agent_silent", Warning, "agent does not answer while others do; it counts as holding no flows", fields("backend peer unanswered registered")},
	{AgentHeard, "agent_heard", Info, "agent that was silent is heard again", fields("backend peer")},
	{FlowForeign, "flow_foreign", Warning, "packet for another service was returned", fields("flow service")},
	{RequestGivenUp, "request_given_up", Info, "caller gave up on a request that waited for a slot; it did not run", fields("flow backend waited")},
	{PacketUnreadable, "packet_unreadable", Warning, "datagram is no packet of a flow", fields("peer error")},
	{SettingsReloaded, "settings_reloaded", Info, "changed settings are in force", fields("path service")},
	{SettingsRejected, "settings_rejected", Warning, "changed settings have mistakes; the earlier ones stay in force", fields("path error")},
	{RelayFailed, "relay_failed", Warning, "packet could not be sent", fields("peer error")},
	{RequestReleased, "request_released", Debug, "request that waited for a slot runs now", fields("flow backend waited waiting running")},
	{LogLinesLeftOut, "log_lines_left_out", Warning, "log lines were left out since their reader is slow", fields("lines")},
}
