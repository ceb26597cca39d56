package event

// Numbers of the request events.
const (
	RequestShed          = 502
	RequestSpilled       = 503
	RequestExpired       = 504
	OutcomeUnknown       = 507
	ClaimFenced          = 508
	RecordStoreFull      = 510
	RetryBudgetExhausted = 511
	BackendUnhealthy     = 512
	BackendHealthy       = 513
	LoadReportDistrusted = 514
)

var requestDefinitions = []Definition{
	{RequestShed, "request_shed", Info, "request did not run: no slot was available within its deadline", fields("request service queue")},
	{RequestSpilled, "request_spilled", Debug, "request was forwarded to a peer with a free slot", fields("request service peer")},
	{RequestExpired, "request_expired", Info, "request passed its deadline", fields("request service stage")},
	{OutcomeUnknown, "outcome_unknown", Warning, "outcome of a request is unknown", fields("request service reason")},
	{ClaimFenced, "claim_fenced", Info, "claim was fenced by a newer owner", fields("request service version")},
	{RecordStoreFull, "record_store_full", Warning, "record store is full; a new request was refused and did not run", fields("records limit")},
	{RetryBudgetExhausted, "retry_budget_exhausted", Warning, "retry was suppressed by the retry budget", fields("service")},
	{BackendUnhealthy, "backend_unhealthy", Warning, "backend server fails its health check", fields("backend error")},
	{BackendHealthy, "backend_healthy", Info, "backend server passes its health check", fields("backend")},
	{LoadReportDistrusted, "load_report_distrusted", Warning, "reported load differs from the observed load, which is used instead", fields("backend reported observed")},
}
