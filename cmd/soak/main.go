// Soak runs the real programs under randomized faults; see docs/SOAK.md.
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

// errBroken tells that a run broke a promise.
var errBroken = errors.New("promises were broken")

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	if err := command().Run(ctx, os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "soak:", err)
		os.Exit(1)
	}
}

func command() *cli.Command {
	return &cli.Command{
		Name:  "soak",
		Usage: "run currantturn's processes on loopback under randomized faults and check its promises",
		Flags: []cli.Flag{
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "first seed; the same seed gives the same schedule"},
			&cli.IntFlag{Name: "seeds", Value: 1, Usage: "how many seeds to play, one after the other"},
			&cli.IntFlag{Name: "jobs", Value: 1, Usage: "seeds to play at the same time"},
			&cli.DurationFlag{Name: "duration", Value: 10 * time.Second, Usage: "length of the faults of each seed"},
			&cli.IntFlag{Name: "processes", Value: 12, Usage: "processes of currantturn in each run"},
			&cli.BoolFlag{Name: "regressions", Usage: "play the seeds that failed once in place of others"},
			&cli.StringFlag{Name: "binary", Value: "bin/currantturn", Usage: "program under test"},
			&cli.StringFlag{Name: "logs", Value: os.TempDir(), Usage: "directory for settings and logs; those of good runs are removed"},
		},
		Action: play,
	}
}

// play plays all seeds and prints one line for each, or all about a bad one.
func play(ctx context.Context, c *cli.Command) error {
	free := make(chan struct{}, max(c.Int("jobs"), 1))
	var mu sync.Mutex
	var failed error
	var all sync.WaitGroup
	for _, seed := range seeds(c) {
		free <- struct{}{}
		if ctx.Err() != nil {
			break
		}
		all.Go(func() {
			defer func() { <-free }()
			r, err := playSeed(ctx, c, seed)
			mu.Lock()
			defer mu.Unlock()
			if r != nil {
				printResult(r)
				if len(r.Violations) > 0 {
					err = eris.Wrapf(errBroken, "seed %d", seed)
				} else if err == nil {
					err = r.Remove()
				}
			}
			failed = errors.Join(failed, err)
		})
	}
	all.Wait()
	return failed
}

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

func playSeed(ctx context.Context, c *cli.Command, seed uint64) (*soak.Result, error) {
	dir, err := os.MkdirTemp(c.String("logs"), fmt.Sprintf("soak-%d-", seed))
	if err != nil {
		return nil, eris.Wrap(err, "make directory for logs")
	}
	binary, err := filepath.Abs(c.String("binary"))
	if err != nil {
		return nil, eris.Wrap(err, "find program")
	}
	return soak.Run(ctx, soak.Options{
		Seed: seed, Duration: c.Duration("duration"), Processes: c.Int("processes"), Binary: binary, Dir: dir,
	})
}

func printResult(r *soak.Result) {
	if len(r.Violations) == 0 {
		fmt.Printf("seed %d: %d faults, no promise broken; %s\n", r.Seed, len(r.Schedule), r.Summary())
		return
	}
	fmt.Printf("seed %d: %d promises broken; %s\nlogs: %s\nschedule from %s:\n", r.Seed, len(r.Violations), r.Summary(),
		r.Dir, r.Started.Format("15:04:05.000"))
	for _, f := range r.Schedule {
		fmt.Println("  ", f)
	}
	fmt.Println("broken:")
	for _, v := range r.Violations {
		fmt.Println("  ", v)
	}
}
