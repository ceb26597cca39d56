package flowagent

import "time"

const (
	// DefaultMaxFlows is the default limit on the flows that an agent tracks.
	DefaultMaxFlows = 1 << 14
	// answerTimeout is how long a backend server may take to answer an opening
	// packet; a working one answers within a millisecond.
	answerTimeout = 40 * time.Millisecond
	// unresponsiveThreshold is the number of consecutive unanswered opening packets,
	// with no other packet from the backend server in between, after which it
	// counts as unresponsive.
	unresponsiveThreshold = 2
	// failingThreshold is the number of consecutive requests that the backend server reset,
	// with no answer in between, after which it counts as failing. Single resets occur when
	// a request and the end of its flow cross.
	failingThreshold = 3
	// retryInterval is the interval at which an unresponsive or failing backend server is
	// sent one opening packet, to detect its recovery.
	retryInterval = 250 * time.Millisecond
	// flowLifetime is how long the record of an idle flow is kept. An agent that
	// has run longer has a record of every flow of its backend server.
	flowLifetime = time.Minute
	// closedFlowLifetime is how long the record of a closed flow is kept for late
	// packets.
	closedFlowLifetime = 5 * time.Second
	// unconfirmedLifetime is how long a flow stays unconfirmed; a backend server answers
	// or bounces its packets within a service time.
	unconfirmedLifetime = 3 * time.Second
	// requestTimeout is how long an unanswered request occupies a slot: several
	// times the duration of the longest kind of request, for a slowed backend server.
	requestTimeout = 2 * time.Second
	// maxFirstRequestDelay is how long after the opening packet the first request of a
	// flow may arrive to belong to the attempt that opened it: two retransmissions of a
	// caller. Callers also keep flows open that they have not used yet.
	maxFirstRequestDelay = 600 * time.Millisecond
	// maxStoredPackets limits the packets stored for one waiting request; callers
	// have at most 16 in flight.
	maxStoredPackets = 16
	// reportInterval is the interval of reports to a balancer while the load changes.
	// Messages on answered opening packets carry the load as well.
	reportInterval = 200 * time.Millisecond
	// refreshInterval is the interval of reports while the load does not change.
	refreshInterval = time.Second
	// reportsPerSecond limits the reports to all balancers together. At 64 bytes
	// each they take 4.2 KB/s of the 5 KB/s that a node may use for control traffic.
	reportsPerSecond = 65
	// balancerTimeout is how long reports are sent to a balancer after its last
	// packet.
	balancerTimeout = 5 * time.Second
	// maxBalancers limits the balancers that reports are sent to.
	maxBalancers = 64
	// announceDelay is how long nothing has to arrive from any balancer before the agent
	// announces itself to the seeds. With traffic, packets arrive all the time.
	announceDelay = 300 * time.Millisecond
	// minAnnounceInterval and maxAnnounceInterval bound the interval of announcements,
	// which doubles.
	minAnnounceInterval = 200 * time.Millisecond
	maxAnnounceInterval = 10 * time.Second
	// drainLifetime is how long a balancer's notice holds that the failure domain is drained,
	// unless it is repeated: no balancer may be left that would take it back. Balancers
	// repeat it each second, and all of them may be restarting.
	drainLifetime = time.Minute
	// serviceTimeWeight is the weight of a new sample in the moving average of
	// service times.
	serviceTimeWeight = 0.05
	// serviceTimeLifetime is how long the average service time stays valid without
	// new answers.
	serviceTimeLifetime = 2 * time.Second
)
