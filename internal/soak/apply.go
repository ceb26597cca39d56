package soak

import (
	"context"
	"errors"
	"syscall"
	"time"

	"github.com/currantturn/currantturn/internal/pause"
	"github.com/currantturn/currantturn/platform/platformtest"
)

// applyFault applies a fault and returns when it has ended.
func (r *run) applyFault(ctx context.Context, f Fault) error {
	switch f.Kind {
	case KillBalancer:
		return r.killAndRestart(ctx, f, []*process{r.balancers[f.Balancer]}, balancerSubject(f.Balancer))
	case KillAgent:
		return r.killAndRestart(ctx, f, []*process{r.agents[f.Agent]}, backendSubject(f.Agent))
	case KillAll:
		return r.killAndRestart(ctx, f, r.processes(), r.allSubjects()...)
	case StopBalancer:
		return r.stopAndRestart(r.balancers[f.Balancer], balancerSubject(f.Balancer))
	case StopAgent:
		return r.stopAndRestart(r.agents[f.Agent], backendSubject(f.Agent))
	case PauseBalancer:
		r.pauseAndResume(ctx, f, r.balancers[f.Balancer], balancerSubject(f.Balancer))
	case PauseAgent:
		r.pauseAndResume(ctx, f, r.agents[f.Agent], backendSubject(f.Agent))
	case CutLink, CutOneWay, CutAgent, CutBalancer, LossyLinks, SlowLinks:
		r.applyLinkFault(ctx, f)
	case StoreMode, StoreRefuses, StoreLink:
		r.applyStoreFault(ctx, f)
	case CrashBackend:
		return r.operator.crashBackend(ctx, f)
	case ReuseBackend:
		return r.reuseAddress(ctx, f)
	case Configure:
		r.operator.configure(time.Now())
	case RestoreStore:
		r.restoreStore(ctx, f)
	case DrainDomain, SlowBackend, GreyBackend, Burst, ForeignEntry:
		r.applyLater(ctx, f)
	}
	return nil
}

// withDisturbance marks the subjects as disturbed while f runs.
func (r *run) withDisturbance(f func(), subjects ...subject) {
	end := r.checker.beginDisturbance(subjects...)
	f()
	end(time.Now())
}

func (r *run) allSubjects() (all []subject) {
	for i := range r.balancers {
		all = append(all, balancerSubject(i))
	}
	for j := range r.agents {
		all = append(all, backendSubject(j))
	}
	return all
}

// killAndRestart kills processes and starts them again after the fault's duration.
func (r *run) killAndRestart(ctx context.Context, f Fault, processes []*process, subjects ...subject) (err error) {
	r.withDisturbance(func() {
		for _, p := range processes {
			p.kill()
		}
		pause.For(ctx, f.Duration)
		for _, p := range processes {
			err = errors.Join(err, p.start())
		}
	}, subjects...)
	return err
}

// stopAndRestart stops a process as planned and starts it again. A planned stop may
// affect only new work at the process itself.
func (r *run) stopAndRestart(p *process, s subject) (err error) {
	r.withDisturbance(func() {
		p.stop(func() bool {
			r.mu.Lock()
			defer r.mu.Unlock()
			return r.pauseCounts[p] > 0
		})
		err = p.start()
	}, s)
	return err
}

// pauseAndResume pauses a process. Pauses may overlap; the process continues when
// the last one ends.
func (r *run) pauseAndResume(ctx context.Context, f Fault, p *process, s subject) {
	change := func(by int, signal syscall.Signal) {
		r.mu.Lock()
		defer r.mu.Unlock()
		if r.pauseCounts[p] += by; signal == syscall.SIGSTOP || r.pauseCounts[p] == 0 {
			p.signal(signal)
		}
	}
	r.withDisturbance(func() {
		change(1, syscall.SIGSTOP)
		pause.For(ctx, f.Duration)
		change(-1, syscall.SIGCONT)
	}, s)
}

// applyLinkFault drops or delays the datagrams of some links between balancers and
// agents. A balancer that is cut off also loses its callers and the store.
func (r *run) applyLinkFault(ctx context.Context, f Fault) {
	balancer, agent := f.Balancer, f.Agent
	subjects := []subject{balancerSubject(balancer), backendSubject(agent)}
	var change func(s *linkState, by int)
	switch f.Kind {
	case CutOneWay:
		change = func(s *linkState, by int) { s.cutToBalancer += by }
	case LossyLinks:
		agent, subjects = -1, r.allSubjects()
		change = func(s *linkState, by int) { s.lossy += by }
	case SlowLinks:
		agent, subjects = -1, r.allSubjects()
		change = func(s *linkState, by int) { s.slow += by }
	case CutAgent:
		balancer, subjects = -1, subjects[1:]
	case CutBalancer:
		agent, subjects = -1, subjects[:1]
	}
	if change == nil {
		change = func(s *linkState, by int) { s.cutToAgent += by; s.cutToBalancer += by }
	}
	r.withDisturbance(func() {
		if f.Kind == CutBalancer {
			r.routers.isolate(f.Balancer, 1)
			r.storeProxies[f.Balancer].setFault(silenceBoth)
		}
		r.links.change(balancer, agent, func(s *linkState) { change(s, 1) })
		pause.For(ctx, f.Duration)
		r.links.change(balancer, agent, func(s *linkState) { change(s, -1) })
		if f.Kind == CutBalancer {
			r.routers.isolate(f.Balancer, -1)
			r.storeProxies[f.Balancer].setFault(noFault)
		}
	}, subjects...)
}

// applyStoreFault applies a fault of the store or of a balancer's connections to it.
func (r *run) applyStoreFault(ctx context.Context, f Fault) {
	set := func(m platformtest.Mode) {
		r.mu.Lock()
		defer r.mu.Unlock()
		for i := range r.storeModes {
			if f.Kind == StoreMode || i == f.Balancer {
				r.storeModes[i] = m
			}
		}
	}
	begin, end := func() { set(platformtest.Mode(f.Variant)) }, func() { set(platformtest.Normal) }
	disturbed := balancerSubject(f.Balancer)
	switch f.Kind {
	case StoreMode:
		disturbed = storeSubject
	case StoreLink:
		p := r.storeProxies[f.Balancer]
		begin, end = func() { p.setFault(connectionFault(f.Variant)) }, func() { p.setFault(noFault) }
	}
	r.withDisturbance(func() {
		begin()
		pause.For(ctx, f.Duration)
		end()
	}, disturbed)
}

// restoreStore lets the store return from a copy, after an outage whose length follows
// from the copy's age.
func (r *run) restoreStore(ctx context.Context, f Fault) {
	c := r.operator.store.Copy()
	pause.For(ctx, f.Duration)
	r.applyStoreFault(ctx, Fault{Kind: StoreMode, Variant: string(platformtest.Down), Duration: f.Duration % maxRestoreOutage})
	r.withDisturbance(func() {
		r.operator.store.Return(c)
		r.operator.writeAgain(ctx)
	}, storeSubject)
}
