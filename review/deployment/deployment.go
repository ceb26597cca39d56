package deployment

import (
	"context"
	"errors"
	"fmt"
	"hash/fnv"
	"net"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/currantturn/currantturn/platform/platformtest"
)

// Options describe a deployment.
type Options struct {
	Folder      string // where the record is written
	Binary      string // the program
	Balancers   int
	Services    []string // of the host beside each agent; empty for an agent without a host yet
	AgentOf     []string // service in the settings of each agent
	ApplyWithin time.Duration
	Work        time.Duration // of a request; 0 means 10 ms
}

// Deployment is a running deployment.
type Deployment struct {
	Store     *Store
	Record    *Record
	Balancers []*Process
	Agents    []*Process

	opts    Options
	block   byte
	dir     string
	proxies []*proxy

	mu      sync.Mutex
	closers []func()
	hosts   []*Host
	callers int
	ready   []bool
	runs    map[string][]*Host // by attempt
	resets  []Reset
}

// Config returns a function that builds a configuration with routes to services by the
// number of their addresses.
func Config(version uint64, services ...string) func(*Deployment) any {
	return func(d *Deployment) any {
		routes := make(map[int]string)
		for n, service := range services {
			routes[n] = service
		}
		return d.configuration(version, routes)
	}
}

// Start starts a deployment and waits until all balancers are ready.
func Start(opts Options, configuration func(*Deployment) any) (*Deployment, error) {
	record, err := newRecord(filepath.Join(opts.Folder, "record.txt"))
	if err != nil {
		return nil, err
	}
	d := &Deployment{opts: opts, Record: record, Store: newStore(), runs: make(map[string][]*Host), ready: make([]bool, opts.Balancers)}
	if err := d.start(configuration); err != nil {
		d.Close()
		return nil, err
	}
	return d, nil
}

func (d *Deployment) start(configuration func(*Deployment) any) error {
	if err := d.reserveBlock(); err != nil {
		return err
	}
	var err error
	if d.dir, err = os.MkdirTemp("", "review"); err != nil {
		return err
	}
	if err := d.startStore(); err != nil {
		return err
	}
	d.Store.Write("op/config", configuration(d))
	for j, service := range d.opts.Services {
		if service != "" {
			if _, err := d.StartHost(j, service); err != nil {
				return err
			}
		}
	}
	if err := d.startProcesses(true); err != nil {
		return err
	}
	return d.awaitReady()
}

// reserveBlock finds a block of loopback addresses that no other run uses.
func (d *Deployment) reserveBlock() error {
	for b := firstBlock; b <= lastBlock; b++ {
		d.block = byte((b+os.Getpid())%(lastBlock-firstBlock+1) + firstBlock)
		ln, err := net.Listen("tcp4", d.address(serviceNet, 250, storePort).String())
		if err == nil {
			d.closeAtEnd(func() { _ = ln.Close() })
			return nil
		}
	}
	return errors.New("no free block of loopback addresses")
}

func (d *Deployment) startStore() error {
	at := d.address(storeNet, 0, storePort)
	ln, err := net.Listen("tcp4", at.String())
	if err != nil {
		return err
	}
	s := &http.Server{Handler: d.Store, ReadHeaderTimeout: time.Second}
	d.closeAtEnd(func() { _ = s.Close() })
	go func() { _ = s.Serve(ln) }() // returns after Close
	for i := range d.opts.Balancers {
		p := &proxy{store: at}
		ln, err := net.Listen("tcp4", d.address(storeNet, i+1, storePort).String())
		if err != nil {
			return err
		}
		d.closeAtEnd(func() { _ = ln.Close() })
		d.proxies = append(d.proxies, p)
		go p.serve(ln)
	}
	return nil
}

// startProcesses starts all processes. Only their first start is one of the whole system.
func (d *Deployment) startProcesses(fresh bool) error {
	for i := range d.opts.Balancers {
		d.Balancers = append(d.Balancers, newProcess(d.dir, d.opts.Binary, "flow_balancer", fmt.Sprintf("balancer-%d", i), d.Record))
	}
	for j := range d.opts.AgentOf {
		d.Agents = append(d.Agents, newProcess(d.dir, d.opts.Binary, "flow_agent", fmt.Sprintf("agent-%d", j), d.Record))
	}
	if err := d.configureAll(fresh); err != nil {
		return err
	}
	for _, p := range append(append([]*Process(nil), d.Balancers...), d.Agents...) {
		if err := p.start(); err != nil {
			return err
		}
	}
	return nil
}

