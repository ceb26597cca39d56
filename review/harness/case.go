package harness

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// limit is how long a case may run.
const limit = 115 * time.Second

// Case is the body of a case. It returns how often the rule was broken; without trouble it
// leaves the disruption out.
type Case func(ctx context.Context, trouble bool, record *Record) (broken int, err error)

// Main runs a case, with its disruption or without, for the folder in the first argument and
// exits with its result.
func Main(trouble bool, run Case) {
	os.Exit(runCase(trouble, run))
}

func runCase(trouble bool, run Case) int {
	if len(os.Args) != 2 {
		fmt.Fprintln(os.Stderr, "usage: case FOLDER")
		return exitNotRun
	}
	record, err := NewRecord(filepath.Join(os.Args[1], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer record.Close()
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	record.Printf("case: disruption %t", trouble)
	broken, err := run(ctx, trouble, record)
	switch {
	case err != nil:
		record.Printf("case: could not run: %v", err)
		fmt.Println("could not run:", err)
		return exitNotRun
	case broken > 0:
		record.Printf("case: the rule was broken %d times", broken)
		fmt.Printf("the rule was broken %d times\n", broken)
		return exitBroken
	}
	record.Printf("case: the rule held")
	fmt.Println("the rule held")
	return exitHeld
}

// JudgeReset reports whether the reset of a flow breaks FLOW: its host holds the flow and
// did not write the reset, and the machines that took the packets, of the host and of the
// sender are in touch. A process under planned work, which may be nil, excuses nothing.
func (d *Deployment) JudgeReset(f *Flow, holder int, planned *Process) (broken bool) {
	now := time.Now()
	record := d.opts.Record
	host := d.Hosts[holder]
	sender := d.ProcessAt(f.ResetBy)
	machines := []*Process{d.Agents[holder]}
	if sender != nil {
		machines = append(machines, sender)
	}
	for _, p := range d.Balancers {
		for _, name := range f.Took {
			if p.Name == name {
				machines = append(machines, p)
			}
		}
	}
	broken = host.Holds(f.ID) && !f.ResetByHost && now.Sub(f.OpenedAt) < FlowLifetime && now.Sub(f.LastUsed) < IdleTimeout
	for _, p := range machines {
		record.Printf("check: %s: %s undisturbed for %s, needed %s, planned work %t",
			f.ID, p.Name, p.Undisturbed(now).Round(time.Millisecond), SettleWindow, p == planned)
		broken = broken && (p == planned || p.Undisturbed(now) >= SettleWindow)
	}
	record.Printf("check: %s: reset by %s, age %s, idle %s, %s holds it: %t; FLOW broken: %t", f.ID, f.ResetBy,
		now.Sub(f.OpenedAt).Round(time.Millisecond), now.Sub(f.LastUsed).Round(time.Millisecond), host.ID, host.Holds(f.ID), broken)
	return broken
}
