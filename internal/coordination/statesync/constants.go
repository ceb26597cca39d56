package statesync

import "time"

const (
	// watchers is how many balancers watch the store at a time; the second one
	// bridges the loss of the first.
	watchers = 2
	// heartbeatEvery is how often balancers tell each other what they know.
	heartbeatEvery = 300 * time.Millisecond
	// peerTimeout is how long a silent balancer counts as alive: five heartbeats.
	peerTimeout = 1500 * time.Millisecond
	// forgetPeer is after how much silence a balancer is not told any more.
	forgetPeer = time.Minute
	// retryFirst and retryMost bound the pause after a failed read.
	retryFirst = 100 * time.Millisecond
	retryMost  = 800 * time.Millisecond
	// lapseGrace is how long after the store's return a registration may be
	// missing: the platform says about two seconds.
	lapseGrace = 2500 * time.Millisecond
	// heartbeatFan bounds the balancers that one heartbeat goes to.
	heartbeatFan = 8
	// changeFan bounds those that hear of a change at once; the others hear of it
	// from them.
	changeFan = 32
	// maxChanged bounds the registrations in one heartbeat, which has to fit into a
	// datagram.
	maxChanged = 4
	// peersTold bounds the addresses in one heartbeat.
	peersTold = 16
	// maxPeers bounds the balancers that are known.
	maxPeers = 1024
)
