package soak

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/currantturn/currantturn/internal/pause"
	"github.com/currantturn/currantturn/platform/platformtest"
	"github.com/rotisserie/eris"
)

// ErrOptions tells of options that no run can have.
var ErrOptions = errors.New("bad options")

// Options are a run's size and place.
type Options struct {
	Seed      uint64
	Duration  time.Duration // of the faults
	Processes int           // of the real programs
	Binary    string        // of currantturn
	Dir       string        // for settings and logs
}

// bounds of the options.
const (
	minProcesses = 6
	maxProcesses = 240
	maxDuration  = time.Hour
)

func (o *Options) check() error {
	switch {
	case o.Processes < minProcesses || o.Processes > maxProcesses:
		return eris.Wrapf(ErrOptions, "%d processes are out of range (%d to %d)", o.Processes, minProcesses, maxProcesses)
	case o.Duration < time.Second || o.Duration > maxDuration:
		return eris.Wrapf(ErrOptions, "duration %s is out of range (1s to %s)", o.Duration, maxDuration)
	}
	if _, err := os.Stat(o.Binary); err != nil {
		return eris.Wrap(ErrOptions, err.Error())
	}
	return nil
}

// balancers is how many of the processes are balancers.
func (o *Options) balancers() int { return o.Processes / 3 }

// Result is the verdict on a run.
type Result struct {
	Seed       uint64
	Started    time.Time // of traffic
	Schedule   []Fault
	Violations []string
	Counts     map[string]uint64 // what callers saw
	Dir        string
}

// run is a run in progress.
type run struct {
	opts      Options
	net       *network
	judge     *judge
	operator  *operator
	links     *links
	routers   *routers
	vms       []*backendVM
	callers   []*caller
	balancers []*program
	agents    []*program
	proxies   []*connections // of the store, by balancer

	mu     sync.Mutex
	modes  []platformtest.Mode // of the store, by balancer
	paused map[*program]int
}

// Run plays one seed.
func Run(ctx context.Context, o Options) (*Result, error) {
	if err := o.check(); err != nil {
		return nil, err
	}
	x, err := build(ctx, o)
	if x != nil {
		defer x.close()
	}
	if err != nil {
		return nil, err
	}
	if err := x.startAll(ctx); err != nil {
		return nil, err
	}
	schedule := Schedule(o.Seed, o.Duration, o.balancers(), len(x.agents))
	r := &Result{Seed: o.Seed, Started: time.Now(), Schedule: schedule, Dir: o.Dir}
	x.play(ctx, schedule)
	r.Violations, r.Counts = x.judge.verdict()
	return r, ctx.Err()
}

func build(ctx context.Context, o Options) (*run, error) {
	nb, na := o.balancers(), o.Processes-o.balancers()
	n, err := newNetwork(o.Seed, nb, na)
	if err != nil {
		return nil, err
	}
	x := &run{opts: o, net: n, paused: make(map[*program]int), modes: make([]platformtest.Mode, nb)}
	x.judge = newJudge(func(i int) int { started, _ := x.balancers[i].running(); return started })
	x.operator = &operator{net: n, store: platformtest.NewStore(), judge: x.judge}
	x.links, err = newLinks(n, o.Seed)
	for i := 0; err == nil && i < nb; i++ {
		x.modes[i] = platformtest.Normal
		err = x.addBalancer(i)
	}
	for j := 0; err == nil && j < na; j++ {
		err = x.addBackend(j)
	}
	if err != nil {
		return x, err
	}
	x.operator.vms = x.vms
	x.operator.configure(time.Now())
	x.routers = newRouters(ctx, n)
	for k := range na {
		c, err := newCaller(n, x.routers, x.judge, x.vms, k, o.Seed, []netip.AddrPort{movingService, steadyService})
		if err != nil {
			return x, err
		}
		x.callers = append(x.callers, c)
	}
	return x, nil
}

// addBalancer prepares a balancer with its own way to the store.
func (x *run) addBalancer(i int) error {
	ln, err := x.net.listenTCP(x.net.at(originNet, i, storePort))
	if err != nil {
		return err
	}
	s := &http.Server{ReadHeaderTimeout: time.Second, Handler: x.operator.store.Handler(func() platformtest.Mode {
		x.mu.Lock()
		defer x.mu.Unlock()
		return x.modes[i]
	})}
	x.net.closeLater(s.Close)
	go func() { _ = s.Serve(ln) }() // ends with Close
	p, err := newConnections(x.net, x.net.at(storeNet, i, storePort), x.net.at(originNet, i, storePort))
	if err != nil {
		return err
	}
	x.proxies = append(x.proxies, p)
	b := newProgram(x.opts.Dir, x.opts.Binary, fmt.Sprintf("balancer-%d", i), "flow_balancer", x.failed)
	x.balancers = append(x.balancers, b)
	return b.configure(fmt.Sprintf(balancerSettings, b.name, domainOf(i), x.net.at(storeNet, i, storePort), applyWithin,
		x.net.at(balancerNet, i, linkPort), x.net.at(balancerNet, i, readinessPort), x.net.at(balancerNet, i, metricsPort),
		x.net.at(balancerNet, i, callerPort), x.net.at(balancerNet, i, callerPort),
		x.net.at(balancerNet, 0, callerPort), x.net.at(balancerNet, 1, callerPort)))
}

