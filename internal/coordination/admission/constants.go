package admission

import "time"

const (
	// DefaultRampUp is the time over which a restarted backend server gets all its
	// slots.
	DefaultRampUp = 10 * time.Second
	// DefaultQueueLimit bounds the queue when the configuration sets no limit.
	DefaultQueueLimit = 64
	// DefaultWatchLimit bounds the watches, which are responses without end and
	// take no slot.
	DefaultWatchLimit = 4096
	// peerLoadMaxAge is how long the load received from a peer is used.
	peerLoadMaxAge = 2 * time.Second
	// maxPeers bounds the peers whose load is stored.
	maxPeers = 1024
	// One service time has the weight 1/2^meanShift in the smoothed mean and
	// 1/2^deviationShift in the smoothed deviation, as in TCP's round-trip
	// estimator.
	meanShift      = 3
	deviationShift = 2
	// retriesPerSuccess is the fraction of a retry that one success allows.
	retriesPerSuccess = 0.1
	// maxSavedRetries bounds the retries that a budget accumulates.
	maxSavedRetries = 10
	// The mean backoff before a retry is backoffBase times 2^attempt, at most
	// backoffMax.
	backoffBase = 50 * time.Millisecond
	backoffMax  = 2 * time.Second
)
