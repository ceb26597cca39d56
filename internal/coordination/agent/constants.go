package agent

import "time"

const (
	// DefaultRecords bounds the flow records of one agent.
	DefaultRecords = 1 << 18
	// DefaultFlowIdle is how long a held flow may be silent.
	DefaultFlowIdle = 2 * time.Minute
	// RedirectIdle is how long a redirect lasts without packet or announcement.
	RedirectIdle = 5 * time.Minute
	// RefreshEvery is how often a holder repeats its announcements.
	RefreshEvery = 2 * time.Minute
	// ClosedFor is how long a closed flow is kept for late packets.
	ClosedFor = 5 * time.Second
	// GuardWindow is how long after a change of homes an opening packet is
	// looked for at its earlier homes.
	GuardWindow = 10 * time.Second
	// SearchDeadline ends a search whose last answers are missing.
	SearchDeadline = 3 * time.Second
	// AnnounceTimeout is how long an announcement may stay unacknowledged.
	AnnounceTimeout = 250 * time.Millisecond
	// AnnounceBytesPerSecond bounds what announcements may send.
	AnnounceBytesPerSecond = 2500
	// HintsPerSecond bounds the hints to balancers.
	HintsPerSecond = 10
	// NoticeEvery is how often balancers hear again who is gone.
	NoticeEvery = 10 * time.Second
	// EchoEvery is how often idle balancers are probed.
	EchoEvery = 2 * time.Second

	maxHops        = 8                      // agents that an envelope may pass
	maxTrustedHops = 2                      // agents after which the receiver acts as the home
	maxHistory     = 8                      // earlier rankings that are kept
	maxSearches    = 64                     // searches per shard
	maxWaiting     = 8                      // packets that wait for one search
	maxAskDelay    = 400 * time.Millisecond // between repeats of a search's question
	maxAsked       = 64                     // agents asked in one search
	maxHeard       = 64                     // balancers that are kept
	noticeFan      = 8                      // balancers that hear a change
	refreshFan     = 2                      // balancers that hear again who is gone
	echoFan        = 4                      // idle balancers that are probed
	batchKeys      = 25                     // flows in one announcement
	maxBatches     = 256                    // announcements that wait or are unacknowledged
	maxTries       = 12                     // sends of one announcement
	sweepRecords   = 4096                   // records visited in one tick
	sweepShards    = 16                     // shards visited in one tick
	flowShare      = 0.25                   // weight of flows that are idle against work in progress
	selfSlack      = 0.02                   // how much worse the home itself may score than a peer
	announceBurst  = 2 * AnnounceBytesPerSecond
	recordBytes    = 40 // wire size of a flow in an announcement
	batchBytes     = 80 // wire size of an announcement without flows

	usedWithin   = time.Second      // balancers heard this recently carry answers
	recentWithin = 5 * time.Second  // else these
	heardWithin  = 60 * time.Second // else these
	echoTimeout  = 400 * time.Millisecond
)
