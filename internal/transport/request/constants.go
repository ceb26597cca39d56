package request

import "time"

const (
	// DefaultMaxBodyBytes limits the body of a request that needs a claim.
	DefaultMaxBodyBytes = 8 << 20
	// DefaultMaxBufferedBytes limits the sum of these bodies in memory.
	DefaultMaxBufferedBytes = 64 << 20
	// streamBufferBytes is the size of the buffer for copying an answer.
	streamBufferBytes = 32 << 10
	// maxRecordedHeaderBytes limits the answer headers that a claim's record stores.
	maxRecordedHeaderBytes = 256
	// defaultRetryAfter is the Retry-After of a refusal without an estimate from the queue.
	defaultRetryAfter = time.Second
	// maxRetries limits the retries of one idempotent request.
	maxRetries = 2
	// peerIdleTimeout closes a connection between agents on which nothing is received.
	peerIdleTimeout = 30 * time.Second
	// confirmationPollInterval is how often a planned stop checks for unconfirmed reports.
	confirmationPollInterval = 10 * time.Millisecond
	// goAwayTimeout is how long a planned stop waits for a client to close its
	// connection after its last answer; retransmissions of that answer fall within it.
	goAwayTimeout = 2 * time.Second
	// idleCheckInterval is how often a planned stop looks for such connections.
	idleCheckInterval = 50 * time.Millisecond
)
