package warmup

import "time"

const (
	// Window is the time within which opening packets are counted: the second of the
	// limit, and the time by which delays on the way to the backend server may move them
	// together.
	Window = time.Second + 100*time.Millisecond
	// maxCounted limits the opening packets that are remembered, and with them the limit.
	maxCounted = 4096
	// knowledgeLifetime is how long the rate of a service is used without being received
	// again: longer than a backend server is cold.
	knowledgeLifetime = time.Minute
	// forgottenPause is how many warm-up durations a lost flow does not count as a sign of
	// a restart after one did, so that a backend server that drops idle flows is limited
	// for a part of the time only.
	forgottenPause = 4
	// maxSilence is how long the backend server may send nothing before it may have
	// restarted unnoticed: less than a restart without any packet takes.
	maxSilence = time.Second
	// rounding absorbs errors of floating-point arithmetic in the limit.
	rounding = 1e-9
)
