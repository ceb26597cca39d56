package try

import (
	"encoding/json"
	"fmt"
	"io"
	"math"
	"sort"
	"text/tabwriter"
	"time"

	"github.com/currantturn/currantturn"
)

// Spread measures how evenly the requests of one service were distributed over its
// backend servers, relative to their slots.
type Spread struct {
	Service                currantturn.ServiceName `json:"service"`
	MaxOverMean            float64                 `json:"max_over_mean"`
	CoefficientOfVariation float64                 `json:"coefficient_of_variation"`
}

// Report is the result of a run.
type Report struct {
	Deployment          string            `json:"deployment"`
	Seed                uint64            `json:"seed"`
	Seconds             float64           `json:"seconds"`
	Callers             int               `json:"callers"`
	Requests            uint64            `json:"requests"`
	Answered            uint64            `json:"answered"`
	WrongAnswers        uint64            `json:"wrong_answers"`
	NotRun              uint64            `json:"not_run"`
	FalseNotRun         uint64            `json:"false_not_run"` // reported as not run although they had run
	OutcomeUnknown      uint64            `json:"outcome_unknown"`
	PastDeadline        uint64            `json:"past_deadline"`
	Failed              uint64            `json:"failed"`
	RunTwice            uint64            `json:"run_twice"` // requests that ran more than once
	BrokenFlows         uint64            `json:"broken_flows"`
	StalledWatches      uint64            `json:"stalled_watches"`
	WorkAfterDrainBound int64             `json:"work_after_drain_bound"` // requests that the drained backend server served after drainBound
	ShutdownFailed      bool              `json:"cut_at_stop"`
	P50Millis           float64           `json:"p50_ms"`
	P99Millis           float64           `json:"p99_ms"`
	MaxInForceMillis    float64           `json:"in_force_max_ms"`
	PlatformReads       int               `json:"platform_reads"`
	Violations          map[string]int    `json:"violated_invariants"` // reports by processes, by invariant
	Spreads             []Spread          `json:"spreads"`
	FirstFaults         map[string]string `json:"first_seen"` // first description by kind of fault
}

// Failures describes the invariants that were violated.
func (r *Report) Failures() []string {
	var out []string
	check := func(bad bool, format string, args ...any) {
		if bad {
			out = append(out, fmt.Sprintf(format, args...))
		}
	}
	check(r.Answered == 0, "no request was answered")
	check(r.WrongAnswers > 0, "%d wrong answers", r.WrongAnswers)
	check(r.RunTwice > 0, "%d requests ran twice", r.RunTwice)
	check(r.FalseNotRun > 0, "%d requests reported as not run had run", r.FalseNotRun)
	check(r.BrokenFlows > 0, "%d broken flows over planned changes", r.BrokenFlows)
	check(r.WorkAfterDrainBound > 0, "%d requests ran at a draining backend server after %s", r.WorkAfterDrainBound, drainBound)
	check(r.ShutdownFailed, "the planned stop did not end within %s", shutdownTimeout)
	check(len(r.Violations) > 0, "invariants violated inside the program: %v", r.Violations)
	return out
}

// MissedTargets describes the time targets that were not met. They are not failures
// because a busy machine can cause them.
func (r *Report) MissedTargets() []string {
	var out []string
	if r.MaxInForceMillis > float64(inForceTarget.Milliseconds()) {
		out = append(out, fmt.Sprintf("a configuration took %.0f ms to be in force, more than %s", r.MaxInForceMillis, inForceTarget))
	}
	return out
}

// newReport builds the report; shutdownErr is the error of shutDown.
func (r *run) newReport(shutdownErr error) *Report {
	s := r.stats
	s.mu.Lock()
	defer s.mu.Unlock()
	out := &Report{
		Deployment:          r.cluster.plan.Name,
		Seed:                r.opts.Seed,
		Seconds:             r.opts.Duration.Seconds(),
		Callers:             len(r.callers),
		Requests:            s.requests,
		Answered:            s.answered,
		WrongAnswers:        s.wrongAnswers,
		NotRun:              s.notRun,
		OutcomeUnknown:      s.unknown,
		PastDeadline:        s.pastDeadline,
		Failed:              s.failed,
		BrokenFlows:         s.brokenFlows,
		StalledWatches:      s.stalledWatches,
		WorkAfterDrainBound: r.servedAfterDrainBound.Load(),
		ShutdownFailed:      shutdownErr != nil,
		P50Millis:           toMillis(s.latency.ValueAtQuantile(50)),
		P99Millis:           toMillis(s.latency.ValueAtQuantile(99)),
		FirstFaults:         s.firstFaults,
		Violations:          r.cluster.violationCounts(),
	}
	out.RunTwice, out.FalseNotRun = r.countRunFaults()
	out.MaxInForceMillis = toMillis(r.cluster.platform.longestInForceDelay().Microseconds())
	out.PlatformReads = r.cluster.platform.fake.Counts().Total()
	out.Spreads = r.spreads()
	return out
}

