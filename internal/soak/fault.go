package soak

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// Kind is the kind of a fault.
type Kind string

// Kinds of faults.
const (
	KillBalancer  Kind = "kill_balancer"  // SIGKILL; restarted after the fault's duration
	KillAgent     Kind = "kill_agent"     // the same for an agent
	KillAll       Kind = "kill_all"       // the same for all processes at once
	StopBalancer  Kind = "stop_balancer"  // SIGTERM; restarted once it has ended
	StopAgent     Kind = "stop_agent"     // the same for an agent
	PauseBalancer Kind = "pause_balancer" // SIGSTOP; SIGCONT after the fault's duration
	PauseAgent    Kind = "pause_agent"    // the same for an agent
	CutLink       Kind = "cut_link"       // drops datagrams between one balancer and one agent, both ways
	CutOneWay     Kind = "cut_one_way"    // drops datagrams from one agent to one balancer
	CutAgent      Kind = "cut_agent"      // cuts an agent off from every balancer
	CutBalancer   Kind = "cut_balancer"   // cuts a balancer off from agents, callers and the store
	LossyLinks    Kind = "lossy_links"    // drops some datagrams of one balancer
	SlowLinks     Kind = "slow_links"     // delays datagrams of one balancer, so that they overtake each other
	StoreMode     Kind = "store_mode"     // a fault of the store towards every balancer, named by the variant
	StoreRefuses  Kind = "store_refuses"  // a fault of the store towards one balancer, named by the variant
	StoreLink     Kind = "store_link"     // a fault of one balancer's connections to the store, named by the variant
	CrashBackend  Kind = "crash_backend"  // a backend server loses its state and restarts
	ReuseBackend  Kind = "reuse_backend"  // a backend server is drained; one of another service takes its address
	Configure     Kind = "configure"      // a new version routes new flows to another service
	RestoreStore  Kind = "restore_store"  // the store returns from a copy as old as the fault's duration
	DrainDomain   Kind = "drain_domain"   // the operator drains the failure domain of an agent
	SlowBackend   Kind = "slow_backend"   // a backend server takes slowFactor times as long
	GreyBackend   Kind = "grey_backend"   // a backend server fails part of its requests, as the variant says
	Burst         Kind = "burst"          // callers open burstFactor times as many flows
	ForeignEntry  Kind = "foreign_entry"  // another writer writes entries, named by the variant
)

// kindWeights are the relative frequencies of the kinds.
var kindWeights = []struct {
	kind   Kind
	weight int
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

// Fault is a scheduled fault.
type Fault struct {
	At, Duration time.Duration // At counts from the start of traffic
	Kind         Kind
	Balancer     int
	Agent        int
	Variant      string // for some kinds, as chosen by chooseVariant
}

// String formats the fault for a schedule.
func (f Fault) String() string {
	return fmt.Sprintf("%6.2f s for %4.2f s: %s balancer=%d agent=%d %s",
		f.At.Seconds(), f.Duration.Seconds(), f.Kind, f.Balancer, f.Agent, f.Variant)
}

// Schedule returns the faults of a seed in order of their start. Faults overlap, and
// At plus Duration does not exceed the given time.
func Schedule(seed uint64, within time.Duration, balancers, agents int) []Fault {
	rng := rand.New(rand.NewPCG(seed, 17))
	total := 0
	for _, w := range kindWeights {
		total += w.weight
	}
	var all []Fault
	for at := time.Duration(rng.Int64N(int64(faultInterval))); at < within; at += time.Duration(rng.Int64N(int64(2 * faultInterval))) {
		f := Fault{At: at, Balancer: rng.IntN(balancers), Agent: rng.IntN(agents)}
		f.Duration = min(100*time.Millisecond+time.Duration(rng.Int64N(int64(maxFaultDuration))), within-at)
		pick := rng.IntN(total)
		for _, w := range kindWeights {
			if pick -= w.weight; pick < 0 {
				f.Kind = w.kind
				break
			}
		}
		f.Variant = chooseVariant(f.Kind, rng)
		all = append(all, f)
	}
	all = append(all, scheduleRestores(seed, within)...)
	all = append(all, scheduleLater(seed, within, agents)...)
	slices.SortStableFunc(all, func(a, b Fault) int { return cmp.Compare(a.At, b.At) })
	return all
}

// scheduleRestores returns the returns of the store from a copy, one after the other. They
// have random numbers of their own, so that the other faults of a seed stay as they were
// before this kind was added.
func scheduleRestores(seed uint64, within time.Duration) (all []Fault) {
	rng := rand.New(rand.NewPCG(seed, 18))
	for at := time.Duration(0); ; {
		at += time.Duration(rng.Int64N(int64(2 * restoreInterval)))
		age := 200*time.Millisecond + time.Duration(rng.Int64N(int64(maxCopyAge)))
		if at+age > within {
			return all
		}
		all = append(all, Fault{At: at, Duration: age, Kind: RestoreStore})
		at += age + maxRestoreOutage + rewriteWithin
	}
}

// laterKinds are the kinds that scheduleLater chooses among.
var laterKinds = []Kind{DrainDomain, SlowBackend, GreyBackend, Burst, ForeignEntry}

// scheduleLater returns the faults of laterKinds, which have random numbers of their own for
// the same reason. A failure domain is drained for long enough to check the bound.
func scheduleLater(seed uint64, within time.Duration, agents int) (all []Fault) {
	rng := rand.New(rand.NewPCG(seed, 19))
	for at := time.Duration(0); ; {
		at += time.Duration(rng.Int64N(int64(2 * laterInterval)))
		if at >= within {
			return all
		}
		f := Fault{At: at, Agent: rng.IntN(agents), Kind: laterKinds[rng.IntN(len(laterKinds))]}
		f.Duration = min(100*time.Millisecond+time.Duration(rng.Int64N(int64(maxFaultDuration))), within-at)
		if f.Kind == DrainDomain {
			f.Duration = min(f.Duration+drainWithin, within-at)
		}
		f.Variant = chooseVariant(f.Kind, rng)
		all = append(all, f)
	}
}

// chooseVariant returns the empty string for kinds without variants.
func chooseVariant(k Kind, rng *rand.Rand) string {
	pick := func(all ...string) string { return all[rng.IntN(len(all))] }
	switch k {
	case StoreMode, StoreRefuses:
		return pick("down", "busy", "silent", "slow", "half", "garbage", "forgetful")
	case StoreLink:
		return pick(string(resetConnections), string(silenceBoth), string(silenceAnswers), string(delayAnswers))
	case CrashBackend:
		return pick("same_id", "new_id")
	case GreyBackend:
		return pick(greyHang, greyReset)
	case ForeignEntry:
		return pick(foreignBytes, foreignPage, foreignService, foreignOver)
	}
	return ""
}
