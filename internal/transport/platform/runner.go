package platform

import (
	"context"
	"sync"

	"github.com/currantturn/currantturn"
	"github.com/rotisserie/eris"
)

// Runner carries out the reads that a machine asks for.
type Runner struct {
	ctx      context.Context
	cancel   context.CancelFunc
	platform currantturn.Platform
	deliver  func(*currantturn.ReadResult)
	slots    chan struct{}
	wait     sync.WaitGroup
}

// NewRunner returns a runner that hands each result to deliver, from its own
// goroutine.
func NewRunner(p currantturn.Platform, deliver func(*currantturn.ReadResult)) *Runner {
	ctx, cancel := context.WithCancel(context.Background())
	return &Runner{ctx: ctx, cancel: cancel, platform: p, deliver: deliver, slots: make(chan struct{}, maxReads)}
}

// Do starts a read; beyond maxReads it reports ErrUnavailable as the result.
func (r *Runner) Do(read currantturn.Read) {
	r.wait.Add(1)
	go func() {
		defer r.wait.Done()
		result := r.read(read)
		if r.ctx.Err() == nil {
			r.deliver(result)
		}
	}()
}

// Close ends the waiting reads without results.
func (r *Runner) Close() {
	r.cancel()
	r.wait.Wait()
}

func (r *Runner) read(read currantturn.Read) *currantturn.ReadResult {
	result := &currantturn.ReadResult{Read: read}
	select {
	case r.slots <- struct{}{}:
		defer func() { <-r.slots }()
	default:
		result.Err = eris.Wrap(currantturn.ErrUnavailable, "too many waiting reads")
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
		result.Err = eris.Wrapf(currantturn.ErrMalformed, "read of %q", read.Kind)
	}
	return result
}
