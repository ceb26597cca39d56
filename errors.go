package currantturn

import "errors"

// Sentinel errors of the system; callers test for them with errors.Is.
var (
	// ErrMalformed reports input that does not decode.
	ErrMalformed = errors.New("malformed input")
	// ErrUnauthenticated reports input whose authenticator does not match.
	ErrUnauthenticated = errors.New("unauthenticated input")
	// ErrReplayed reports an authentic datagram that was received before.
	ErrReplayed = errors.New("replayed input")
	// ErrTooLarge reports input above a size limit.
	ErrTooLarge = errors.New("input too large")
	// ErrUnavailable reports that the platform or a peer did not reply.
	ErrUnavailable = errors.New("unavailable")
	// ErrCompacted reports a watch from a revision that the store no longer keeps.
	ErrCompacted = errors.New("history compacted")
)
