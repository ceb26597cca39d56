package claim_test

import (
	"github.com/anishathalye/porcupine"
	"github.com/currantturn/currantturn/internal/coordination/claim"
)

// operation is an event of a key's history: a run, or an outcome that a caller
// received.
type operation struct {
	run     bool
	outcome claim.State
}

// model is the sequential specification: a key runs at most once, never before
// or after a NotRun outcome, and an answer requires a run.
var model = porcupine.Model{
	Init: func() any { return "fresh" },
	Step: func(state, input, _ any) (bool, any) {
		o := input.(operation)
		switch {
		case o.run:
			return state == "fresh", "ran"
		case o.outcome == claim.NotRun:
			return state != "ran", "closed"
		case o.outcome == claim.Answered:
			return state == "ran", state
		}
		return true, state
	},
}

// violations counts the broken rules of one simulation: keys that ran twice, key
// histories that the model rejects, answers of another key and runs past their
// deadline. Broken is set if a module reported a violated invariant.
type violations struct {
	Twice, Illegal, Foreign, Late int
	Broken                        bool
}

func (c *cluster) violations() violations {
	v := violations{Foreign: c.foreignAnswers, Late: c.lateRuns, Broken: c.invariantViolated}
	for i, h := range c.history {
		if c.runs[i] > 1 {
			v.Twice++
		}
		if !porcupine.CheckOperations(model, h) {
			v.Illegal++
		}
	}
	return v
}
