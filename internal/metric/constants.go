package metric

import "time"

// Bounds and precision of a histogram.
const (
	minDuration        = time.Microsecond
	maxDuration        = time.Hour
	significantFigures = 2
)
