package placement

const (
	// flowShare is the weight of an open flow against a request in progress:
	// callers of long flows ask about once a second for some tens of milliseconds.
	flowShare = 0.03
	// warmUpSlowness is how much slower a backend server counts after its start.
	warmUpSlowness = 2
	// maxSlowness bounds what a measured service time may add.
	maxSlowness = 10
	// slowFrom is how many times longer than usual answers take of a backend
	// server that counts as slow in the log: it gets half of the work or less.
	slowFrom = 2
	// slowUntil is below which it no longer does, so that the log does not flap.
	slowUntil = 1.5
	// remoteCost is the price of another failure domain, a few milliseconds of
	// an answer.
	remoteCost = 0.02
	// avoidCost ranks a backend server that does not answer after all others.
	avoidCost = 1e6
	// noise spreads equal choices.
	noise = 0.05
	// maxMedian bounds the service times that are compared.
	maxMedian = 64
)
