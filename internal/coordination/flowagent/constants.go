package flowagent

import "time"

const (
	// DefaultFlows bounds the flows that an agent knows.
	DefaultFlows = 1 << 14
	// answerTimeout is how long a backend server may take to answer an opening
	// packet; it answers within a millisecond while it works.
	answerTimeout = 40 * time.Millisecond
	// silentAfter is how many unanswered opening packets in a row, with no other
	// packet between, make a backend server count as silent.
	silentAfter = 2
	// retrySilent is how often one opening packet tries a silent backend server.
	retrySilent = 250 * time.Millisecond
	// flowLifetime is how long a silent flow is known, and after what uptime an
	// agent knows every flow of its backend server.
	flowLifetime = time.Minute
	// startGap is how much earlier than the agent a backend server may start on the
	// same VM, when both start with it: less than a killed agent takes to be back.
	startGap = time.Second
	// closedFor is how long a closed flow is known for late packets.
	closedFor = 5 * time.Second
	// requestTimeout is how long a request without an answer takes a slot: the
	// longest work of any kind, several times slowed.
	requestTimeout = 2 * time.Second
	// maxHeldPackets bounds the packets of one waiting request; callers have at
	// most 16 in flight.
	maxHeldPackets = 16
	// reportEvery is how often balancers hear a changed load; answers to opening
	// packets tell it as well.
	reportEvery = 200 * time.Millisecond
	// refreshEvery is how often they hear an unchanged one.
	refreshEvery = time.Second
	// reportsPerSecond bounds the reports to all balancers together: 54 bytes each,
	// 4 KB/s of the 5 KB/s that a node may spend on control.
	reportsPerSecond = 75
	// heardWithin is how long a balancer gets reports after its last packet.
	heardWithin = 5 * time.Second
	// maxBalancers bounds the balancers that get reports.
	maxBalancers = 64
	// serviceWeight is the weight of one answer in the mean of recent ones.
	serviceWeight = 0.05
	// serviceFor is how long a mean without new answers counts.
	serviceFor = 2 * time.Second
)
