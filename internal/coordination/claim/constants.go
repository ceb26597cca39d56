package claim

import "time"

const (
	// DefaultClockSkew is the default bound on how far any two clocks may
	// differ, among the processes as well as between a caller and a process.
	DefaultClockSkew = time.Second
	// beginRetryMin is the delay before the first resend of an unanswered
	// Begin; it doubles with each resend.
	beginRetryMin = 100 * time.Millisecond
	// beginRetryMax is the maximum delay between two Begins of one attempt.
	beginRetryMax = time.Second
	// ownerTimeout is how long a runner waits for the owner's verdict; a
	// Pending verdict restarts the wait.
	ownerTimeout = 2 * time.Second
	// suspicionPeriod is how long new attempts are not sent to an owner that
	// has timed out.
	suspicionPeriod = time.Second
	// reportRetryMin and reportRetryMax bound the delay between two Reports of
	// one attempt; it doubles with each resend.
	reportRetryMin = 100 * time.Millisecond
	reportRetryMax = 10 * time.Second
	// maxUnansweredProbes is the number of unanswered probes after which the
	// owner replies with Unknown instead of Pending.
	maxUnansweredProbes = 4
	// maxSuspects bounds the number of suspected processes; when it is reached,
	// all earlier suspicions are dropped.
	maxSuspects = 2048
	// maxWaiters bounds the attempts per record that receive its verdicts
	// without resending their Begin.
	maxWaiters = 4
	// maxHistory bounds the earlier member sets whose owners receive inquiries,
	// and the processes that are remembered as ended.
	maxHistory = 16
	// maxAttempts bounds the attempts that one runner holds at a time.
	maxAttempts = 8192
	// runnerShards is the number of shards, each with its own lock, that a
	// runner spreads its attempts over.
	runnerShards = 16
)
