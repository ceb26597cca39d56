package claim_test

import (
	"github.com/anishathalye/porcupine"
	"github.com/currantturn/currantturn/internal/coordination/claim"
)

// operation is what the sequential model sees of a key.
type operation struct {
	run     bool
	outcome claim.State
}

// model is the sequential one: a key runs at most once, and not run means
// never before or after.
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

// violations counts what the callers must never see.
type violations struct {
	Twice, Illegal, Foreign, Late int
	Broken                        bool
}

func (c *cluster) violations() violations {
	v := violations{Foreign: c.foreign, Late: c.late, Broken: c.broken}
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
