package soak

// Regression is a seed that failed once, and the cause of its failure.
type Regression struct {
	Seed  uint64
	Cause string
}

// Regressions are the seeds that soak --regressions runs again.
var Regressions = []Regression{
	{Seed: 1, Cause: "the checker discarded the record of a flow that its caller had closed; a paused agent delivered the flow's opening packet late"},
	{Seed: 13, Cause: "the checker took a flow to a service that older versions also route to as proof that the newest version was applied"},
	{Seed: 2007, Cause: "a second SIGTERM ends a process at once with exit code 3, as documented; the checker reported that as a failed stop"},
	{Seed: 2024, Cause: "same cause as seed 2007"},
	{Seed: 2038, Cause: "same cause as seed 2007"},
	{Seed: 3049, Cause: "on a busy machine, the only backend server of a service took over 70 ms to answer an opening packet, and the balancer refused the flow"},
	{Seed: 7015, Cause: "the store returned from a copy with an order to drain a failure domain that the operator had taken back, and the operator did not take it back again"},
}