// addBackend prepares a backend server and its agent.
func (x *run) addBackend(j int) error {
	m := newBackendVM(x.net, j, x.opts.Seed, x.judge)
	x.vms = append(x.vms, m)
	b := x.operator.instance(time.Now(), j, j%services)
	a := newProgram(x.opts.Dir, x.opts.Binary, fmt.Sprintf("agent-%d", j), "flow_agent", x.failed)
	x.agents = append(x.agents, a)
	x.operator.register(b, "ready")
	return errors.Join(m.start(b), a.configure(x.agentSettings(j, b.service, true)))
}

func (x *run) agentSettings(j, service int, fresh bool) string {
	return fmt.Sprintf(agentSettings, x.agents[j].name, domainOf(j),
		x.net.at(agentNet, j, linkPort), x.net.at(agentNet, j, readinessPort), x.net.at(agentNet, j, metricsPort),
		x.net.at(agentNet, j, callerPort), x.net.at(agentNet, j, outboundPort), x.net.at(agentNet, j, backendPort),
		serviceName(service), fresh)
}

const balancerSettings = `[process]
role = flow_balancer
name = %s
failure_domain = %s
[log]
format = json
level = debug
[store]
address = %s
apply_within = %s
[relay]
link_address = %s
readiness_address = %s
metrics_address = %s
caller_address = %s
state_address = %s
seeds = %s, %s
`

const agentSettings = `[process]
role = flow_agent
name = %s
failure_domain = %s
[log]
format = json
level = debug
[relay]
link_address = %s
readiness_address = %s
metrics_address = %s
caller_address = %s
outbound_address = %s
backend_address = %s
service = %s
fresh_start = %t
`

func (x *run) failed(reason string) {
	x.judge.failed(time.Now(), "process", "%s", reason)
}

func (x *run) programs() []*program {
	return append(append([]*program(nil), x.balancers...), x.agents...)
}

// startAll starts every process and waits until all balancers serve.
func (x *run) startAll(ctx context.Context) error {
	for _, p := range x.programs() {
		if err := p.start(); err != nil {
			return err
		}
	}
	for end := time.Now().Add(startWithin); x.routers.ready() < len(x.balancers); {
		if time.Now().After(end) {
			return eris.Errorf("only %d of %d balancers are ready; see the logs in %s", x.routers.ready(), len(x.balancers), x.opts.Dir)
		}
		pause.For(ctx, readinessEvery/5)
		if ctx.Err() != nil {
			return ctx.Err()
		}
	}
	for j := range x.agents { // later starts find flows that are older
		if err := x.agents[j].configure(x.agentSettings(j, x.vms[j].instance().service, false)); err != nil {
			return err
		}
	}
	return nil
}

// play lets callers run while the faults of the schedule happen, and for a
// calm while after them.
func (x *run) play(ctx context.Context, schedule []Fault) {
	traffic, stop := context.WithCancel(ctx)
	var callers, faults sync.WaitGroup
	for _, c := range x.callers {
		callers.Go(func() { c.run(traffic) })
	}
	start := time.Now()
	for _, f := range schedule {
		faults.Go(func() {
			pause.For(ctx, time.Until(start.Add(f.At)))
			if ctx.Err() != nil {
				return
			}
			if err := x.apply(ctx, f); err != nil {
				x.judge.failed(time.Now(), "soak", "%s: %v", f, err)
			}
		})
	}
	faults.Wait()
	x.recover(ctx)
	pause.For(ctx, 2*settle) // half of it calm for every subject
	stop()
	callers.Wait()
}

// recover waits until every caller is served by a request begun after the faults.
func (x *run) recover(ctx context.Context) {
	last := time.Now()
	for ctx.Err() == nil {
		waiting := 0
		for _, c := range x.callers {
			if c.served.Load() < last.UnixNano() {
				waiting++
			}
		}
		if waiting == 0 {
			return
		}
		if time.Since(last) > recoverWithin {
			x.judge.failed(time.Now(), "recover", "%d of %d callers are not served %s after the last fault", waiting, len(x.callers), recoverWithin)
			return
		}
		pause.For(ctx, resendAfter/4)
	}
}

// close ends the processes that this run has started, and its sockets.
func (x *run) close() {
	for _, p := range x.programs() {
		p.signal(syscall.SIGCONT)
		p.kill()
	}
	x.net.close()
}

// Summary formats what callers saw.
func (r *Result) Summary() string {
	var all []string
	for _, what := range slices.Sorted(maps.Keys(r.Counts)) {
		all = append(all, fmt.Sprintf("%d %s", r.Counts[what], what))
	}
	return strings.Join(all, ", ")
}

// Remove deletes the settings and logs of a run that kept every promise.
func (r *Result) Remove() error {
	return eris.Wrap(os.RemoveAll(filepath.Clean(r.Dir)), "remove logs")
}
