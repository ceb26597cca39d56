package soak

import "time"

// Bounds of the guarantees, from the platform's documentation.
const (
	// settleTime is how long after the last fault a subject still counts as disturbed.
	settleTime = 4 * time.Second
	// applyWithin bounds the time until an acknowledged configuration is in force
	// everywhere.
	applyWithin = 3 * time.Second
	// drainWithin bounds the time until a draining backend server receives no new flow.
	drainWithin = 3 * time.Second
	// regressSlack allows for packets that were in transit when a balancer first
	// placed a flow by a newer configuration.
	regressSlack = 250 * time.Millisecond
	// recoverWithin bounds the time until service is restored after the last fault.
	recoverWithin = 12 * time.Second
	// strayDuration and strayPackets bound the packets of a flow that reach other
	// backend servers while none reaches its holder: the time between the first and
	// the last, and their number. Both must be reached for a violation.
	strayDuration = 2 * time.Second
	strayPackets  = 3
	// rewriteWithin bounds the time until the operator and the backend servers have written
	// again what a store lost that returned from a copy.
	rewriteWithin = 2 * time.Second
	// stopWithin bounds a planned stop.
	stopWithin = 6 * time.Second
)

// Behaviour of callers, routers and backend servers, from the platform's documentation.
const (
	openTimeout    = 1400 * time.Millisecond
	requestTimeout = 2 * time.Second
	// resendAfter is the delay before the first copy of an unanswered packet.
	resendAfter       = 200 * time.Millisecond
	readinessInterval = 500 * time.Millisecond
	readinessTimeout  = 400 * time.Millisecond
	// maxReadinessFailures is the number of consecutive failed readiness checks that
	// takes a balancer out of rotation.
	maxReadinessFailures = 2
	// registrationTimeout is the time after which the store removes the registration
	// of a backend server that sends no heartbeats.
	registrationTimeout = 1500 * time.Millisecond
	// serveAfterDrain is the shortest time that a draining backend server keeps
	// serving after drainWithin.
	serveAfterDrain = time.Second
	// addressReuseDelay is how long an address stays unused between two backend servers.
	addressReuseDelay = 2 * time.Second
)

// Parameters of a run.
const (
	// startTimeout bounds the first start of all processes.
	startTimeout = 20 * time.Second
	// faultInterval is the mean time between the starts of successive faults.
	faultInterval = 700 * time.Millisecond
	// laterInterval is the same for the kinds in laterKinds.
	laterInterval = 1500 * time.Millisecond
	// slowFactor, greyShare and burstFactor are the extent of these faults.
	slowFactor  = 8
	greyShare   = 0.3
	burstFactor = 3
	// foreignPageItems exceeds a page of the store.
	foreignPageItems = 600
	// restoreInterval is the mean time between the store's returns from a copy.
	restoreInterval = 6 * time.Second
	// maxCopyAge is the greatest age of such a copy; maxRestoreOutage is the longest time
	// that the store is away before it returns.
	maxCopyAge       = 5 * time.Second
	maxRestoreOutage = time.Second
	// maxFaultDuration exceeds faultInterval, so that faults overlap.
	maxFaultDuration = 3 * time.Second
	// storeGap is how long no balancer reaches the store in CrowdedAnswer: for so short a time
	// that only those that watch it notice.
	storeGap = 160 * time.Millisecond
	// stormRoutes make a configuration of some 400 kB, of which one comes each
	// stormInterval for stormDuration.
	stormRoutes   = 2500
	stormInterval = 80 * time.Millisecond
	stormDuration = 2 * time.Second
	// answerRepeats is how often a backend server repeats its answer to an opening packet
	// until the caller acknowledges it.
	answerRepeats = 8
	// maxRepeatInterval bounds the time between two repeats, which doubles.
	maxRepeatInterval = 1600 * time.Millisecond
	// longPause is the longest pause between two requests of a flow in LateOpenings.
	longPause = 1200 * time.Millisecond
	// slotsPerBackend, minWork and maxWork give backend servers a capacity of which
	// callers use a fraction: concurrent requests, and the processing time of each.
	slotsPerBackend = 4
	minWork         = 4 * time.Millisecond
	maxWork         = 16 * time.Millisecond
	// serviceCount is the number of services that share the backend servers.
	serviceCount = 3
	// flowsPerCaller is the number of flows that a caller keeps open at a time.
	flowsPerCaller = 4
	// maxRequestsPerFlow is the largest number of requests in a flow.
	maxRequestsPerFlow = 20
	// maxRequestPause is the longest pause between two requests of a flow.
	maxRequestPause = 200 * time.Millisecond
	// linkLossRate is the share of datagrams that a lossy link drops.
	linkLossRate = 0.3
	// maxLinkDelay is the longest delay of a datagram on a slow link.
	maxLinkDelay = 120 * time.Millisecond
)

// Ports, the same on every VM.
const (
	linkPort      = 7120
	callerPort    = 7260
	readinessPort = 8200
	metricsPort   = 9464
	backendPort   = 8080
	outboundPort  = 9000
	storePort     = 2379
)
