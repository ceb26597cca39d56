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
)
