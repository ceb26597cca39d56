package soak

import (
	"cmp"
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
	"sync/atomic"
	"syscall"
	"time"

	"github.com/currantturn/currantturn/internal/pause"
	"github.com/currantturn/currantturn/platform/platformtest"
	"github.com/rotisserie/eris"
)

// ErrOptions reports invalid options.
var ErrOptions = errors.New("invalid options")

// Options configure a run.
type Options struct {
	Seed      uint64
	Duration  time.Duration // time during which faults begin
	Processes int           // balancers and agents
	Binary    string        // path of the currantturn program
	// Previous is the path of an earlier build that all processes begin as, before they are
	// replaced one by one; empty if there is none.
	Previous string
	// PreviousLacks names the guarantees that the earlier build does not know. They are
	// checked from settleTime after it has been replaced everywhere.
	PreviousLacks []string
	Dir           string // directory for settings and logs
}

// Bounds of the options.
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
	if len(o.PreviousLacks) > 0 && o.Previous == "" {
		return eris.Wrap(ErrOptions, "there is no earlier build that could lack guarantees")
	}
	for _, g := range o.PreviousLacks {
		if !slices.Contains(guarantees, g) {
			return eris.Wrapf(ErrOptions, "%q is no guarantee; there are %s", g, strings.Join(guarantees, ", "))
		}
	}
	if o.Previous != "" {
		if err := checkProgram(o.Previous); err != nil {
			return err
		}
	}
	return checkProgram(o.Binary)
}

// firstBinary returns the program that processes begin as.
func (o *Options) firstBinary() string {
	return cmp.Or(o.Previous, o.Binary)
}

// balancers returns the number of processes that are balancers; the rest are agents.
func (o *Options) balancers() int { return o.Processes / 3 }

// Result is the outcome of a run.
type Result struct {
	Seed       uint64
	Started    time.Time // start of traffic
	Schedule   []Fault
	Sequence   Sequence
	Violations []string
	Counts     map[string]uint64 // events that callers observed, by description
	Dir        string
}

// run holds the processes and simulated parts of one run.
type run struct {
	opts         Options
	net          *network
	checker      *checker
	operator     *operator
	links        *linkProxy
	routers      *routers
	vms          []*backendVM
	callers      []*caller
	balancers    []*process
	agents       []*process
	storeProxies []*tcpProxy // in front of the store, by balancer

	longPauses atomic.Bool // whether callers pause for long between their requests

	mu          sync.Mutex
	storeModes  []platformtest.Mode // of the store, by balancer
	pauseCounts map[*process]int    // active faults that pause the process
}

// Run applies the faults of one seed to the real programs and returns what the checks
// found.
func Run(ctx context.Context, o Options) (*Result, error) {
	if err := o.check(); err != nil {
		return nil, err
	}
	r, err := newRun(ctx, o)
	if r != nil {
		defer r.close()
	}
	if err != nil {
		return nil, err
	}
	if err := r.startAll(ctx); err != nil {
		return nil, err
	}
	schedule := Schedule(o.Seed, o.Duration, o.balancers(), len(r.agents))
	result := &Result{Seed: o.Seed, Started: time.Now(), Schedule: schedule, Sequence: sequenceOf(o.Seed), Dir: o.Dir}
	r.runSchedule(ctx, schedule)
	result.Violations, result.Counts = r.checker.results()
	return result, ctx.Err()
}

// newRun prepares a run without starting its programs. If it fails, a run that is
// not nil must still be closed.
func newRun(ctx context.Context, o Options) (*run, error) {
	balancers, agents := o.balancers(), o.Processes-o.balancers()
	n, err := newNetwork(o.Seed, balancers, agents)
	if err != nil {
		return nil, err
	}
	r := &run{opts: o, net: n, pauseCounts: make(map[*process]int), storeModes: make([]platformtest.Mode, balancers)}
	r.checker = newChecker(func(i int) int { incarnation, _ := r.balancers[i].state(); return incarnation })
	if o.Previous != "" {
		r.checker.unknownBefore = o.PreviousLacks
	}
	r.operator = &operator{net: n, store: platformtest.NewStore(), checker: r.checker}
	r.links, err = newLinkProxy(n, o.Seed)
	for i := 0; err == nil && i < balancers; i++ {
		r.storeModes[i] = platformtest.Normal
		err = r.addBalancer(i)
	}
	for j := 0; err == nil && j < agents; j++ {
		err = r.addBackend(j)
	}
	if err != nil {
		return r, err
	}
	r.operator.vms = r.vms
	r.operator.configure(time.Now())
	r.routers = newRouters(ctx, n)
	for k := range agents {
		c, err := newCaller(n, r.routers, r.checker, r.vms, k, o.Seed, []netip.AddrPort{reroutedService, fixedService}, &r.longPauses)
		if err != nil {
			return r, err
		}
		r.callers = append(r.callers, c)
	}
	return r, nil
}

