package core

import (
	"context"
	"errors"
	"time"

	"github.com/currantturn/currantturn"
	"github.com/currantturn/currantturn/internal/pause"
	"golang.org/x/sync/errgroup"
)

const (
	// handOverInterval is the pause between batches of records that a stopping
	// agent sends to peers.
	handOverInterval = 20 * time.Millisecond
	// lingerAfterStopAnnounced is how long an agent that announced its stop still
	// refuses new request keys itself, until its peers stop sending them to it.
	lingerAfterStopAnnounced = 500 * time.Millisecond
	// leavingNotice is the time that peers have to receive the notice that the
	// agent is leaving, before its servers refuse new connections.
	leavingNotice = time.Second
)

// SetLeaving sets whether the agent is leaving and accepts no new work; flows and
// requests that it already holds continue.
func (a *Agent) SetLeaving(leaving bool) {
	a.node.decide(func(now time.Time, out *currantturn.Effects) { a.machine.SetLeaving(now, leaving, out) })
	a.gate.SetLeaving(leaving)
}

// Shutdown stops the agent as planned: new work goes to peers, requests in
// progress end, and records are sent to peers. When the context ends, requests
// still in progress are cut off.
func (a *Agent) Shutdown(ctx context.Context) error {
	a.stopping.Store(true)
	a.claims.Stop()
	a.SetLeaving(true)
	pause.For(ctx, leavingNotice)
	errs := []error{a.shutDownCallerServers(ctx)}
	errs = append(errs, a.peers.Shutdown(ctx))
	errs = append(errs, a.handler.AwaitConfirmations(ctx))
	a.handOver(ctx)
	a.node.decide(a.machine.Members().AnnounceStop)
	pause.For(ctx, lingerAfterStopAnnounced)
	errs = append(errs, a.Close())
	return errors.Join(errs...)
}

// shutDownCallerServers waits until the servers of all service addresses have
// completed their requests.
func (a *Agent) shutDownCallerServers(ctx context.Context) error {
	var stops errgroup.Group
	for _, s := range a.allCallerServers() {
		stops.Go(func() error { return s.server.Shutdown(ctx) })
	}
	return stops.Wait()
}

// handOver sends the redirect records to the flows' next homes.
func (a *Agent) handOver(ctx context.Context) {
	more := true
	for more && ctx.Err() == nil {
		a.node.decide(func(now time.Time, out *currantturn.Effects) { more = a.machine.HandOver(now, out) })
		pause.For(ctx, handOverInterval)
	}
}

// Close stops the agent at once.
func (a *Agent) Close() error {
	a.cancel()
	a.feed.close()
	servers := a.allCallerServers()
	a.mu.Lock()
	a.callerServers = nil
	a.mu.Unlock()
	for _, s := range servers {
		s.close()
	}
	_ = a.peers.Close()
	_ = a.handler.Close()
	return a.node.link.Close()
}
