package soak

import (
	"context"
	"math/rand/v2"
	"os/exec"
	"slices"
	"time"

	"github.com/currantturn/currantturn/internal/pause"
	"github.com/rotisserie/eris"
)

// versionTimeout bounds how long a program takes to print its version.
const versionTimeout = 5 * time.Second

// replacement starts a process anew from the earlier or the present build.
type replacement struct {
	at      time.Duration // from the start of traffic
	process int           // balancers come first
	earlier bool
}

// upgradeOrder is the order in which the roles are replaced.
type upgradeOrder string

const (
	balancersFirst upgradeOrder = "balancers_first"
	agentsFirst    upgradeOrder = "agents_first"
	anyOrder       upgradeOrder = "any_order"
)

var upgradeOrders = []upgradeOrder{balancersFirst, agentsFirst, anyOrder}

// scheduleUpgrade returns the replacements of a seed, after which each process runs the
// present build. For every second seed, half of them are first replaced and taken back.
func scheduleUpgrade(seed uint64, within time.Duration, balancers, agents int) (all []replacement) {
	order := rand.New(rand.NewPCG(seed, 20)).Perm(balancers + agents)
	isAgent := func(p int) int { return min(p/balancers, 1) }
	switch upgradeOrders[seed/2%uint64(len(upgradeOrders))] {
	case balancersFirst:
		slices.SortStableFunc(order, func(a, b int) int { return isAgent(a) - isAgent(b) })
	case agentsFirst:
		slices.SortStableFunc(order, func(a, b int) int { return isAgent(b) - isAgent(a) })
	}
	replace := func(processes []int, earlier bool) {
		for _, p := range processes {
			all = append(all, replacement{process: p, earlier: earlier})
		}
	}
	if seed%2 == 1 {
		replace(order[:len(order)/2], false)
		replace(order[:len(order)/2], true)
	}
	replace(order, false)
	for i := range all {
		all[i].at = within * time.Duration(i+1) / time.Duration(len(all)+1)
	}
	return all
}

// upgrade replaces the processes, which begin as the earlier build, one by one.
func (r *run) upgrade(ctx context.Context, start time.Time) {
	processes, subjects := r.processes(), r.allSubjects()
	for _, step := range scheduleUpgrade(r.opts.Seed, r.opts.Duration, len(r.balancers), len(r.agents)) {
		pause.For(ctx, time.Until(start.Add(step.at)))
		if ctx.Err() != nil {
			return
		}
		p, binary := processes[step.process], r.opts.Binary
		if step.earlier {
			binary = r.opts.Previous
		}
		p.setBinary(binary)
		if err := r.stopAndRestart(p, subjects[step.process]); err != nil {
			r.checker.report(time.Now(), "soak", "replace %s: %v", p.name, err)
		}
	}
	r.checker.recordUpgraded(time.Now())
}

// checkProgram runs a program to see that it starts.
func checkProgram(path string) error {
	ctx, cancel := context.WithTimeout(context.Background(), versionTimeout)
	defer cancel()
	if out, err := exec.CommandContext(ctx, path, "version").CombinedOutput(); err != nil {
		return eris.Wrapf(ErrOptions, "%s does not start: %v %s", path, err, out)
	}
	return nil
}
