package statesync

import "time"

const (
	// watcherCount is how many balancers watch the store at a time; the second one
	// covers the loss of the first.
	watcherCount = 2
	// heartbeatInterval is the period of the heartbeats between balancers.
	heartbeatInterval = 300 * time.Millisecond
	// peerTimeout is how long a balancer counts as alive after its last heartbeat:
	// five periods.
	peerTimeout = 1500 * time.Millisecond
	// peerRetention is how long a balancer that sends nothing still gets
	// heartbeats; seeds get them always.
	peerRetention = time.Minute
	// minBackoff and maxBackoff bound the pause after a failed read, before jitter;
	// maxFirstBackoff replaces maxBackoff in the first firstFailures failures of watchers
	// without a usable state, which take about a second.
	minBackoff      = 100 * time.Millisecond
	maxBackoff      = 800 * time.Millisecond
	maxFirstBackoff = 200 * time.Millisecond
	firstFailures   = 6
	// resumeWait is the longest duration of the first watch after a failure or a pause,
	// which confirms the state at once.
	resumeWait = time.Millisecond
	// minRecordGain is how much further back a peer's record of removals has to reach
	// to be pulled.
	minRecordGain = time.Second
	// delegateSpeedup is how many times faster a balancer's link has to be for others to
	// leave searches to it; the packets pass both links.
	delegateSpeedup = 4
	// announceLifetime is how long an announcement is kept: longer than the longest
	// interval of announcements.
	announceLifetime = 15 * time.Second
	// maxAnnounced limits the announced agents; a deployment has some thousand.
	maxAnnounced = 1 << 14
	// maxNameBytes limits the names in an announcement; longer ones are not configured.
	maxNameBytes = 63
	// lapseGrace is how long after an outage of the store a registration may be
	// missing although its backend server runs: about two seconds according to the
	// platform.
	lapseGrace = 2500 * time.Millisecond
	// hiddenGrace is how long a backend server that is not known here may be hidden by
	// something else under its ID: longer than it takes until it writes again.
	hiddenGrace = 2500 * time.Millisecond
	// maxClockError is by how much a backend server's clock may be ahead.
	maxClockError = time.Hour
	// verifyDelay is how long after the store's return from a copy everything is read once
	// more and taken as it is: copied registrations that nobody renews have lapsed by then.
	// verifyJitter spreads the reads of all balancers.
	verifyDelay  = time.Minute
	verifyJitter = 5 * time.Second
	// firstPeerTimeout is how long after its start a balancer waits for a peer's state before
	// it places new flows by what it has read from a store that numbers its eras: an interval
	// of heartbeats, and the time to pull.
	firstPeerTimeout = heartbeatInterval + 100*time.Millisecond
	// heartbeatFanout bounds the receivers of a periodic heartbeat.
	heartbeatFanout = 8
	// changeFanout bounds the receivers of the heartbeat that is sent at once after
	// a change; other balancers get the change from the receivers.
	changeFanout = 32
	// maxHeartbeatChanges bounds the registrations and orders in one heartbeat, which has
	// to fit into a datagram.
	maxHeartbeatChanges = 4
	// maxChangeBytes is the size of a change, with the frame of a heartbeat, that fits beside
	// the largest values of everything else.
	maxChangeBytes = 640
	// maxHeartbeatPeers bounds the addresses of other balancers in one heartbeat.
	maxHeartbeatPeers = 14
	// minCheckSpread is the least time over which the complete reads after a difference of
	// states are spread, and checkInterval the least time between two of them.
	minCheckSpread = time.Second
	checkInterval  = 10 * time.Second
	// checkRate is how many calls a second these reads of all balancers make at most, at
	// pageItems registrations a call.
	checkRate = 1000
	pageItems = 500
	// maxPeers bounds the stored balancers: from this number on, none are added from
	// the addresses in heartbeats.
	maxPeers = 1024
)
