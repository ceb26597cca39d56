package admission

import "time"

// estimate is the smoothed mean and mean deviation of service times.
type estimate struct {
	mean, deviation time.Duration
}

// observe updates the estimate with one service time.
func (e *estimate) observe(d time.Duration) {
	if e.mean == 0 {
		e.mean, e.deviation = d, d/2
		return
	}
	diff := d - e.mean
	e.mean += diff >> meanShift
	e.deviation += (max(diff, -diff) - e.deviation) >> deviationShift
}

// conservative returns a service time that most requests stay below.
func (e *estimate) conservative() time.Duration {
	return e.mean + e.deviation
}
