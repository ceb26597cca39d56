package placement

const (
	// openFlowWeight is the weight of an open flow relative to a request in progress:
	// callers of long flows send about one request per second, which takes some
	// tens of milliseconds.
	openFlowWeight = 0.03
	// warmUpSlowness is the slowness assumed of a recently started backend server.
	warmUpSlowness = 2
	// minColdShare is the least share of the usual work that a cold backend server is
	// expected to do, so that it is still chosen when the others are full.
	minColdShare = 0.01
	// maxSlowness limits the effect of a measured service time on the cost.
	maxSlowness = 10
	// minSlowness limits how much more work a fast backend server gets. One that fails
	// requests at once looks fast.
	minSlowness = 0.4
	// fasterThreshold is the slowness below which a backend server counts as faster than
	// usual. Times of alike backend servers differ by chance.
	fasterThreshold = 0.85
	// suspectShare is the share of answers that came far too early, above that of the other
	// backend servers, from which one is suspected to fail requests.
	suspectShare = 0.2
	// failingSlowness is the slowness below which a backend server is suspected to fail
	// most requests.
	failingSlowness = 0.25
	// suspectSlowness is the slowness assumed of such a backend server. It still gets a
	// few flows, and more when the others are full, so that its recovery shows.
	suspectSlowness = 4
	// slowThreshold is the slowness from which a backend server is logged as slow: it
	// receives at most half of the usual work.
	slowThreshold = 2
	// slowRecoveryThreshold is the slowness below which it is no longer logged as
	// slow. The gap to slowThreshold keeps the logged state from flapping.
	slowRecoveryThreshold = 1.5
	// remoteCost is the added cost of a backend server in another failure domain,
	// equivalent to a few milliseconds of service time.
	remoteCost = 0.02
	// overloadShare is the share of the objective above which the expected time to an
	// answer counts as overload; the rest is for work that is not reported yet.
	overloadShare = 0.5
	// avoidCost ranks a backend server that does not answer below all others.
	avoidCost = 1e6
	// costVariation is the relative random variation of costs, which spreads flows
	// over candidates of about equal cost.
	costVariation = 0.05
	// maxMedianSamples limits the service times that the median is taken of.
	maxMedianSamples = 64
)
