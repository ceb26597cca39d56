package request

import "time"

const (
	// DefaultBodyBytes bounds the body of one request that needs a claim.
	DefaultBodyBytes = 8 << 20
	// DefaultBufferBytes bounds all bodies that are held at once.
	DefaultBufferBytes = 64 << 20
	// streamBytes is the size of the pieces of a streamed answer.
	streamBytes = 32 << 10
	// maxRecordedHeaderBytes bounds the headers that a record keeps.
	maxRecordedHeaderBytes = 256
	// retryAfter is the advice where no queue gives a better one.
	retryAfter = time.Second
	// maxRetries bounds the retries of one idempotent request.
	maxRetries = 2
	// idleConns bounds the idle connections to the backend server.
	idleConns = 64
	// peerIdle ends a connection between agents that has been silent.
	peerIdle = 30 * time.Second
	// settlePoll is how often Settle looks for unconfirmed reports.
	settlePoll = 10 * time.Millisecond
)
