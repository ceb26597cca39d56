package event

// Numbers of the request events.
const (
	ClaimFenced          = 508
	RecordStoreFull      = 510
	BackendUnhealthy     = 512
	BackendHealthy       = 513
	LoadReportDistrusted = 514
)

var requestDefinitions = []Definition{
	{ClaimFenced, "claim_fenced", Info, "claim was fenced by a newer owner", fields("request service version")},
	{RecordStoreFull, "record_store_full", Warning, "record store is full; a new request was refused as not run", fields("records limit")},
	{BackendUnhealthy, "backend_unhealthy", Warning, "backend server fails its health check", fields("backend error")},
	{BackendHealthy, "backend_healthy", Info, "backend server passes its health check", fields("backend")},
	{LoadReportDistrusted, "load_report_distrusted", Warning, "load report disagrees with the observed load", fields("backend reported observed")},
}
