package currantturn

import "errors"

// Sentinel errors of the system; callers test for them with errors.Is.
var (
	// ErrMalformed reports input that does not decode.
	ErrMalformed = errors.New("malformed input")
	// ErrUnauthenticated reports input whose authenticator does not match.
	ErrUnauthenticated = errors.New("unauthenticated input")
	// ErrReplayed reports an authentic datagram that was seen before.
	ErrReplayed = errors.New("replayed input")
	// ErrTooLarge reports input above a size limit.
	ErrTooLarge = errors.New("input too large")
	// ErrUnavailable reports a platform or peer that did not answer.
	ErrUnavailable = errors.New("unavailable")
	// ErrCompacted reports a watch from a revision that the store keeps no more.
	ErrCompacted = errors.New("history compacted")
)
