package soak

// Regression is a seed that failed once, with the cause.
type Regression struct {
	Seed  uint64
	Cause string
}

// Regressions are played again by soak --regressions.
var Regressions = []Regression{
	{Seed: 1, Cause: "the judge forgot a flow that its caller had closed; a paused agent delivered its opening packet late"},
	{Seed: 13, Cause: "the judge took a service that older versions name as well for the proof of the newest version"},
	{Seed: 2007, Cause: "a second SIGTERM ends a process at once and with code 3, as its page says; the judge took that for a failed stop"},
	{Seed: 2024, Cause: "as seed 2007"},
	{Seed: 2038, Cause: "as seed 2007"},
}
