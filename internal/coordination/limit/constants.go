package limit

const (
	// DefaultFlowsPerSecond is how many flows one caller may open each second.
	DefaultFlowsPerSecond = 50
	// DefaultFlowBurst is how many flows one caller may open at once.
	DefaultFlowBurst = 200
	// DefaultOpenings is how many opening packets of one caller are taken each
	// second; a flow takes a few, and its record lasts for minutes.
	DefaultOpenings = 200
	// DefaultCallerFlows is how many flows one caller may hold.
	DefaultCallerFlows = 256
	// DefaultCallerRequests is how many requests one caller may have in progress.
	DefaultCallerRequests = 256
	// DefaultHostFlows is how many flows a host holds.
	DefaultHostFlows = 65536
	// MaxIdleCallers bounds the callers that are remembered and hold nothing.
	MaxIdleCallers = 16384
	// callerBits6 is the prefix that an IPv6 caller is taken to own.
	callerBits6 = 64
	shards      = 16
)
