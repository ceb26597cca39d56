package agent

import "time"

const (
	// DefaultMaxRecords is the default limit on the flow records of an agent.
	DefaultMaxRecords = 1 << 18
	// DefaultIdleTimeout is how long a held flow may be without packets.
	DefaultIdleTimeout = 2 * time.Minute
	// RedirectIdleTimeout is how long a redirect is kept without a packet or an
	// announcement.
	RedirectIdleTimeout = 5 * time.Minute
	// RefreshInterval is how often a holder repeats its announcements.
	RefreshInterval = 2 * time.Minute
	// ClosedFlowLifetime is how long a closed flow is kept for late packets.
	ClosedFlowLifetime = 5 * time.Second
	// EarlierHomeWindow is how long after a change of homes the earlier homes are
	// queried before a new flow is placed.
	EarlierHomeWindow = 10 * time.Second
	// SearchTimeout is when a search ends even if replies are missing.
	SearchTimeout = 3 * time.Second
	// AnnounceTimeout is how long an announcement may stay unacknowledged before
	// it is sent again.
	AnnounceTimeout = 250 * time.Millisecond
	// AnnounceBytesPerSecond limits the bandwidth of announcements.
	AnnounceBytesPerSecond = 2500
	// HintsPerSecond limits the rate of hints to balancers.
	HintsPerSecond = 10
	// NoticeInterval is how often balancers receive repeated notices of the
	// backend servers that are gone.
	NoticeInterval = 10 * time.Second
	// EchoInterval is how often idle balancers are probed.
	EchoInterval = 2 * time.Second

	maxHops             = 8                      // agents that an envelope may pass
	maxTrustedHops      = 2                      // agents passed after which the receiver acts as the home
	maxEarlierPlans     = 8                      // earlier plans that are kept
	maxSearches         = 64                     // searches per shard
	maxWaitingPackets   = 8                      // packets queued for one search
	maxQueryDelay       = 400 * time.Millisecond // between repeated queries of a search
	maxOthersQueried    = 64                     // agents added when a search is widened
	maxBalancers        = 64                     // balancers that are kept
	noticeFanout        = 8                      // balancers that receive a change
	refreshFanout       = 2                      // balancers that receive repeated notices
	echoFanout          = 4                      // idle balancers probed at once
	maxBatchKeys        = 25                     // flows in one announcement
	maxBatches          = 256                    // announcements that are queued or unacknowledged
	maxAttempts         = 12                     // transmissions of one announcement
	sweepMaxRecords     = 4096                   // records visited in one tick
	sweepMaxShards      = 16                     // shards visited in one tick
	flowWeight          = 0.25                   // weight of open flows against requests in progress in a score
	selfTolerance       = 0.02                   // relative amount by which the home's own score may be worse than a peer's
	announceBurst       = 2 * AnnounceBytesPerSecond
	announcedFlowBytes  = 40 // wire size of a flow in an announcement
	announceHeaderBytes = 80 // wire size of an announcement without flows

	// Answers go through the balancers that were active within the shortest of
	// these windows that has enough of them.
	activeWindow = time.Second
	recentWindow = 5 * time.Second
	usableWindow = 60 * time.Second
	// echoTimeout is how long a balancer counts as reachable after an unanswered
	// echo.
	echoTimeout = 400 * time.Millisecond
)
