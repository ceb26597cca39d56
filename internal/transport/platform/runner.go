package platform

import (
	"context"
	"sync"

	"github.com/currantturn/currantturn"
	"github.com/rotisserie/eris"
)

// Runner executes the platform reads that a state machine requests.
type Runner struct {
	ctx          context.Context
	cancel       context.CancelFunc
	platform     currantturn.Platform
	deliver      func(*currantturn.ReadResult)
	semaphore    chan struct{}
	pendingReads sync.WaitGroup
}

// NewRunner returns a runner that passes each result to deliver, on a goroutine
// of its own.
func NewRunner(p currantturn.Platform, deliver func(*currantturn.ReadResult)) *Runner {
	ctx, cancel := context.WithCancel(context.Background())
	return &Runner{ctx: ctx, cancel: cancel, platform: p, deliver: deliver, semaphore: make(chan struct{}, maxConcurrentReads)}
}

// Start starts a read. If maxConcurrentReads are in progress already, the result's
// error is ErrUnavailable.
func (r *Runner) Start(read currantturn.Read) {
	r.pendingReads.Add(1)
	go func() {
		defer r.pendingReads.Done()
		result := r.read(read)
		if r.ctx.Err() == nil {
			r.deliver(result)
		}
	}()
}

// Close cancels the reads in progress, without delivering results, and waits for
// their end.
func (r *Runner) Close() {
	r.cancel()
	r.pendingReads.Wait()
}

// read executes one read and returns its result.
func (r *Runner) read(read currantturn.Read) *currantturn.ReadResult {
	result := &currantturn.ReadResult{Read: read}
	select {
	case r.semaphore <- struct{}{}:
		defer func() { <-r.semaphore }()
	default:
		result.Err = eris.Wrap(currantturn.ErrUnavailable, "too many reads in progress")
		return result
	}
	switch read.Kind {
	case currantturn.ReadSnapshot:
		result.Snapshot, result.Err = r.platform.Snapshot(r.ctx)
	case currantturn.ReadRecords:
		result.Records, result.Err = r.platform.Watch(r.ctx, read.After, read.Wait)
	case currantturn.ReadVMs:
		result.VMs, result.Err = r.platform.VMs(r.ctx)
	default:
		result.Err = eris.Wrapf(currantturn.ErrMalformed, "unknown kind of read %q", read.Kind)
	}
	return result
}
