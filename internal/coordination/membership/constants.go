package membership

import "time"

const (
	// ProbeEvery is the period between two probes, each of the next peer.
	ProbeEvery = 125 * time.Millisecond
	// ChannelTimeout is how long a probe may stay unanswered before the channel
	// gets a fresh socket and other agents probe the peer too.
	ChannelTimeout = 200 * time.Millisecond
	// SuspectAfter is how long probes may stay unanswered before suspicion.
	SuspectAfter = 500 * time.Millisecond
	// DeadAfter is how long a suspicion may stand unrefuted.
	DeadAfter = 1500 * time.Millisecond
	// DeadGrace is how long packets still go to a member that was declared dead,
	// because it may only be paused.
	DeadGrace = 3 * time.Second
	// HealTime is how long after a partition its members are found again.
	HealTime = 10 * time.Second
	// PauseGap is the time between two ticks that counts as a pause.
	PauseGap = 500 * time.Millisecond
	// StaleFor is how long knowledge counts as stale after a pause or a start.
	StaleFor = 2 * time.Second
	// RampTime is how long a started backend server takes to reach its share.
	RampTime = 30 * time.Second

	partedShare     = 4  // a partition is likely when more than 1/partedShare are dead
	indirectProbes  = 3  // peers asked to probe a silent one
	maxUpdates      = 3  // updates in one message
	maxQueued       = 64 // updates that wait for messages
	maxProbes       = 32 // unanswered probes
	maxRelays       = 64 // probes on behalf of others
	updateRepeat    = 3  // times log2 of the members is how often an update is sent
	incarnationBits = 10 // low bits that count refutations since the start
	minimumRamp     = 0.1
	// farewellFan bounds the members that a stopping process tells.
	farewellFan = 32
)