// addBalancer prepares a balancer with its own server and proxy for the store, so
// that faults of the store can affect one balancer alone.
func (r *run) addBalancer(i int) error {
	ln, err := r.net.listenTCP(r.net.address(storeNet, i, storePort))
	if err != nil {
		return err
	}
	s := &http.Server{ReadHeaderTimeout: time.Second, Handler: r.operator.store.Handler(func() platformtest.Mode {
		r.mu.Lock()
		defer r.mu.Unlock()
		return r.storeModes[i]
	})}
	r.net.closeAtEnd(s.Close)
	go func() { _ = s.Serve(ln) }() // returns after Close
	p, err := newTCPProxy(r.net, r.net.address(storeProxyNet, i, storePort), r.net.address(storeNet, i, storePort))
	if err != nil {
		return err
	}
	r.storeProxies = append(r.storeProxies, p)
	b := newProcess(r.opts.Dir, r.opts.firstBinary(), fmt.Sprintf("balancer-%d", i), "flow_balancer", r.reportProcessFailure)
	r.balancers = append(r.balancers, b)
	return b.configure(fmt.Sprintf(balancerSettings, b.name, failureDomain(i), r.net.address(storeProxyNet, i, storePort), applyWithin,
		r.net.address(balancerNet, i, linkPort), r.net.address(balancerNet, i, readinessPort), r.net.address(balancerNet, i, metricsPort),
		r.net.address(balancerNet, i, callerPort), r.net.address(balancerNet, i, callerPort),
		r.net.address(balancerNet, 0, callerPort), r.net.address(balancerNet, 1, callerPort)))
}

// addBackend starts a backend server and prepares its agent.
func (r *run) addBackend(j int) error {
	vm := newBackendVM(r.net, j, r.opts.Seed, r.checker)
	r.vms = append(r.vms, vm)
	b := r.operator.newInstance(time.Now(), j, j%serviceCount)
	a := newProcess(r.opts.Dir, r.opts.firstBinary(), fmt.Sprintf("agent-%d", j), "flow_agent", r.reportProcessFailure)
	r.agents = append(r.agents, a)
	r.operator.register(b, "ready")
	return errors.Join(vm.start(b), a.configure(r.agentSettings(j, b.service, true)))
}

func (r *run) agentSettings(j, service int, freshStart bool) string {
	return fmt.Sprintf(agentSettings, r.agents[j].name, failureDomain(j),
		r.net.address(agentNet, j, linkPort), r.net.address(agentNet, j, readinessPort), r.net.address(agentNet, j, metricsPort),
		r.net.address(agentNet, j, callerPort), r.net.address(agentNet, j, outboundPort), r.net.address(agentNet, j, backendPort),
		serviceName(service), freshStart)
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

// reportProcessFailure records an unexpected end or a failed stop of a process.
func (r *run) reportProcessFailure(reason string) {
	r.checker.report(time.Now(), "process", "%s", reason)
}

func (r *run) processes() []*process {
	return append(append([]*process(nil), r.balancers...), r.agents...)
}

// startAll starts every process and waits until all balancers are ready.
func (r *run) startAll(ctx context.Context) error {
	for _, p := range r.processes() {
		if err := p.start(); err != nil {
			return err
		}
	}
	for end := time.Now().Add(startTimeout); r.routers.readyCount() < len(r.balancers); {
		if time.Now().After(end) {
			return eris.Errorf("only %d of %d balancers are ready; see the logs in %s", r.routers.readyCount(), len(r.balancers), r.opts.Dir)
		}
		pause.For(ctx, readinessInterval/5)
		if ctx.Err() != nil {
			return ctx.Err()
		}
	}
	for j := range r.agents { // fresh_start is true only for the first start; later there are older flows
		if err := r.agents[j].configure(r.agentSettings(j, r.vms[j].instance().service, false)); err != nil {
			return err
		}
	}
	return nil
}

// runSchedule runs the callers while the faults are applied, then until the callers
// have recovered, and then for a time without faults.
func (r *run) runSchedule(ctx context.Context, schedule []Fault) {
	traffic, stop := context.WithCancel(ctx)
	var callers, faults sync.WaitGroup
	for _, c := range r.callers {
		callers.Go(func() { c.run(traffic) })
	}
	start := time.Now()
	for _, f := range schedule {
		faults.Go(func() {
			pause.For(ctx, time.Until(start.Add(f.At)))
			if ctx.Err() != nil {
				return
			}
			if err := r.applyFault(ctx, f); err != nil {
				r.checker.report(time.Now(), "soak", "%s: %v", f, err)
			}
		})
	}
	if r.opts.Previous != "" {
		faults.Go(func() { r.upgrade(ctx, start) })
	}
	faults.Wait()
	r.awaitRecovery(ctx)
	if err := r.playSequence(ctx, sequenceOf(r.opts.Seed)); err != nil {
		r.checker.report(time.Now(), "soak", "%s: %v", sequenceOf(r.opts.Seed), err)
	}
	pause.For(ctx, 2*settleTime) // every subject counts as undisturbed for the second half
	stop()
	callers.Wait()
}

// awaitRecovery waits until every caller has received the answer to a request that
// began after the last fault.
func (r *run) awaitRecovery(ctx context.Context) {
	last := time.Now()
	for ctx.Err() == nil {
		waiting := 0
		for _, c := range r.callers {
			if c.lastServed.Load() < last.UnixNano() {
				waiting++
			}
		}
		if waiting == 0 {
			return
		}
		if time.Since(last) > recoverWithin {
			r.checker.report(time.Now(), "recover", "%d of %d callers received no answer within %s after the last fault", waiting, len(r.callers), recoverWithin)
			return
		}
		pause.For(ctx, resendAfter/4)
	}
}

// close kills the processes of the run and closes its sockets.
func (r *run) close() {
	for _, p := range r.processes() {
		p.signal(syscall.SIGCONT)
		p.kill()
	}
	r.net.close()
}

// Summary formats the counts.
func (r *Result) Summary() string {
	var all []string
	for _, what := range slices.Sorted(maps.Keys(r.Counts)) {
		all = append(all, fmt.Sprintf("%d %s", r.Counts[what], what))
	}
	return strings.Join(all, ", ")
}

// Remove deletes the settings and logs of the run.
func (r *Result) Remove() error {
	return eris.Wrap(os.RemoveAll(filepath.Clean(r.Dir)), "remove logs")
}
