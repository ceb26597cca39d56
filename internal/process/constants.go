package process

import "time"

const (
	// maxKeyFileBytes bounds the files of keys.
	maxKeyFileBytes = 64 << 10
	// adminShutdownTimeout is how long the administration API may end its answers.
	adminShutdownTimeout = time.Second
	// drainTime is how long a stopping balancer goes on with packets that
	// the fabric still sends to it.
	drainTime = 2 * time.Second
	// routerRemovalDelay is how long a stopping balancer of opaque flows goes on: the
	// routers ask twice a second and take it out after two misses.
	routerRemovalDelay = 2500 * time.Millisecond
	// memoryLimit is what a process of opaque flows keeps to by collecting garbage
	// earlier: three quarters of the 64 MB that a node may use.
	memoryLimit = 48 << 20
	// settingsPollInterval is how often an agent looks for changed settings, which may
	// come without a signal.
	settingsPollInterval = 500 * time.Millisecond
	// readHeaderTimeout bounds the header of a request for readiness or state.
	readHeaderTimeout = time.Second
)
