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

// Spread is how evenly the work of one service fell on its backend servers.
type Spread struct {
	Service     currantturn.ServiceName `json:"service"`
	MaxOverMean float64                 `json:"max_over_mean"`
	Variation   float64                 `json:"coefficient_of_variation"`
}

// Report is what a run came to.
type Report struct {
	Deployment    string            `json:"deployment"`
	Seed          uint64            `json:"seed"`
	Seconds       float64           `json:"seconds"`
	Callers       int               `json:"callers"`
	Requests      uint64            `json:"requests"`
	Answered      uint64            `json:"answered"`
	WrongAnswers  uint64            `json:"wrong_answers"`
	NotRun        uint64            `json:"not_run"`
	FalseNotRun   uint64            `json:"false_not_run"`
	Unknown       uint64            `json:"outcome_unknown"`
	PastDeadline  uint64            `json:"past_deadline"`
	Failed        uint64            `json:"failed"`
	RunTwice      uint64            `json:"run_twice"`
	BrokenFlows   uint64            `json:"broken_flows"`
	StalledWatch  uint64            `json:"stalled_watches"`
	LateWork      int64             `json:"work_after_drain_bound"`
	CutAtStop     bool              `json:"cut_at_stop"`
	P50Millis     float64           `json:"p50_ms"`
	P99Millis     float64           `json:"p99_ms"`
	InForceMillis float64           `json:"in_force_max_ms"`
	Reads         int               `json:"platform_reads"`
	Violations    map[string]int    `json:"violated_invariants"`
	Spreads       []Spread          `json:"spreads"`
	FirstSeen     map[string]string `json:"first_seen"`
}

// Failures names the invariants that did not hold.
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
	check(r.LateWork > 0, "%d requests ran at a draining backend server after %s", r.LateWork, leavingBound)
	check(r.CutAtStop, "the planned stop did not end within %s", stopGrace)
	check(len(r.Violations) > 0, "invariants violated inside the program: %v", r.Violations)
	return out
}

// Misses names the targets of time that were not met; a busy machine can cause
// them, so that they are no failures.
func (r *Report) Misses() []string {
	var out []string
	if r.InForceMillis > float64(inForceBound.Milliseconds()) {
		out = append(out, fmt.Sprintf("a configuration took %.0f ms to be in force, more than %s", r.InForceMillis, inForceBound))
	}
	return out
}

func (r *run) report(stopErr error) *Report {
	t := r.tally
	t.mu.Lock()
	defer t.mu.Unlock()
	out := &Report{
		Deployment:   r.site.plan.Name,
		Seed:         r.opts.Seed,
		Seconds:      r.opts.Duration.Seconds(),
		Callers:      len(r.callers),
		Requests:     t.requests,
		Answered:     t.answered,
		WrongAnswers: t.wrong,
		NotRun:       t.notRun,
		Unknown:      t.unknown,
		PastDeadline: t.late,
		Failed:       t.failed,
		BrokenFlows:  t.broken,
		StalledWatch: t.stalled,
		LateWork:     r.lateWork.Load(),
		CutAtStop:    stopErr != nil,
		P50Millis:    millis(t.latency.ValueAtQuantile(50)),
		P99Millis:    millis(t.latency.ValueAtQuantile(99)),
		FirstSeen:    t.firstSeen,
		Violations:   r.site.violations(),
	}
	out.RunTwice, out.FalseNotRun = r.countRuns()
	out.InForceMillis = millis(r.site.platform.slowest().Microseconds())
	out.Reads = r.site.platform.service.Counts().Total()
	out.Spreads = r.spreads()
	return out
}

func millis(microseconds int64) float64 {
	return float64(microseconds) / 1000
}

// countRuns compares what ran with what callers were told.
func (r *run) countRuns() (twice, falseNotRun uint64) {
	runs := make(map[string]int)
	for _, h := range r.site.hosts {
		for id, n := range h.backend.Runs() {
			runs[id] += n
		}
	}
	for id, n := range runs {
		if n > 1 {
			twice++
		}
		if r.tally.refused[id] {
			falseNotRun++
		}
	}
	return twice, falseNotRun
}

// spreads measures work over slots, leaving out the drained backend server.
func (r *run) spreads() []Spread {
	byService := make(map[currantturn.ServiceName][]float64)
	for _, h := range r.site.hosts {
		if h == r.drained() {
			continue
		}
		byService[h.service] = append(byService[h.service], float64(h.backend.Served())/float64(h.slots))
	}
	out := make([]Spread, 0, len(byService))
	for name, work := range byService {
		out = append(out, spreadOf(name, work))
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Service < out[j].Service })
	return out
}

func spreadOf(name currantturn.ServiceName, work []float64) Spread {
	var sum, most float64
	for _, w := range work {
		sum += w
		most = max(most, w)
	}
	mean := sum / float64(len(work))
	if mean == 0 {
		return Spread{Service: name}
	}
	var squares float64
	for _, w := range work {
		squares += (w - mean) * (w - mean)
	}
	deviation := math.Sqrt(squares / float64(len(work)))
	return Spread{Service: name, MaxOverMean: most / mean, Variation: deviation / mean}
}

// WriteJSON prints the report for programs.
func (r *Report) WriteJSON(w io.Writer) error {
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	return e.Encode(r)
}

// WriteText prints the report for people.
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
	row("outcome unknown", "%d", r.Unknown)
	row("past deadline", "%d", r.PastDeadline)
	row("failed otherwise", "%d", r.Failed)
	row("run twice", "%d", r.RunTwice)
	row("broken flows", "%d", r.BrokenFlows)
	row("stalled watches", "%d", r.StalledWatch)
	row("work after drain bound", "%d", r.LateWork)
	row("p50 / p99", "%.1f ms / %.1f ms", r.P50Millis, r.P99Millis)
	row("time to in force (max)", "%.0f ms", r.InForceMillis)
	row("platform reads", "%d", r.Reads)
	for _, s := range r.Spreads {
		row("imbalance of "+string(s.Service), "%.2f max over mean, %.2f variation", s.MaxOverMean, s.Variation)
	}
	for _, kind := range sortedKeys(r.FirstSeen) {
		row("first "+kind, "%s", r.FirstSeen[kind])
	}
	for _, m := range r.Misses() {
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
