package request

import "time"

// HTTP headers of a request and its response.
const (
	HeaderKey        = "Idempotency-Key"    // UUIDv7, bare or as a quoted string
	HeaderTimeout    = "Request-Timeout"    // seconds, up to three decimals
	HeaderIdempotent = "Request-Idempotent" // ?1 if the request may run more than once, else ?0
	HeaderWatch      = "Request-Watch"      // ?1 marks a request whose response is an endless stream, ?0 any other
	HeaderOutcome    = "Request-Outcome"    // an Outcome
	HeaderRetryAfter = "Retry-After"        // seconds
	HeaderService    = "Request-Service"    // between agents: name of the requested service
	HeaderDigest     = "Repr-Digest"        // trailer of a response without a length
)

const (
	// DefaultTimeout is the timeout of requests without HeaderTimeout.
	DefaultTimeout = 30 * time.Second
	// MaxTimeout is the longest timeout that a caller may set.
	MaxTimeout = 10 * time.Minute
	// MinRetryAfter is the shortest delay in HeaderRetryAfter.
	MinRetryAfter = time.Second
	// MaxInlineBytes is the largest response body that a control message carries.
	MaxInlineBytes = 640
)