func (d *Deployment) configureAll(fresh bool) error {
	var errs []error
	for i, b := range d.Balancers {
		errs = append(errs, b.configure(d.balancerSettings(i, fresh)))
	}
	for j, a := range d.Agents {
		errs = append(errs, a.configure(d.agentSettings(j, d.opts.AgentOf[j], fresh)))
	}
	return errors.Join(errs...)
}

// awaitReady starts the routers and waits until all balancers are in rotation.
func (d *Deployment) awaitReady() error {
	ctx, cancel := context.WithCancel(context.Background())
	d.closeAtEnd(cancel)
	for i := range d.opts.Balancers {
		go d.probe(ctx, i)
	}
	for end := time.Now().Add(startTimeout); time.Now().Before(end); time.Sleep(probeInterval / 5) {
		if len(d.inRotation()) == d.opts.Balancers {
			return d.configureAll(false)
		}
	}
	return fmt.Errorf("only %d of %d balancers are ready", len(d.inRotation()), d.opts.Balancers)
}

// probe probes the readiness of a balancer as the routers do.
func (d *Deployment) probe(ctx context.Context, i int) {
	client := &http.Client{Timeout: probeInterval * 4 / 5, Transport: &http.Transport{DisableKeepAlives: true}}
	misses := maxMisses
	for ctx.Err() == nil {
		resp, err := client.Get(fmt.Sprintf("http://%s/v1/readiness", d.address(balancerNet, i, readinessPort)))
		if err == nil {
			_ = resp.Body.Close()
		}
		if misses++; err == nil && resp.StatusCode == http.StatusOK {
			misses = 0
		}
		d.setReady(i, misses < maxMisses)
		time.Sleep(probeInterval)
	}
}

func (d *Deployment) setReady(i int, ready bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.ready[i] != ready {
		d.Record.Add("routers", "balancer-%d in rotation: %t", i, ready)
	}
	d.ready[i] = ready
}

// inRotation returns the balancers in rotation, or all if there is none.
func (d *Deployment) inRotation() (all []int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for i, ready := range d.ready {
		if ready {
			all = append(all, i)
		}
	}
	return all
}

// Balancer returns the balancer that the routers select for a flow: the one that ranks
// highest by a hash, so that a change of the rotation moves the flows of one balancer only.
func (d *Deployment) Balancer(id FlowID) (best int) {
	var highest uint64
	for _, i := range d.inRotation() {
		h := fnv.New64a()
		fmt.Fprintf(h, "%s %d", id, i)
		// Mixes the bits, since the last byte of the input changes few high ones.
		score := h.Sum64()
		score ^= score >> 29
		score *= 0x9e3779b97f4a7c15
		if score >= highest {
			best, highest = i, score
		}
	}
	return best
}

// address returns the address of endpoint i of a kind.
func (d *Deployment) address(kind byte, i int, port uint16) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, d.block, kind, byte(i + 1)}), port)
}

// ServiceAddress returns the address of a route.
func (d *Deployment) ServiceAddress(n int) netip.AddrPort { return d.address(serviceNet, n, 443) }

// FurtherAddress returns the address of a route without traffic.
func (d *Deployment) FurtherAddress(n int) netip.AddrPort {
	const perNet = 250
	return d.address(serviceNet+1+byte(n/perNet), n%perNet, 443)
}

// Zone returns the zone of VM i of a kind.
func (d *Deployment) Zone(i int) string { return []string{"wm-a", "wm-b", "wm-c"}[i%3] }

// Hosts returns all hosts so far.
func (d *Deployment) Hosts() []*Host {
	d.mu.Lock()
	defer d.mu.Unlock()
	return append([]*Host(nil), d.hosts...)
}

// configuration returns a configuration with routes to services by the number of their
// addresses.
func (d *Deployment) configuration(version uint64, services map[int]string) platformtest.Configuration {
	c := platformtest.Configuration{Version: version, Limits: map[string]int{"idle_timeout_ms": 60000}}
	for n := range len(services) {
		c.Routes = append(c.Routes, route(d.ServiceAddress(n), services[n]))
	}
	return c
}

