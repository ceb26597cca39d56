package balancer

import "time"

const (
	// NoticeLifetime is how long a notice about a backend server counts unless repeated.
	NoticeLifetime = 35 * time.Second
	// GossipBytesPerSecond bounds the notices passed to other balancers.
	GossipBytesPerSecond = 2500

	gossipFanout   = 3   // balancers that hear a new notice
	noticeBytes = 120 // wire size of a notice
	maxStatuses     = 4096
)
