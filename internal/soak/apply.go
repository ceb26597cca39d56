package soak

import (
	"context"
	"errors"
	"syscall"
	"time"

	"github.com/currantturn/currantturn/internal/pause"
	"github.com/currantturn/currantturn/platform/platformtest"
)

// apply plays one fault from its begin to its end.
func (x *run) apply(ctx context.Context, f Fault) error {
	switch f.Kind {
	case KillBalancer:
		return x.kill(ctx, f, []*program{x.balancers[f.Balancer]}, balancerSubject(f.Balancer))
	case KillAgent:
		return x.kill(ctx, f, []*program{x.agents[f.Agent]}, backendSubject(f.Agent))
	case KillAll:
		return x.kill(ctx, f, x.programs(), x.subjects()...)
	case StopBalancer:
		return x.stop(x.balancers[f.Balancer], balancerSubject(f.Balancer))
	case StopAgent:
		return x.stop(x.agents[f.Agent], backendSubject(f.Agent))
	case PauseBalancer:
		x.pause(ctx, f, x.balancers[f.Balancer], balancerSubject(f.Balancer))
	case PauseAgent:
		x.pause(ctx, f, x.agents[f.Agent], backendSubject(f.Agent))
	case CutLink, CutOneWay, CutAgent, CutBalancer, LossyLinks, SlowLinks:
		x.harmLinks(ctx, f)
	case StoreMode, StoreRefuses, StoreLink:
		x.harmStore(ctx, f)
	case CrashBackend:
		return x.operator.crash(ctx, f)
	case ReuseBackend:
		return x.operator.reuse(ctx, f, func(service int) error {
			a := x.agents[f.Agent]
			err := a.configure(x.agentSettings(f.Agent, service, false))
			a.signal(syscall.SIGHUP)
			return err
		})
	case Configure:
		x.operator.configure(time.Now())
	}
	return nil
}

// during disturbs subjects while f runs.
func (x *run) during(f func(), subjects ...subject) {
	calm := x.judge.disturb(subjects...)
	f()
	calm(time.Now())
}

func (x *run) subjects() (all []subject) {
	for i := range x.balancers {
		all = append(all, balancerSubject(i))
	}
	for j := range x.agents {
		all = append(all, backendSubject(j))
	}
	return all
}

func (x *run) kill(ctx context.Context, f Fault, programs []*program, subjects ...subject) (err error) {
	x.during(func() {
		for _, p := range programs {
			p.kill()
		}
		pause.For(ctx, f.For)
		for _, p := range programs {
			err = errors.Join(err, p.start())
		}
	}, subjects...)
	return err
}

// stop is planned: it disturbs nobody but new work of the machine itself.
func (x *run) stop(p *program, s subject) (err error) {
	x.during(func() {
		p.stop(func() bool {
			x.mu.Lock()
			defer x.mu.Unlock()
			return x.paused[p] > 0
		})
		err = p.start()
	}, s)
	return err
}

func (x *run) pause(ctx context.Context, f Fault, p *program, s subject) {
	change := func(by int, signal syscall.Signal) {
		x.mu.Lock()
		defer x.mu.Unlock()
		if x.paused[p] += by; signal == syscall.SIGSTOP || x.paused[p] == 0 {
			p.signal(signal)
		}
	}
	x.during(func() {
		change(1, syscall.SIGSTOP)
		pause.For(ctx, f.For)
		change(-1, syscall.SIGCONT)
	}, s)
}

func (x *run) harmLinks(ctx context.Context, f Fault) {
	balancer, agent := f.Balancer, f.Agent
	subjects := []subject{balancerSubject(balancer), backendSubject(agent)}
	var change func(s *linkState, by int)
	switch f.Kind {
	case CutOneWay:
		change = func(s *linkState, by int) { s.cutToBalancer += by }
	case LossyLinks:
		agent, subjects = -1, x.subjects()
		change = func(s *linkState, by int) { s.lossy += by }
	case SlowLinks:
		agent, subjects = -1, x.subjects()
		change = func(s *linkState, by int) { s.slow += by }
	case CutAgent:
		balancer, subjects = -1, subjects[1:]
	case CutBalancer:
		agent, subjects = -1, subjects[:1]
	}
	if change == nil {
		change = func(s *linkState, by int) { s.cutToAgent += by; s.cutToBalancer += by }
	}
	x.during(func() {
		if f.Kind == CutBalancer {
			x.routers.isolate(f.Balancer, 1)
			x.proxies[f.Balancer].set(silenceBoth)
		}
		x.links.change(balancer, agent, func(s *linkState) { change(s, 1) })
		pause.For(ctx, f.For)
		x.links.change(balancer, agent, func(s *linkState) { change(s, -1) })
		if f.Kind == CutBalancer {
			x.routers.isolate(f.Balancer, -1)
			x.proxies[f.Balancer].set(passConnections)
		}
	}, subjects...)
}

func (x *run) harmStore(ctx context.Context, f Fault) {
	set := func(m platformtest.Mode) {
		x.mu.Lock()
		defer x.mu.Unlock()
		for i := range x.modes {
			if f.Kind == StoreMode || i == f.Balancer {
				x.modes[i] = m
			}
		}
	}
	begin, end := func() { set(platformtest.Mode(f.How)) }, func() { set(platformtest.Normal) }
	disturbed := balancerSubject(f.Balancer)
	switch f.Kind {
	case StoreMode:
		disturbed = storeSubject
	case StoreLink:
		p := x.proxies[f.Balancer]
		begin, end = func() { p.set(connectionFault(f.How)) }, func() { p.set(passConnections) }
	}
	x.during(func() {
		begin()
		pause.For(ctx, f.For)
		end()
	}, disturbed)
}
