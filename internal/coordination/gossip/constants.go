package gossip

import "time"

// Digest exchange between peers.
const (
	// roundInterval is the period of the digest rounds after a new record.
	roundInterval = 250 * time.Millisecond
	// roundsPerRecord is the number of digest rounds after a new record.
	roundsPerRecord = 12
	// fanout is the number of peers that receive a digest in each round.
	fanout = 2
	// exchangeInterval is the mean period of the regular digest exchange with a
	// random peer.
	exchangeInterval = time.Second
	// joinExchangeInterval is the mean period of the digest exchange while the
	// process is not ready, and the period of requests for offers.
	joinExchangeInterval = 500 * time.Millisecond
	// joinFanout is the number of peers that receive a digest in each exchange
	// while the process is not ready, or a request for an offer.
	joinFanout = 3
	// sameDomainShare is the fraction of picks that prefer a peer in the same
	// failure domain.
	sameDomainShare = 0.75
	// maxPickTries bounds the random draws for a peer in the same failure domain.
	maxPickTries = 16
)

// Transfers between peers.
const (
	// partBytes is the payload of a part or chunk; with its header the message
	// stays below message.MaxBytes.
	partBytes = 1000
	// pullWindow is the maximum number of parts or chunks sent per request.
	pullWindow = 4
	// pullTimeout is how long the reply to a request may take before the missing
	// data is requested again, from a random peer.
	pullTimeout = 400 * time.Millisecond
	// maxViewsBeforeReady bounds the versions retained until the process is ready.
	maxViewsBeforeReady = 64
	// maxPending is how far beyond the head a received record may lie to be kept.
	maxPending = 64
	// maxParts is the maximum number of parts of a record; larger records are
	// not sent to peers.
	maxParts = 80
	// maxCheckpointParts is the maximum number of chunks of a checkpoint.
	maxCheckpointParts = 1100
	// maxChunksInFlight is the number of chunks requested at a time.
	maxChunksInFlight = 16
	// checkpointTimeout is the time without a new chunk after which a download is
	// dropped.
	checkpointTimeout = 10 * time.Second
	// maxOfferPeers is the maximum number of further peers named in an offer.
	maxOfferPeers = 8
	// maxLearnedPeers bounds the peers learned from seeds and offers, and the
	// sources of a download.
	maxLearnedPeers = 64
	// sendBytesPerSecond limits the byte rate of replies to peers.
	sendBytesPerSecond = 2500
	// sendBurstBytes is the capacity of the token bucket for replies.
	sendBurstBytes = 1500
	// digestBytes and offerBytes are the sizes that the rate limit assumes for a
	// digest or offer sent as a reply.
	digestBytes = 60
	offerBytes  = 250
	// DatagramOverheadBytes is what the link and network headers add to a message.
	DatagramOverheadBytes = 111
)

// Reads from the platform.
const (
	// watchersPerDomain is the number of watchers in each failure domain.
	watchersPerDomain = 3
	// watcherUpdateInterval is the shortest period between two decisions whether
	// this process is a watcher.
	watcherUpdateInterval = 5 * time.Second
	// watchWait is how long the platform may hold a watch open without a change.
	watchWait = 20 * time.Second
	// staleAfter is the age at which the confirmation of the head expires.
	staleAfter = 30 * time.Second
	// directReadsPerSecond limits the log reads of all processes together that
	// receive no recent confirmation from peers.
	directReadsPerSecond = 200
	// joinReadsPerSecond limits the reads of all starting or resuming processes
	// together.
	joinReadsPerSecond = 500
	// vmReadsPerSecond limits the VM list reads of all processes together.
	vmReadsPerSecond = 100
	// minVMReadInterval is the shortest mean period between reads of the VM list.
	minVMReadInterval = 20 * time.Second
	// minReadPeriod is the shortest period over which reads are spread.
	minReadPeriod = time.Second
	// minBackoff is the first mean delay after a failed read.
	minBackoff = time.Second
	// maxBackoff is the longest mean delay of a watcher after failed reads.
	maxBackoff = 30 * time.Second
	// readTimeout is how long a read may take, in addition to its wait.
	readTimeout = 10 * time.Second
)

// Readiness.
const (
	// minAgreeingPeers is the number of peers with the same log that make a
	// process ready without a recent confirmation by the platform.
	minAgreeingPeers = 3
	// joinWait is how long a process that found the platform unavailable or
	// stale waits for minAgreeingPeers before fewer suffice. A process with a
	// confirmed configuration waits as long for a peer that might contradict it.
	joinWait = 5 * time.Second
	// minContradictingPeers is the number of peers that must contradict a process
	// that was never ready before it replaces the platform's log by theirs.
	minContradictingPeers = 2
	// pauseThreshold is the gap between ticks above which the process counts as
	// having been paused.
	pauseThreshold = 2 * time.Second
	// highestKnownTTL is how long a reported position beyond the head is kept
	// without another report of it.
	highestKnownTTL = 30 * time.Second
	// unknownAge is the age reported for a head that was never confirmed.
	unknownAge = 24 * time.Hour
)
