package try

import (
	"context"
	"errors"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
)

// Options are what a run is asked for.
type Options struct {
	Deployment string
	Duration   time.Duration
	Seed       uint64
	Progress   io.Writer // nil for none
}

// ErrOptions reports options out of range.
var ErrOptions = eris.New("options out of range")

// run is one run in progress.
type run struct {
	opts          Options
	site          *site
	tally         *Tally
	callers       []*caller
	servedAtBound atomic.Int64
	lateWork      atomic.Int64
}

// Run runs a deployment and returns its report; the error says why the run
// itself could not be made, not that an invariant failed.
func Run(ctx context.Context, opts Options) (*Report, error) {
	plan, err := Find(opts.Deployment)
	if err != nil {
		return nil, err
	}
	if opts.Duration < MinDuration || opts.Duration > MaxDuration {
		return nil, eris.Wrapf(ErrOptions, "duration %s is not within %s and %s", opts.Duration, MinDuration, MaxDuration)
	}
	s, err := startSite(plan, opts.Seed)
	if err != nil {
		return nil, err
	}
	if err := s.platform.settle(ctx, s.processes()); err != nil {
		return nil, errors.Join(err, s.close(ctx))
	}
	time.Sleep(warmUp)
	r := &run{opts: opts, site: s, tally: newTally()}
	err = r.drive(ctx)
	stopErr := r.stop()
	if err != nil {
		return nil, err
	}
	return r.report(stopErr), nil
}

// drive lets callers work while the planned changes happen.
func (r *run) drive(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, r.opts.Duration)
	defer cancel()
	var working sync.WaitGroup
	for _, p := range r.site.plan.Services {
		if err := r.startCallers(ctx, p, &working); err != nil {
			return err
		}
	}
	working.Go(func() { r.reportProgress(ctx) })
	err := r.change(ctx, r.opts.Duration)
	working.Wait()
	return err
}

func (r *run) startCallers(ctx context.Context, p ServicePlan, working *sync.WaitGroup) error {
	n := p.Backends * callersPerBackend
	rate := p.Load * float64(p.Backends*p.Slots) / p.Work.Seconds() // requests a second
	every := time.Duration(float64(n) / rate * float64(time.Second))
	for i := range n + p.Watches {
		name := fmt.Sprintf("%s-caller-%d", p.Name, i+1)
		c, err := newCaller(name, r.site.addresses[p.Name], r.tally, r.opts.Seed<<16+uint64(len(r.callers)))
		if err != nil {
			return err
		}
		r.callers = append(r.callers, c)
		if i < n {
			working.Go(func() { c.loop(ctx, every, p.Blob) })
		} else {
			working.Go(func() { c.watch(ctx) })
		}
	}
	return nil
}

func (r *run) reportProgress(ctx context.Context) {
	start := time.Now()
	t := time.NewTicker(progressEvery)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		requests, answered, broken := r.tally.progress()
		r.say("%5.1fs  %d requests, %d answered, %d broken flows",
			time.Since(start).Seconds(), requests, answered, broken)
	}
}

func (r *run) say(format string, args ...any) {
	if r.opts.Progress != nil {
		_, _ = fmt.Fprintf(r.opts.Progress, format+"\n", args...)
	}
}

// stop ends the callers and then, as planned, every process.
func (r *run) stop() error {
	for _, c := range r.callers {
		c.close()
	}
	ctx, cancel := context.WithTimeout(context.Background(), stopGrace)
	defer cancel()
	return r.site.close(ctx)
}
