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

// Options configure a run.
type Options struct {
	Deployment string
	Duration   time.Duration
	Seed       uint64
	Progress   io.Writer // nil for none
}

// ErrOptions reports options out of range.
var ErrOptions = eris.New("options out of range")

// run is a run in progress.
type run struct {
	opts                  Options
	cluster               *cluster
	stats                 *callerStats
	callers               []*caller
	servedAtDrainBound    atomic.Int64
	servedAfterDrainBound atomic.Int64
}

// Run runs a deployment and returns its report. It returns an error only if the
// run could not be made; violated invariants are in the report.
func Run(ctx context.Context, opts Options) (*Report, error) {
	plan, err := FindDeployment(opts.Deployment)
	if err != nil {
		return nil, err
	}
	if opts.Duration < MinDuration || opts.Duration > MaxDuration {
		return nil, eris.Wrapf(ErrOptions, "duration %s is not between %s and %s", opts.Duration, MinDuration, MaxDuration)
	}
	c, err := startCluster(plan, opts.Seed)
	if err != nil {
		return nil, err
	}
	if err := c.platform.waitFirstInForce(ctx, c.processCount()); err != nil {
		return nil, errors.Join(err, c.close(ctx))
	}
	time.Sleep(warmUpTime)
	r := &run{opts: opts, cluster: c, stats: newCallerStats()}
	err = r.runWorkload(ctx)
	shutdownErr := r.shutDown()
	if err != nil {
		return nil, err
	}
	return r.newReport(shutdownErr), nil
}

// runWorkload applies the planned changes while callers send requests, and returns
// after the last caller has ended.
func (r *run) runWorkload(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, r.opts.Duration)
	defer cancel()
	var wg sync.WaitGroup
	for _, p := range r.cluster.plan.Services {
		if err := r.startCallers(ctx, p, &wg); err != nil {
			return err
		}
	}
	wg.Go(func() { r.printProgress(ctx) })
	err := r.applyChanges(ctx, r.opts.Duration)
	wg.Wait()
	return err
}

// startCallers starts the callers of one service. The gaps between their requests
// add up to the service's offered load.
func (r *run) startCallers(ctx context.Context, plan ServicePlan, wg *sync.WaitGroup) error {
	n := plan.Backends * callersPerBackend
	rate := plan.OfferedLoad * float64(plan.Backends*plan.Slots) / plan.ServiceTime.Seconds() // requests per second
	meanGap := time.Duration(float64(n) / rate * float64(time.Second))
	for i := range n + plan.WatchCallers {
		name := fmt.Sprintf("%s-caller-%d", plan.Name, i+1)
		c, err := newCaller(name, r.cluster.serviceAddresses[plan.Name], r.stats, r.opts.Seed<<16+uint64(len(r.callers)))
		if err != nil {
			return err
		}
		r.callers = append(r.callers, c)
		if i < n {
			wg.Go(func() { c.sendRequests(ctx, meanGap, plan.BlobBytes) })
		} else {
			wg.Go(func() { c.holdWatch(ctx) })
		}
	}
	return nil
}

// printProgress prints the counts once per progressInterval.
func (r *run) printProgress(ctx context.Context) {
	start := time.Now()
	ticker := time.NewTicker(progressInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		requests, answered, brokenFlows := r.stats.counts()
		r.printf("%5.1fs  %d requests, %d answered, %d broken flows",
			time.Since(start).Seconds(), requests, answered, brokenFlows)
	}
}

// printf prints one progress line.
func (r *run) printf(format string, args ...any) {
	if r.opts.Progress != nil {
		_, _ = fmt.Fprintf(r.opts.Progress, format+"\n", args...)
	}
}

// shutDown closes the callers, then shuts down the cluster. It has a time limit of its
// own, so that an interrupted run shuts down as well.
func (r *run) shutDown() error {
	for _, c := range r.callers {
		c.close()
	}
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	return r.cluster.close(ctx)
}
