package agent

import "time"

const (
	// DefaultMaxRecords bounds the flow records of one agent.
	DefaultMaxRecords = 1 << 18
	// DefaultIdleTimeout is how long a held flow may be silent.
	DefaultIdleTimeout = 2 * time.Minute
	// RedirectIdleTimeout is how long a redirect lasts without packet or announcement.
	RedirectIdleTimeout = 5 * time.Minute
	// RefreshInterval is how often a holder repeats its announcements.
	RefreshInterval = 2 * time.Minute
	// ClosedFlowLifetime is how long a closed flow is kept for late packets.
	ClosedFlowLifetime = 5 * time.Second
	// EarlierHomeWindow is how long after a change of homes an opening packet is
	// looked for at its earlier homes.
	EarlierHomeWindow = 10 * time.Second
	// SearchTimeout ends a search whose last answers are missing.
	SearchTimeout = 3 * time.Second
	// AnnounceTimeout is how long an announcement may stay unacknowledged.
	AnnounceTimeout = 250 * time.Millisecond
	// AnnounceBytesPerSecond bounds what announcements may send.
	AnnounceBytesPerSecond = 2500
	// HintsPerSecond bounds the hints to balancers.
	HintsPerSecond = 10
	// NoticeInterval is how often balancers hear again who is gone.
	NoticeInterval = 10 * time.Second
	// EchoInterval is how often idle balancers are probed.
	EchoInterval = 2 * time.Second

	maxHops        = 8                      // agents that an envelope may pass
	maxTrustedHops = 2                      // agents after which the receiver acts as the home
	maxEarlierPlans     = 8                      // earlier rankings that are kept
	maxSearches    = 64                     // searches per shard
	maxWaitingPackets     = 8                      // packets that wait for one search
	maxQueryDelay    = 400 * time.Millisecond // between repeats of a search's question
	maxOthersQueried       = 64                     // agents asked in one search
	maxBalancers       = 64                     // balancers that are kept
	noticeFanout      = 8                      // balancers that hear a change
	refreshFanout     = 2                      // balancers that hear again who is gone
	echoFanout        = 4                      // idle balancers that are probed
	maxBatchKeys      = 25                     // flows in one announcement
	maxBatches     = 256                    // announcements that wait or are unacknowledged
	maxAttempts       = 12                     // sends of one announcement
	sweepMaxRecords   = 4096                   // records visited in one tick
	sweepMaxShards    = 16                     // shards visited in one tick
	flowWeight      = 0.25                   // weight of flows that are idle against work in progress
	selfTolerance      = 0.02                   // how much worse the home itself may score than a peer
	announceBurst  = 2 * AnnounceBytesPerSecond
	announcedFlowBytes    = 40 // wire size of a flow in an announcement
	announceHeaderBytes     = 80 // wire size of an announcement without flows

	activeWindow   = time.Second      // balancers heard this recently carry answers
	recentWindow = 5 * time.Second  // else these
	usableWindow  = 60 * time.Second // else these
	echoTimeout  = 400 * time.Millisecond
)
