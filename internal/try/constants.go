package try

import "time"

const (
	// DefaultDuration is how long callers send requests.
	DefaultDuration = 20 * time.Second
	// MinDuration leaves room for every planned change.
	MinDuration = 4 * time.Second
	// MaxDuration bounds the load on this machine.
	MaxDuration = 10 * time.Minute
	// DefaultSeed seeds the fabric and the callers.
	DefaultSeed = 1

	callersPerBackend = 12
	requestDeadline   = 5 * time.Second
	watchEvery        = 50 * time.Millisecond
	watchStall        = 2 * time.Second // a longer silence is a stalled watch
	blobEvery         = 40              // every n-th request asks for a large answer
	progressEvery     = time.Second
	stopGrace         = time.Minute
	leavingBound      = 3 * time.Second // new work to a leaving backend server ends within
	fabricSettle      = 300 * time.Millisecond
	coldFor           = time.Second           // of the stand-ins, which start warm
	clockSkew         = 20 * time.Millisecond // one clock serves all processes
	warmUp            = time.Second
	settleBound       = 20 * time.Second
	claimRetention    = 15 * time.Minute
	claimStoreBytes   = 16 << 20
	inForceBound      = 4 * time.Second
	histogramMax      = 60_000_000 // microseconds
	histogramDigits   = 3
)
