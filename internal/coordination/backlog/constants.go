package backlog

const (
	// MaxWaiting limits the requests that wait at one agent. At a few dozen
	// milliseconds each, more of them would wait past any deadline.
	MaxWaiting = 1024
	// maxLedger limits the callers whose shares are kept.
	maxLedger = 2 * MaxWaiting
)
