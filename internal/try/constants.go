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
	requestTimeout    = 5 * time.Second
	watchInterval     = 50 * time.Millisecond // between the lines of a watch
	// watchStallThreshold is the time between two lines above which a watch
	// counts as stalled.
	watchStallThreshold = 2 * time.Second
	requestsPerBlob     = 40 // every n-th request is for a blob
	progressInterval    = time.Second
	shutdownTimeout     = time.Minute
	// drainBound is the time after the start of a drain within which the backend
	// server must stop running new requests.
	drainBound = 3 * time.Second
	// fabricSettleTime is the delay between removing a balancer from the fabric and
	// closing it, for the packets already sent to it.
	fabricSettleTime = 300 * time.Millisecond
	// rampUpTime is the agents' ramp-up time. It is short because the fake backend
	// servers run at full speed from the start.
	rampUpTime = time.Second
	clockSkew  = 20 * time.Millisecond // small because all processes share one clock
	// warmUpTime is the delay between the first configuration being in force at every
	// process and the first request; the agents ramp up in it.
	warmUpTime          = time.Second
	firstInForceTimeout = 20 * time.Second
	claimRetention      = 15 * time.Minute
	maxClaimBytes       = 16 << 20
	// inForceTarget is the time within which a configuration should be in force at
	// every process.
	inForceTarget    = 4 * time.Second
	maxLatencyMicros = 60_000_000 // largest latency of the histogram, in microseconds
	latencyDigits    = 3          // significant digits of the histogram
)
