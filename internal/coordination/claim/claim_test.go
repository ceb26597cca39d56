package claim_test

import (
	"testing"
	"time"

	"github.com/currantturn/currantturn/internal/coordination/claim"
	"github.com/currantturn/currantturn/internal/suite"
	"pgregory.net/rapid"
)

func TestClaim(t *testing.T) { suite.Run(t, "claim") }

func newClaims(o claim.Options) module { return claim.New(o) }

func drawSchedule(t *rapid.T) schedule {
	s := schedule{
		Seed:    rapid.Uint64().Draw(t, "seed"),
		Loss:    rapid.SampledFrom([]float64{0, 0.05, 0.3}).Draw(t, "loss"),
		Dup:     rapid.SampledFrom([]float64{0, 0.1, 0.5}).Draw(t, "dup"),
		Delay:   time.Duration(rapid.IntRange(2, 400).Draw(t, "delay")) * time.Millisecond,
		Keys:    rapid.IntRange(1, 12).Draw(t, "keys"),
		SmallBy: rapid.SampledFrom([]int{0, 0, 0, 1}).Draw(t, "small"),
	}
	kinds := rapid.SampledFrom([][]string{
		{"pause", "restart", "partition", "configure"},
		{"configure", "configure", "partition"},
	}).Draw(t, "kinds")
	for range rapid.IntRange(0, 8).Draw(t, "faults") {
		s.Faults = append(s.Faults, fault{
			Kind:   rapid.SampledFrom(kinds).Draw(t, "kind"),
			On:     rapid.SampledFrom([]string{"time", "grant", "run"}).Draw(t, "on"),
			At:     time.Duration(rapid.IntRange(0, 30000).Draw(t, "at")) * time.Millisecond,
			For:    time.Duration(rapid.IntRange(1, 12000).Draw(t, "for")) * time.Millisecond,
			Target: rapid.IntRange(0, 31).Draw(t, "target"),
		})
	}
	return s
}

// No random schedule of faults may lead to a violation.
func TestAtMostOnce(t *testing.T) {
	var runs, total int
	outcomes := map[claim.State]int{}
	rapid.Check(t, func(t *rapid.T) {
		s := drawSchedule(t)
		c := newCluster(s, newClaims)
		c.run()
		if v := c.violations(); v != (violations{}) {
			t.Fatalf("violations %+v with schedule %+v", v, s)
		}
		for _, n := range c.runs {
			runs += n
		}
		for o, n := range c.outcomes {
			outcomes[o] += n
			total += n
		}
	})
	t.Logf("%d runs, outcomes %v", runs, outcomes)
	if outcomes[claim.Answered]*3 < total {
		t.Errorf("fewer than a third of the attempts were answered, so the check proves little: %v", outcomes)
	}
}

// The schedules must be hard enough to detect weaker designs: with schedules of
// the same kind, each of these must violate the rules.
func TestWeakerDesignsViolate(t *testing.T) {
	for _, design := range []struct {
		name        string
		make        func(claim.Options) module
		falseNotRun bool // it also reports NotRun for requests that ran
	}{
		{"owner with a plain map", newNaive, true},
		{"claims where the request came in", newLocal, true},
		{"no claims", newNoClaims, false},
	} {
		t.Run(design.name, func(t *testing.T) {
			var total violations
			violating, runs, schedules := 0, 0, 0
			rapid.Check(t, func(t *rapid.T) {
				c := newCluster(drawSchedule(t), design.make)
				c.run()
				v := c.violations()
				total.Twice += v.Twice
				total.Illegal += v.Illegal
				total.Foreign += v.Foreign
				total.Late += v.Late
				schedules++
				if v != (violations{}) {
					violating++
				}
				for _, n := range c.runs {
					runs += n
				}
			})
			t.Logf("%d of %d schedules violated, %d runs: %+v", violating, schedules, runs, total)
			if total.Twice == 0 || total.Late == 0 || design.falseNotRun && total.Illegal <= total.Twice {
				t.Errorf("the schedules do not expose the weaknesses of this design: %+v", total)
			}
		})
	}
}
