package process

import "time"

const (
	// maxKeyFileBytes is the size limit of a key file.
	maxKeyFileBytes = 64 << 10
	// adminShutdownTimeout is how long the administration API may take to complete
	// responses in progress.
	adminShutdownTimeout = time.Second
	// drainTime is how long a stopping balancer continues to route packets that the
	// fabric still sends to it.
	drainTime = 2 * time.Second
	// routerRemovalDelay is how long a stopping balancer of opaque flows continues to
	// run: the routers probe readiness twice a second and remove a balancer from
	// rotation after two failures.
	routerRemovalDelay = 2500 * time.Millisecond
	// memoryLimit is the soft memory limit of a process of opaque flows, in bytes:
	// three quarters of the 64 MB that a node may use. Near the limit, the process
	// collects garbage more often.
	memoryLimit = 48 << 20
	// settingsPollInterval is how often an agent checks its settings file, which may
	// change without a signal.
	settingsPollInterval = 500 * time.Millisecond
	// readHeaderTimeout limits reading the header of an HTTP request for readiness,
	// state or metrics.
	readHeaderTimeout = time.Second
)
