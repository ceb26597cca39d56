package gossip

import "time"

// Spreading between peers.
const (
	// roundEvery is the period of the rounds after a new record.
	roundEvery = 250 * time.Millisecond
	// rounds is how many rounds follow a new record.
	rounds = 12
	// fanout is how many peers a round tells of the head.
	fanout = 2
	// exchangeEvery is the period of digests between rounds.
	exchangeEvery = time.Second
	// joinExchangeEvery is the period of digests while not ready.
	joinExchangeEvery = 500 * time.Millisecond
	// joinFanout is how many peers a process asks that is not ready.
	joinFanout = 3
	// sameDomainShare is the share of peers chosen within the failure domain.
	sameDomainShare = 0.75
	// pickTries bounds the draws for a peer of the own failure domain.
	pickTries = 16
)

// Transfers between peers.
const (
	// partBytes is the payload of a part, below message.MaxBytes.
	partBytes = 1000
	// pullWindow is how many parts answer one pull.
	pullWindow = 4
	// pullTimeout is when a pull without progress goes to another peer.
	pullTimeout = 400 * time.Millisecond
	// maxEarly bounds the versions held before the process is ready.
	maxEarly = 64
	// maxAhead bounds the records held that do not yet follow the head.
	maxAhead = 64
	// maxParts bounds the parts of a record.
	maxParts = 80
	// maxCheckpointParts bounds the parts of a checkpoint.
	maxCheckpointParts = 1100
	// checkpointPulls is how many parts of a checkpoint are asked for at once.
	checkpointPulls = 16
	// checkpointTimeout drops a download without progress.
	checkpointTimeout = 10 * time.Second
	// offerPeers is how many further peers an offer names.
	offerPeers = 8
	// maxHints bounds the peers learnt from offers.
	maxHints = 64
	// sendBytesPerSecond paces the answers to peers.
	sendBytesPerSecond = 2500
	// sendBurstBytes is how much pacing lets through at once.
	sendBurstBytes = 1500
	// digestBytes and offerBytes are the sizes of these answers.
	digestBytes = 60
	offerBytes  = 250
	// DatagramOverheadBytes is what link and network add to a message.
	DatagramOverheadBytes = 111
)

// Reads of the platform.
const (
	// watchersPerDomain is how many processes of a failure domain watch.
	watchersPerDomain = 3
	// chooseEvery is the shortest period between choices of watchers.
	chooseEvery = 5 * time.Second
	// watchWait is how long a watch waits.
	watchWait = 20 * time.Second
	// staleAfter is the age from which the head needs a new confirmation.
	staleAfter = 30 * time.Second
	// directReadsPerSecond bounds the reads of all processes that hear nothing.
	directReadsPerSecond = 200
	// joinReadsPerSecond bounds the snapshot reads of all starting processes.
	joinReadsPerSecond = 500
	// vmReadsPerSecond bounds the reads of the VM list by all processes.
	vmReadsPerSecond = 100
	// minVMsEvery is the shortest period between reads of the VM list.
	minVMsEvery = 20 * time.Second
	// minSpread is the shortest jitter of a read.
	minSpread = time.Second
	// minBackoff is the first delay after a failed read.
	minBackoff = time.Second
	// maxBackoff is the longest delay of a watcher after failed reads.
	maxBackoff = 30 * time.Second
	// readTimeout gives up a read that was never answered, beyond its wait.
	readTimeout = 10 * time.Second
)

// Readiness.
const (
	// joinAnswers is how many peers must answer when the platform cannot.
	joinAnswers = 3
	// joinWait is how long a process that found the platform unavailable or
	// stale waits for joinAnswers before fewer suffice.
	joinWait = 5 * time.Second
	// contraryPeers must contradict a process that was never ready before it
	// takes their log instead of the platform's.
	contraryPeers = 2
	// pauseAfter is the gap between ticks that counts as a pause.
	pauseAfter = 2 * time.Second
	// heardFor is how long a position counts as heard that no peer repeats.
	heardFor = 30 * time.Second
	// unknownAge stands for a head that was never confirmed.
	unknownAge = 24 * time.Hour
)
