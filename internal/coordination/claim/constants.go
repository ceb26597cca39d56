package claim

import "time"

const (
	// DefaultClockSkew bounds how far two clocks of the fleet, or a caller's
	// clock and the fleet's, may differ ahead of each other.
	DefaultClockSkew = time.Second
	// beginRetry is the first delay before an unanswered Begin is repeated.
	beginRetry = 100 * time.Millisecond
	// pollEvery is the longest delay between two Begins of one attempt.
	pollEvery = time.Second
	// ownerSilence ends an attempt whose owner has not answered for so long.
	ownerSilence = 2 * time.Second
	// silentFor is how long a silent owner is asked nothing new.
	silentFor = time.Second
	// reportRetry and reportRetryMax bound the delay between two Reports.
	reportRetry    = 100 * time.Millisecond
	reportRetryMax = 10 * time.Second
	// probeLimit is after how many unanswered probes a runner counts as lost.
	probeLimit = 4
	// maxSilent bounds the processes that are held to be silent.
	maxSilent = 2048
	// maxWaiters bounds the attempts that a record answers without their asking again.
	maxWaiters = 4
	// maxHistory is how many earlier sets of members an owner asks.
	maxHistory = 16
	// maxAttempts bounds the attempts in progress at one runner.
	maxAttempts = 8192
	// runnerShards is how many locks a runner has.
	runnerShards = 16
)
