package balancer

import "time"

const (
	// GoneFor is how long a notice about a backend server counts unless repeated.
	GoneFor = 35 * time.Second
	// GossipBytesPerSecond bounds the notices passed to other balancers.
	GossipBytesPerSecond = 2500

	gossipFan   = 3   // balancers that hear a new notice
	noticeBytes = 120 // wire size of a notice
	maxGone     = 4096
)
