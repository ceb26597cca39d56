package steering

import "time"

const (
	// DefaultFlows bounds the flows that a balancer remembers.
	DefaultFlows = 1 << 16
	// acceptTimeout is how long an opening packet may stay unanswered before
	// another backend server gets it: a few round trips between failure domains,
	// well before the caller's own copy.
	acceptTimeout = 70 * time.Millisecond
	// avoidFor is how long a backend server that did not answer is avoided.
	avoidFor = 500 * time.Millisecond
	// maxTries bounds the backend servers that one opening packet is sent to.
	maxTries = 4
	// searchTimeout is after how long a search starts anew: a caller's first two
	// repeats fall within it.
	searchTimeout = time.Second
	// flowLifetime is how long a silent flow is remembered.
	flowLifetime = time.Minute
	// closedFor is how long a closed flow is remembered for late packets.
	closedFor = 3 * time.Second
	// searchAll is up to how many agents a search asks those of every service,
	// since an earlier configuration may have placed the flow at another one.
	searchAll = 64
	// reportTimeout is how long a reported load counts.
	reportTimeout = 3 * time.Second
	// leftTimeout is how long the agent of a backend server that left may take
	// to deny a flow: many round trips, but less than a caller's first two repeats.
	leftTimeout = 150 * time.Millisecond
	// contactTimeout is how long ago any agent may have been heard for the silence
	// of one to mean anything; agents report at least once a second each.
	contactTimeout = 500 * time.Millisecond
	// maxDeferred bounds the searches that wait for a newer published state.
	maxDeferred = 4096
	// maxHeld bounds the packets that wait for the first configuration.
	maxHeld = 512
)