func toMillis(microseconds int64) float64 {
	return float64(microseconds) / 1000
}

// countRunFaults compares the backend servers' records with the callers' outcomes. It
// returns how many requests ran more than once, and how many ran although the caller
// received the outcome not_run.
func (r *run) countRunFaults() (runTwice, falseNotRun uint64) {
	runs := make(map[string]int)
	for _, h := range r.cluster.hosts {
		for key, n := range h.backend.Runs() {
			runs[key] += n
		}
	}
	for key, n := range runs {
		if n > 1 {
			runTwice++
		}
		if r.stats.notRunKeys[key] {
			falseNotRun++
		}
	}
	return runTwice, falseNotRun
}

// spreads returns the spread of each service by name. It leaves out the drained
// backend server, which serves less than its share.
func (r *run) spreads() []Spread {
	byService := make(map[currantturn.ServiceName][]float64)
	for _, h := range r.cluster.hosts {
		if h == r.drainedHost() {
			continue
		}
		byService[h.service] = append(byService[h.service], float64(h.backend.Served())/float64(h.slots))
	}
	out := make([]Spread, 0, len(byService))
	for name, servedPerSlot := range byService {
		out = append(out, spreadOf(name, servedPerSlot))
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Service < out[j].Service })
	return out
}

// spreadOf computes a spread from the served requests per slot of each backend server.
func spreadOf(name currantturn.ServiceName, servedPerSlot []float64) Spread {
	var sum, highest float64
	for _, w := range servedPerSlot {
		sum += w
		highest = max(highest, w)
	}
	mean := sum / float64(len(servedPerSlot))
	if mean == 0 {
		return Spread{Service: name}
	}
	var squares float64
	for _, w := range servedPerSlot {
		squares += (w - mean) * (w - mean)
	}
	deviation := math.Sqrt(squares / float64(len(servedPerSlot)))
	return Spread{Service: name, MaxOverMean: highest / mean, CoefficientOfVariation: deviation / mean}
}

// WriteJSON writes the report as JSON.
func (r *Report) WriteJSON(w io.Writer) error {
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	return e.Encode(r)
}

// WriteText writes the report as a table.
func (r *Report) WriteText(w io.Writer) error {
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	row := func(name, format string, args ...any) {
		_, _ = fmt.Fprintf(tw, "%s\t%s\n", name, fmt.Sprintf(format, args...))
	}
	row("deployment", "%s (%d callers, %s, seed %d)", r.Deployment, r.Callers,
		time.Duration(r.Seconds*float64(time.Second)), r.Seed)
	row("requests", "%d", r.Requests)
	row("answered", "%d", r.Answered)
	row("wrong answers", "%d", r.WrongAnswers)
	row("not run", "%d (false: %d)", r.NotRun, r.FalseNotRun)
	row("outcome unknown", "%d", r.OutcomeUnknown)
	row("past deadline", "%d", r.PastDeadline)
	row("failed otherwise", "%d", r.Failed)
	row("run twice", "%d", r.RunTwice)
	row("broken flows", "%d", r.BrokenFlows)
	row("stalled watches", "%d", r.StalledWatches)
	row("work after drain bound", "%d", r.WorkAfterDrainBound)
	row("p50 / p99", "%.1f ms / %.1f ms", r.P50Millis, r.P99Millis)
	row("time to in force (max)", "%.0f ms", r.MaxInForceMillis)
	row("platform reads", "%d", r.PlatformReads)
	for _, s := range r.Spreads {
		row("imbalance of "+string(s.Service), "%.2f max over mean, %.2f variation", s.MaxOverMean, s.CoefficientOfVariation)
	}
	for _, kind := range sortedKeys(r.FirstFaults) {
		row("first "+kind, "%s", r.FirstFaults[kind])
	}
	for _, m := range r.MissedTargets() {
		row("MISSED", "%s", m)
	}
	for _, f := range r.Failures() {
		row("FAILED", "%s", f)
	}
	return tw.Flush()
}

func sortedKeys(m map[string]string) []string {
	out := make([]string, 0, len(m))
	for k := range m {
		out = append(out, k)
	}
	sort.Strings(out)
	return out
}