func route(at netip.AddrPort, service string) platformtest.Route {
	return platformtest.Route{
		Hostname: at.Addr().String(), Prefix: fmt.Sprintf("/%d/", at.Port()), Service: service,
		TargetLatencyMS: 250, TimeoutMS: 2500, Priority: 1,
	}
}

// Readers returns the balancers that read the store at present, the last reader first.
func (d *Deployment) Readers(n int) []int {
	var all []int
	for range n {
		best := -1
		for i, p := range d.proxies {
			taken := false
			for _, other := range all {
				taken = taken || other == i
			}
			if !taken && (best < 0 || p.idle() < d.proxies[best].idle()) {
				best = i
			}
		}
		all = append(all, best)
	}
	return all
}

// CutFromStore cuts a balancer off from the store, or ends that.
func (d *Deployment) CutFromStore(i int, cut bool) {
	d.Record.Add("platform", "balancer-%d is cut off from the store: %t", i, cut)
	d.proxies[i].setCut(cut)
}

// SilenceStore makes the open connections of a balancer to the store silent for good; new
// ones work.
func (d *Deployment) SilenceStore(i int) {
	d.Record.Add("platform", "the connections of balancer-%d to the store are silent from now on", i)
	d.proxies[i].silence()
}

// ConfigureAgent writes the settings of an agent with another service.
func (d *Deployment) ConfigureAgent(j int, service string) error {
	d.Record.Add("platform", "the settings of agent-%d name service %s", j, service)
	return d.Agents[j].configure(d.agentSettings(j, service, false))
}

func (d *Deployment) recordRun(attempt string, h *Host) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.runs[attempt] = append(d.runs[attempt], h)
}

// Runs returns the hosts that ran each request, by its ID.
func (d *Deployment) Runs() map[string][]*Host {
	d.mu.Lock()
	defer d.mu.Unlock()
	all := make(map[string][]*Host, len(d.runs))
	for id, hosts := range d.runs {
		all[id] = hosts
	}
	return all
}

// recordReset records a reset that a caller got on an open flow.
func (d *Deployment) recordReset(id FlowID, from netip.Addr, forged bool) {
	r := Reset{At: time.Now(), Flow: id, From: d.nameOf(from)}
	for _, h := range d.Hosts() {
		if h.holds(id) {
			r.Holder = h
		}
	}
	switch {
	case !forged:
		d.Record.Add("caller", "gets a reset of %s by its host", id)
		return
	case r.Holder == nil:
		d.Record.Add("caller", "gets a reset of %s from %s; no host holds it", id, r.From)
	default:
		d.Record.Add("caller", "gets a reset of %s from %s, though %s is alive and holds it", id, r.From, r.Holder.ID)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.resets = append(d.resets, r)
}

// Resets returns the resets of open flows that their hosts did not send.
func (d *Deployment) Resets() []Reset {
	d.mu.Lock()
	defer d.mu.Unlock()
	return append([]Reset(nil), d.resets...)
}

// nameOf returns the name of the VM with an address.
func (d *Deployment) nameOf(ip netip.Addr) string {
	b := ip.As4()
	switch b[2] {
	case balancerNet:
		return fmt.Sprintf("balancer-%d", b[3]-1)
	case agentNet:
		return fmt.Sprintf("agent-%d", b[3]-1)
	}
	return ip.String()
}

func (d *Deployment) closeAtEnd(f func()) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.closers = append(d.closers, f)
}

// Close ends all processes and closes all sockets.
func (d *Deployment) Close() {
	for _, p := range append(append([]*Process(nil), d.Balancers...), d.Agents...) {
		p.Signal(syscall.SIGCONT)
		p.kill()
	}
	for _, h := range d.Hosts() {
		h.mu.Lock()
		h.over = true
		h.mu.Unlock()
		_ = h.conn.Close()
		_ = h.health.Close()
	}
	d.mu.Lock()
	for _, f := range d.closers {
		f()
	}
	d.mu.Unlock()
	d.Record.close()
	if os.Getenv("KEEP") == "" && d.dir != "" {
		_ = os.RemoveAll(d.dir)
	} else {
		fmt.Println("logs in", d.dir)
	}
}
