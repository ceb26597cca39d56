package process

import "time"

const (
	// maxKeyFileBytes bounds the files of keys.
	maxKeyFileBytes = 64 << 10
	// adminStopGrace is how long the administration API may end its answers.
	adminStopGrace = time.Second
	// balancerDrain is how long a stopping balancer goes on with packets that
	// the fabric still sends to it.
	balancerDrain = 2 * time.Second
	// rotationDelay is how long a stopping balancer of opaque flows goes on: the
	// routers ask twice a second and take it out after two misses.
	rotationDelay = 2500 * time.Millisecond
	// memoryTarget is what a process of opaque flows keeps to by collecting garbage
	// earlier: three quarters of the 64 MB that a node may use.
	memoryTarget = 48 << 20
	// settingsPoll is how often an agent looks for changed settings, which may
	// come without a signal.
	settingsPoll = 500 * time.Millisecond
	// relayHeaderTimeout bounds the header of a request for readiness or state.
	relayHeaderTimeout = time.Second
)
