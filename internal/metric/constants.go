package metric

import "time"

// Bounds of a histogram.
const (
	lowest             = time.Microsecond
	highest            = time.Hour
	significantFigures = 2
)
