package balancer

import "time"

const (
	// NoticeLifetime is how long a notice about a backend server is valid unless
	// it is repeated.
	NoticeLifetime = 35 * time.Second
	// GossipBytesPerSecond limits the bandwidth of notices forwarded to other
	// balancers.
	GossipBytesPerSecond = 2500

	gossipFanout = 3    // balancers to which a new notice is forwarded
	noticeBytes  = 120  // wire size of a notice
	maxStatuses  = 4096 // backend servers with a stored notice
)
