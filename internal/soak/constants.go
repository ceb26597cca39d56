package soak

import "time"

// Bounds of the promises, as the platform's pages state them.
const (
	// settle is how long after a disturbance a machine counts as calm again.
	settle = 4 * time.Second
	// applyWithin is the bound of a configuration to be in force everywhere.
	applyWithin = 3 * time.Second
	// drainWithin is the bound after which a leaving backend server gets no new flow.
	drainWithin = 3 * time.Second
	// regressSlack is for packets that were under way when a machine showed a
	// newer configuration.
	regressSlack = 250 * time.Millisecond
	// recoverWithin is the bound for service to be back after the last fault.
	recoverWithin = 12 * time.Second
	// strayFor and strayPackets bound what other backend servers may get of a flow
	// while its own gets nothing: packets, and the time between first and last.
	strayFor     = 2 * time.Second
	strayPackets = 3
	// stopWithin is how long a planned stop may take.
	stopWithin = 6 * time.Second
)

// How callers behave, by the platform's pages.
const (
	openTimeout    = 1400 * time.Millisecond
	requestTimeout = 2 * time.Second
	resendAfter    = 200 * time.Millisecond
	readinessEvery = 500 * time.Millisecond
	readinessLimit = 400 * time.Millisecond
	readinessMiss  = 2
	// heartbeatsMissed is when the store drops the registration of a dead backend server.
	heartbeatsMissed = 1500 * time.Millisecond
	// leavesAfter is how much longer a leaving backend server serves at least.
	leavesAfter = time.Second
	// addressReuse is how long an address stays unused between two backend servers.
	addressReuse = 2 * time.Second
)

// Shape of a run.
const (
	// startWithin bounds the first start of all processes.
	startWithin = 20 * time.Second
	// faultEvery is the mean pause between two faults of a series.
	faultEvery = 700 * time.Millisecond
	// longestFault bounds a fault; several overlap.
	longestFault = 3 * time.Second
	// slots of a backend server, and the least and most work of a request: callers
	// use a fraction of what they allow.
	slots     = 4
	workLeast = 4 * time.Millisecond
	workMost  = 16 * time.Millisecond
	// services that share the backend servers.
	services = 3
	// flowsPerCaller is how many flows a caller keeps at a time.
	flowsPerCaller = 4
	// longFlow is the most requests of a flow.
	longFlow = 20
	// pauseMost is the longest pause between two requests of a flow.
	pauseMost = 200 * time.Millisecond
	// linkLoss is the share of datagrams that a lossy link drops.
	linkLoss = 0.3
	// linkDelay is the longest delay of a slow link.
	linkDelay = 120 * time.Millisecond
)

// Ports, alike on every VM.
const (
	linkPort      = 7120
	callerPort    = 7260
	readinessPort = 8200
	metricsPort   = 9464
	backendPort   = 8080
	outboundPort  = 9000
	storePort     = 2379
)
