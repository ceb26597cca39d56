package core

import (
	"context"
	"errors"
	"time"

	"github.com/currantturn/currantturn"
	"github.com/currantturn/currantturn/internal/pause"
)

const (
	// handOverEvery paces the records that a stopping agent hands to peers.
	handOverEvery = 20 * time.Millisecond
	// lingerAfterFarewell is how long a stopped agent still refuses new request
	// keys itself, until its peers ask it no more.
	lingerAfterFarewell = 500 * time.Millisecond
	// partBeforeStop is how long peers have to learn that the agent leaves
	// before its servers refuse new connections.
	partBeforeStop = time.Second
)

// Leave makes the agent take no new work, or takes that back; flows and
// requests that it holds go on.
func (a *Agent) Leave(leaving bool) {
	a.node.decide(func(now time.Time, out *currantturn.Effects) { a.machine.SetLeaving(now, leaving, out) })
	a.gate.SetLeaving(leaving)
}

// Shutdown stops as planned: new work goes to peers, requests in progress end,
// records are handed over. The end of the context cuts what is left.
func (a *Agent) Shutdown(ctx context.Context) error {
	a.stopping.Store(true)
	a.claims.Stop()
	a.Leave(true)
	pause.For(ctx, partBeforeStop)
	var errs []error
	for _, f := range a.fronts() {
		errs = append(errs, f.server.Shutdown(ctx))
	}
	errs = append(errs, a.peers.Shutdown(ctx))
	errs = append(errs, a.handler.Settle(ctx))
	a.handOver(ctx)
	a.node.decide(a.machine.Members().Farewell)
	pause.For(ctx, lingerAfterFarewell)
	errs = append(errs, a.Close())
	return errors.Join(errs...)
}

// handOver gives the redirect records to the flows' next homes.
func (a *Agent) handOver(ctx context.Context) {
	more := true
	for more && ctx.Err() == nil {
		a.node.decide(func(now time.Time, out *currantturn.Effects) { more = a.machine.HandOver(now, out) })
		pause.For(ctx, handOverEvery)
	}
}

// Close stops at once.
func (a *Agent) Close() error {
	a.cancel()
	a.feed.close()
	fronts := a.fronts()
	a.mu.Lock()
	a.services = nil
	a.mu.Unlock()
	for _, f := range fronts {
		f.close()
	}
	_ = a.peers.Close()
	_ = a.handler.Close()
	return a.node.link.Close()
}
