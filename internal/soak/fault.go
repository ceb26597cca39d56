package soak

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// Kind is what a fault does.
type Kind string

// Kinds of faults.
const (
	KillBalancer  Kind = "kill_balancer"  // SIGKILL, started again after the fault
	KillAgent     Kind = "kill_agent"     // likewise
	KillAll       Kind = "kill_all"       // every process at once
	StopBalancer  Kind = "stop_balancer"  // SIGTERM, started again once it has ended
	StopAgent     Kind = "stop_agent"     // likewise
	PauseBalancer Kind = "pause_balancer" // SIGSTOP, then SIGCONT
	PauseAgent    Kind = "pause_agent"    // likewise
	CutLink       Kind = "cut_link"       // datagrams of one balancer and one agent, both ways
	CutOneWay     Kind = "cut_one_way"    // the agent's answers to one balancer
	CutAgent      Kind = "cut_agent"      // an agent from every balancer
	CutBalancer   Kind = "cut_balancer"   // a balancer from everything
	LossyLinks    Kind = "lossy_links"    // of one balancer
	SlowLinks     Kind = "slow_links"     // of one balancer; datagrams overtake each other
	StoreMode     Kind = "store_mode"     // the store treats every balancer so
	StoreRefuses  Kind = "store_refuses"  // the store treats one balancer so
	StoreLink     Kind = "store_link"     // a balancer's connections to the store
	CrashBackend  Kind = "crash_backend"  // a backend server loses everything and starts again
	ReuseBackend  Kind = "reuse_backend"  // it is drained; another service's takes its address
	Configure     Kind = "configure"      // a new version leads new flows elsewhere
)

// weights of the kinds in a series.
var weights = []struct {
	kind Kind
	n    int
}{
	{KillBalancer, 3},
	{KillAgent, 3},
	{KillAll, 1},
	{StopBalancer, 2},
	{StopAgent, 2},
	{PauseBalancer, 2},
	{PauseAgent, 2},
	{CutLink, 2},
	{CutOneWay, 2},
	{CutAgent, 1},
	{CutBalancer, 1},
	{LossyLinks, 1},
	{SlowLinks, 1},
	{StoreMode, 2},
	{StoreRefuses, 2},
	{StoreLink, 2},
	{CrashBackend, 2},
	{ReuseBackend, 4},
	{Configure, 4},
}

// Fault is one disturbance of a schedule.
type Fault struct {
	At, For  time.Duration // from the start of traffic
	Kind     Kind
	Balancer int
	Agent    int
	How      string // variant of the kind
}

// String formats the fault for a schedule.
func (f Fault) String() string {
	return fmt.Sprintf("%6.2f s for %4.2f s: %s balancer=%d agent=%d %s",
		f.At.Seconds(), f.For.Seconds(), f.Kind, f.Balancer, f.Agent, f.How)
}

// Schedule returns the faults of a seed: series that overlap, the last of which
// end by the given time.
func Schedule(seed uint64, within time.Duration, balancers, agents int) []Fault {
	rng := rand.New(rand.NewPCG(seed, 17))
	total := 0
	for _, w := range weights {
		total += w.n
	}
	var all []Fault
	for at := time.Duration(rng.Int64N(int64(faultEvery))); at < within; at += time.Duration(rng.Int64N(int64(2 * faultEvery))) {
		f := Fault{At: at, Balancer: rng.IntN(balancers), Agent: rng.IntN(agents)}
		f.For = min(100*time.Millisecond+time.Duration(rng.Int64N(int64(longestFault))), within-at)
		pick := rng.IntN(total)
		for _, w := range weights {
			if pick -= w.n; pick < 0 {
				f.Kind = w.kind
				break
			}
		}
		f.How = variant(f.Kind, rng)
		all = append(all, f)
	}
	slices.SortStableFunc(all, func(a, b Fault) int { return cmp.Compare(a.At, b.At) })
	return all
}

func variant(k Kind, rng *rand.Rand) string {
	pick := func(all ...string) string { return all[rng.IntN(len(all))] }
	switch k {
	case StoreMode, StoreRefuses:
		return pick("down", "busy", "silent", "slow", "half", "garbage", "forgetful")
	case StoreLink:
		return pick(string(resetConnections), string(silenceBoth), string(silenceAnswers), string(delayAnswers))
	case CrashBackend:
		return pick("same_id", "new_id")
	}
	return ""
}
