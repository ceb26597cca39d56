package admission

import "time"

const (
	// DefaultColdFor is how long a backend server ramps up to all its slots.
	DefaultColdFor = 10 * time.Second
	// DefaultQueue bounds the queue where the configuration sets none.
	DefaultQueue = 64
	// DefaultWatches bounds the answers without end, which take no slot.
	DefaultWatches = 4096
	// loadFresh is how long a peer's load is believed.
	loadFresh = 2 * time.Second
	// maxPeers bounds the peers whose load is kept.
	maxPeers = 1024
	// gainShift is the weight of one service time in the mean, as in TCP's
	// round-trip estimator; varianceShift that of its deviation.
	gainShift     = 3
	varianceShift = 2
	// budgetRatio is how many retries one success pays for.
	budgetRatio = 0.1
	// budgetBurst bounds the retries that are saved up.
	budgetBurst = 10
	// backoffBase and backoffMax bound the delay before a retry.
	backoffBase = 50 * time.Millisecond
	backoffMax  = 2 * time.Second
)
