package placement

import "time"

// expectedTime returns the expected time to the answer of one more request; zero if the
// service time is unknown. Requests beyond the slots wait for their turn.
func (c *Candidate) expectedTime() time.Duration {
	slots := max(c.Slots, 1)
	waiting := max(c.Running+c.Sent+1-slots, 0)
	return c.ServiceTime + c.ServiceTime*time.Duration(waiting)/time.Duration(slots)
}

// Overloaded reports whether one more request is expected to take more than
// overloadShare of the objective because of the requests before it, and not because the
// service itself takes so long.
func (c *Candidate) Overloaded(objective time.Duration) bool {
	limit := time.Duration(overloadShare * float64(objective))
	return objective > 0 && c.ServiceTime <= limit && c.expectedTime() > limit
}

// Relieves reports whether the candidate has a free slot and is expected to answer
// one more request within the objective.
func (c *Candidate) Relieves(objective time.Duration) bool {
	return !c.Avoid && c.Running+c.Sent < c.Slots && c.expectedTime() <= objective
}
