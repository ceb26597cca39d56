package event

// Numbers of the flow events.
const (
	FlowPlaced         = 301
	FlowRedirected     = 302
	FlowSearchStarted  = 303
	FlowAdopted        = 304
	FlowRejected       = 305
	FlowTableFull      = 306
	FlowExpired        = 307
	CallerLimitReached = 308
	DrainStarted       = 310
	DrainFinished      = 311
	RecordsHandedOver  = 312
)

var flowDefinitions = []Definition{
	{FlowPlaced, "flow_placed", Debug, "flow was placed on a backend server", fields("flow service backend reason load version era revision tries")},
	{FlowRedirected, "flow_redirected", Debug, "flow was placed on another backend server; its packets are redirected there", fields("flow service backend")},
	{FlowSearchStarted, "flow_search_started", Debug, "search for an unknown flow started among the agents of its service", fields("flow service version")},
	{FlowAdopted, "flow_adopted", Info, "flow was adopted after a search found no holder", fields("flow service backend")},
	{FlowRejected, "flow_rejected", Warning, "packet of an unknown flow was rejected", fields("flow service reason")},
	{FlowTableFull, "flow_table_full", Warning, "flow table is full; a new flow was refused", fields("service flows limit")},
	{FlowExpired, "flow_expired", Debug, "idle flow was removed", fields("flow service idle")},
	{CallerLimitReached, "caller_limit_reached", Warning, "caller reached its limit of flows", fields("caller service limit")},
	{DrainStarted, "drain_started", Info, "backend server is draining and accepts no new work", fields("service backend reason")},
	{DrainFinished, "drain_finished", Info, "drained backend server holds no more flows", fields("service backend elapsed")},
	{RecordsHandedOver, "records_handed_over", Info, "redirect records are being sent to the next homes of their flows", fields("records peer")},
}
