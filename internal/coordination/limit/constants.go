package limit

const (
	// DefaultFlowsPerSecond is how many flows one caller may open per second.
	DefaultFlowsPerSecond = 50
	// DefaultFlowBurst is how many flows one caller may open in a burst.
	DefaultFlowBurst = 200
	// DefaultOpeningsPerSecond is how many opening packets of one caller are
	// accepted per second. A flow needs a few, and its record is kept for minutes.
	DefaultOpeningsPerSecond = 200
	// DefaultCallerFlows is how many open flows one caller may have.
	DefaultCallerFlows = 256
	// DefaultCallerRequests is how many requests one caller may have in progress.
	DefaultCallerRequests = 256
	// DefaultHostFlows is how many open flows a host accepts.
	DefaultHostFlows = 65536
	// MaxIdleCallers limits the stored callers without flows or requests.
	MaxIdleCallers = 16384
	// ipv6CallerPrefixBits is the length of the IPv6 prefix that counts as one
	// caller.
	ipv6CallerPrefixBits = 64
	// shardCount is the number of separately locked parts of the callers.
	shardCount = 16
)
