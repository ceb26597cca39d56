package admin

import "time"

// Limits of the API.
const (
	maxCredentialBytes = 1 << 20 // of the certificate authority's file
	maxConnections     = 16      // open at a time
	maxHeaderBytes     = 16 << 10
	maxPatchBytes      = 1 << 20
	maxResponseBytes   = 16 << 20 // that the client reads
	readHeaderTimeout  = 5 * time.Second
	readTimeout        = 10 * time.Second
	writeTimeout       = 30 * time.Second
	idleTimeout        = time.Minute
	clientTimeout      = 10 * time.Second
	defaultLimit       = 1000  // entries of a list if the query has no limit
	maxLimit           = 20000 // entries of a list
)

// Paths of the API.
const (
	PathStatus   = "/v1/status"
	PathVersion  = "/v1/version"
	PathVerdicts = "/v1/verdicts"
	PathMembers  = "/v1/members"
	PathFlows    = "/v1/flows"
	PathAudit    = "/v1/audit"
	PathDryRun   = "/v1/patch/dry_run"
	PathMetrics  = "/debug/vars"
)
