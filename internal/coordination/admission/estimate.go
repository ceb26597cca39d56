package admission

import "time"

// estimate is the smoothed mean and deviation of service times.
type estimate struct {
	mean, deviation time.Duration
}

func (e *estimate) observe(d time.Duration) {
	if e.mean == 0 {
		e.mean, e.deviation = d, d/2
		return
	}
	miss := d - e.mean
	e.mean += miss >> gainShift
	e.deviation += (max(miss, -miss) - e.deviation) >> varianceShift
}

// likely is a service time that most requests stay below.
func (e *estimate) likely() time.Duration {
	return e.mean + e.deviation
}
