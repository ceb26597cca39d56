package request

import "time"

// Headers of a request and of its answer.
const (
	HeaderKey        = "Idempotency-Key"    // UUIDv7, bare or as a quoted string
	HeaderTimeout    = "Request-Timeout"    // seconds, up to three decimals
	HeaderIdempotent = "Request-Idempotent" // ?1 or ?0
	HeaderWatch      = "Request-Watch"      // ?1 marks an answer without end
	HeaderOutcome    = "Request-Outcome"
	HeaderRetryAfter = "Retry-After"     // seconds
	HeaderService    = "Request-Service" // between agents: whose request it is
	HeaderDigest     = "Repr-Digest"     // trailer of an answer without a length
)

const (
	// DefaultTimeout holds for requests without a deadline.
	DefaultTimeout = 30 * time.Second
	// MaxTimeout is the longest deadline that a caller may ask for.
	MaxTimeout = 10 * time.Minute
	// MinRetryAfter is the shortest advice to a refused caller.
	MinRetryAfter = time.Second
	// MaxInlineBytes is the largest answer body that a control message carries.
	MaxInlineBytes = 640
)
