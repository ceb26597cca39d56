// Command soak runs the real programs under randomized faults; see docs/SOAK.md.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/currantturn/currantturn/internal/soak"
	"github.com/rotisserie/eris"
	"github.com/urfave/cli/v3"
)

// errViolations reports that a run violated a guarantee.
var errViolations = errors.New("guarantees were violated")

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	err := command().Run(ctx, os.Args)
	if err == nil {
		return
	}
	fmt.Fprintln(os.Stderr, "soak:", err)
	if errors.Is(err, soak.ErrOptions) {
		os.Exit(2)
	}
	os.Exit(1)
}

func command() *cli.Command {
	return &cli.Command{
		Name:  "soak",
		Usage: "run currantturn's processes on loopback under randomized faults and check its guarantees",
		Flags: []cli.Flag{
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "first seed; the same seed gives the same schedule"},
			&cli.IntFlag{Name: "seeds", Value: 1, Usage: "number of consecutive seeds to run"},
			&cli.IntFlag{Name: "jobs", Value: 1, Usage: "number of seeds to run at the same time"},
			&cli.DurationFlag{Name: "duration", Value: 10 * time.Second, Usage: "time during which faults begin, for each seed"},
			&cli.IntFlag{Name: "processes", Value: 12, Usage: "number of currantturn processes in each run"},
			&cli.BoolFlag{Name: "regressions", Usage: "run the seeds that failed once instead of others"},
			&cli.StringFlag{Name: "binary", Value: "bin/currantturn", Usage: "program under test"},
			&cli.StringFlag{Name: "previous", Usage: "earlier build that all processes begin as, before they are replaced one by one"},
			&cli.StringSliceFlag{Name: "previous-lacks", Usage: "guarantee that the earlier build does not know, checked once it is replaced everywhere"},
			&cli.StringFlag{Name: "logs", Value: os.TempDir(), Usage: "directory for settings and logs; those of runs without violations are removed"},
		},
		Action: runSeeds,
	}
}

// runSeeds runs all seeds. It prints one line for a seed without violations, and the
// schedule and violations of any other.
func runSeeds(ctx context.Context, c *cli.Command) error {
	running := make(chan struct{}, max(c.Int("jobs"), 1))
	var mu sync.Mutex
	var failed error
	var wg sync.WaitGroup
	for _, seed := range seeds(c) {
		running <- struct{}{}
		if ctx.Err() != nil {
			break
		}
		wg.Go(func() {
			defer func() { <-running }()
			r, err := runSeed(ctx, c, seed)
			mu.Lock()
			defer mu.Unlock()
			if r != nil {
				printResult(r)
				if len(r.Violations) > 0 {
					err = eris.Wrapf(errViolations, "seed %d", seed)
				} else if err == nil {
					err = r.Remove()
				}
			}
			failed = errors.Join(failed, err)
		})
	}
	wg.Wait()
	return failed
}

// seeds returns the seeds that the flags select.
func seeds(c *cli.Command) (all []uint64) {
	if c.Bool("regressions") {
		for _, r := range soak.Regressions {
			all = append(all, r.Seed)
		}
		return all
	}
	for n := range c.Int("seeds") {
		all = append(all, c.Uint64("seed")+uint64(n))
	}
	return all
}

func runSeed(ctx context.Context, c *cli.Command, seed uint64) (*soak.Result, error) {
	dir, err := os.MkdirTemp(c.String("logs"), fmt.Sprintf("soak-%d-", seed))
	if err != nil {
		return nil, eris.Wrap(err, "create directory for settings and logs")
	}
	o := soak.Options{
		Seed: seed, Duration: c.Duration("duration"), Processes: c.Int("processes"), Dir: dir,
		PreviousLacks: c.StringSlice("previous-lacks"),
	}
	if o.Binary, err = filepath.Abs(c.String("binary")); err != nil {
		return nil, eris.Wrap(err, "resolve path of the program")
	}
	if c.IsSet("previous") {
		if o.Previous, err = filepath.Abs(c.String("previous")); err != nil {
			return nil, eris.Wrap(err, "resolve path of the earlier build")
		}
	}
	return soak.Run(ctx, o)
}

func printResult(r *soak.Result) {
	if len(r.Violations) == 0 {
		fmt.Printf("seed %d: %d faults, sequence %s, no guarantee violated; %s\n", r.Seed, len(r.Schedule), r.Sequence, r.Summary())
		return
	}
	fmt.Printf("seed %d: %d violations; %s\nlogs: %s\nschedule from %s:\n", r.Seed, len(r.Violations), r.Summary(),
		r.Dir, r.Started.Format("15:04:05.000"))
	for _, f := range r.Schedule {
		fmt.Println("  ", f)
	}
	fmt.Println("   then the sequence", r.Sequence)
	fmt.Println("broken:")
	for _, v := range r.Violations {
		fmt.Println("  ", v)
	}
}
