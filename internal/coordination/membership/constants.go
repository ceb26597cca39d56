package membership

import "time"

const (
	// ProbeInterval is the time from one probe to the next, which goes to another peer.
	ProbeInterval = 125 * time.Millisecond
	// ChannelTimeout is how long a probe may stay unanswered before the channel
	// gets a fresh socket and other agents probe the peer too.
	ChannelTimeout = 200 * time.Millisecond
	// SuspectAfter is how long a probe may stay unanswered before the peer is
	// suspected.
	SuspectAfter = 500 * time.Millisecond
	// DeadAfter is how long a suspicion may stay unrefuted before the member is
	// declared dead.
	DeadAfter = 1500 * time.Millisecond
	// DeadGrace is how long packets are still sent to a member that was declared
	// dead, because it may only be paused.
	DeadGrace = 3 * time.Second
	// HealTime is how long after the end of a partition its members may take to
	// find each other again.
	HealTime = 10 * time.Second
	// PauseGap is the time between two ticks from which on it counts as a pause of
	// this process.
	PauseGap = 500 * time.Millisecond
	// StaleFor is how long the members' states count as stale after a pause or a
	// start.
	StaleFor = 2 * time.Second
	// RampTime is how long the capacity of a started backend server takes to reach
	// its full value.
	RampTime = 30 * time.Second

	partitionDivisor    = 4   // a partition is likely when more than 1/partitionDivisor of the members are dead
	indirectProbes      = 3   // random members requested to probe an unresponsive peer
	maxUpdates          = 3   // updates in one message
	maxQueued           = 64  // updates that wait for messages
	maxProbes           = 32  // unanswered probes
	maxRelays           = 64  // unanswered probes on behalf of other agents
	updateTransmissions = 3   // an update is sent this many times log2 of the number of members
	incarnationBits     = 10  // low bits of an incarnation, which count its increments since the start
	minRampShare        = 0.1 // share of the full capacity right after a start
	// stopNoticeFanout bounds the members that a stopping process notifies.
	stopNoticeFanout = 32
)
