package deployment

import "time"

// Ports, the same on all VMs.
const (
	linkPort       = 7720
	callerPort     = 8172
	readinessPort  = 8167
	statePort      = 8166
	outboundPort   = 8173
	backendPort    = 8080
	storePort      = 8169
	balancerMetric = 9464
	agentMetric    = 9465
)

// Third bytes of the addresses of each kind of endpoint, and the address blocks below 127/8,
// which are the second byte.
const (
	storeNet    = 1
	balancerNet = 2
	agentNet    = 3
	callerNet   = 4
	serviceNet  = 9

	firstBlock = 16
	lastBlock  = 230
)

// Figures of the platform's pages.
const (
	// ResendAfter is the first interval after which a missing packet is sent again; it
	// doubles up to maxResendInterval.
	ResendAfter       = 200 * time.Millisecond
	maxResendInterval = 1600 * time.Millisecond
	// maxResends limits how often a host sends a packet again.
	maxResends = 8
	// secondCopy is when the second copy of an opening packet is sent.
	secondCopy = 600 * time.Millisecond
	// openTimeout ends an attempt to open a flow.
	openTimeout = 1400 * time.Millisecond
	// resetWindow is the largest distance of a reset's sequence number from the caller's last
	// acknowledgement.
	resetWindow = 76800
	// heartbeatInterval is the interval at which hosts write their registration. It is
	// removed after three of them without a write.
	heartbeatInterval = 1200 * time.Millisecond
	// storeDelay is the time that the store takes to answer.
	storeDelay = 4 * time.Millisecond
	// historyRetention is how long the store keeps its history.
	historyRetention = 20 * time.Second
	// probeInterval is the interval at which routers probe the readiness of a balancer; after
	// maxMisses it is out of rotation.
	probeInterval = 500 * time.Millisecond
	maxMisses     = 2
	// restartDelay is the short delay after which the platform restarts a process.
	restartDelay = 300 * time.Millisecond
	// gracePeriod is the time between SIGTERM and SIGKILL.
	gracePeriod = 6 * time.Second
	// startTimeout limits the first start of all processes.
	startTimeout = 20 * time.Second
)
