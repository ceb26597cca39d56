package harness

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/currantturn/currantturn/platform/platformtest"
)

// Ports, the same on all machines, as the platform's pages describe them.
const (
	datagramPort = 8172
	readyPort    = 8167
	controlPort  = 8166
	internalPort = 7720
	appPort      = 8165
	outboundPort = 8168
	storePort    = 8169
)

// Bounds of the site mvra-dar.
const (
	SettleWindow = 4 * time.Second
	ConfigApply  = 3 * time.Second
	GracePeriod  = 6 * time.Second
	IdleTimeout  = 15 * time.Second
	FlowLifetime = 60 * time.Second
	Heartbeat    = 1200 * time.Millisecond
)

// Options describe a deployment. Machines are given by their zones.
type Options struct {
	Balancers []string
	Hosts     []HostOptions
	Clients   []string
	Record    *Record
}

// HostOptions describe a host.
type HostOptions struct {
	Service, Zone string
	Slots         int
	Work          time.Duration
}

// Deployment is a small deployment on loopback.
type Deployment struct {
	Store     *platformtest.Store
	Balancers []*Process
	Agents    []*Process // beside the host with the same index
	Hosts     []*Host
	Clients   []*Client
	Routers   *Routers
	Routes    []platformtest.Route
	opts      Options
	dir       string
	block     byte
	closers   []func()
	version   uint64
}

// address returns the address of machine i of a kind, which is the third byte.
func (d *Deployment) address(kind, i int, port uint16) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, d.block, byte(kind), byte(i + 1)}), port)
}

// Kinds of machines in addresses.
const (
	storeKind  = 1
	frontKind  = 2
	sideKind   = 3
	clientKind = 4
)

// ServiceAddress returns the address of a route by its index.
func ServiceAddress(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{198, 18, 0, byte(i + 1)}), 443)
}

// New prepares a deployment and starts its stand-ins and processes.
func New(ctx context.Context, o Options, routes []platformtest.Route) (*Deployment, error) {
	d := &Deployment{Store: platformtest.NewStore(), opts: o, Routes: routes, Routers: &Routers{record: o.Record}}
	var err error
	if d.dir, err = os.MkdirTemp("", "review-"); err != nil {
		return nil, err
	}
	if err := d.reserve(); err != nil {
		return d, err
	}
	d.Configure()
	for i := range o.Balancers {
		if err := d.addBalancer(ctx, i); err != nil {
			return d, err
		}
	}
	for i := range o.Hosts {
		if err := d.addHost(i); err != nil {
			return d, err
		}
	}
	for _, p := range append(append([]*Process(nil), d.Balancers...), d.Agents...) {
		if err := p.Start(); err != nil {
			return d, err
		}
	}
	for i, zone := range o.Clients {
		c, err := newClient(d.address(clientKind, i, 0).Addr(), datagramPort, zone, d.Routers, o.Record)
		if err != nil {
			return d, err
		}
		d.closers = append(d.closers, func() { _ = c.conn.Close() })
		d.Clients = append(d.Clients, c)
	}
	return d, d.awaitReady(ctx)
}

// reserve finds a free block of loopback addresses, apart from those of the soak.
func (d *Deployment) reserve() error {
	for b := range 22 {
		d.block = byte(232 + (os.Getpid()+b)%22)
		ln, err := net.Listen("tcp4", d.address(9, 0, 1024+storePort).String())
		if err == nil {
			d.closers = append(d.closers, func() { _ = ln.Close() })
			return nil
		}
	}
	return errors.New("no free block of loopback addresses")
}

// Configure publishes the present routes as the next version.
func (d *Deployment) Configure() uint64 {
	d.version += 3
	d.Store.Configure(platformtest.Configuration{
		Version: d.version, Routes: d.Routes, Limits: map[string]int{"idle_timeout_ms": int(IdleTimeout.Milliseconds())},
	})
	d.opts.Record.Printf("operator: version %d acknowledged", d.version)
	return d.version
}

func (d *Deployment) addBalancer(ctx context.Context, i int) error {
	at := d.address(storeKind, i, storePort)
	ln, err := net.Listen("tcp4", at.String())
	if err != nil {
		return err
	}
	s := &http.Server{ReadHeaderTimeout: time.Second, Handler: d.Store.Handler(func() platformtest.Mode { return platformtest.Normal })}
	go func() { _ = s.Serve(ln) }() // returns after Close
	d.closers = append(d.closers, func() { _ = s.Close() })
	p := d.newProcess(fmt.Sprintf("balancer-%d", i+1), "flow_balancer")
	d.Balancers = append(d.Balancers, p)
	d.Routers.add(ctx, &front{
		name: p.Name, zone: d.opts.Balancers[i], in: d.address(frontKind, i, datagramPort), readyAt: d.address(frontKind, i, readyPort),
	})
	return d.writeBalancer(i, true)
}

func (d *Deployment) writeBalancer(i int, bootstrap bool) error {
	values := d.bounds(bootstrap)
	values["node_name"], values["zone"] = d.Balancers[i].Name, d.opts.Balancers[i]
	values["ip"] = d.address(frontKind, i, 0).Addr().String()
	values["platform.address"] = d.address(storeKind, i, storePort).String()
	values["listen.ready"] = d.address(frontKind, i, readyPort).String()
	values["listen.datagram_address"] = d.address(frontKind, i, datagramPort).String()
	values["listen.control_plane"] = d.address(frontKind, i, controlPort).String()
	return d.writeSettings("deploy/balancer.ini", d.Balancers[i], values)
}

func (d *Deployment) addHost(i int) error {
	o := d.opts.Hosts[i]
	h := &Host{
		ID: fmt.Sprintf("h%02d-%s", i+1, o.Service), Service: o.Service, Zone: o.Zone, Slots: max(o.Slots, 2), Work: o.Work,
		Address: d.address(sideKind, i, appPort), outbound: d.address(sideKind, i, outboundPort), record: d.opts.Record, store: d.Store,
	}
	if err := h.start(Heartbeat); err != nil {
		return err
	}
	d.closers = append(d.closers, h.close)
	d.Hosts = append(d.Hosts, h)
	d.Agents = append(d.Agents, d.newProcess(fmt.Sprintf("agent-%d", i+1), "flow_agent"))
	return d.writeAgent(i, true)
}

func (d *Deployment) writeAgent(i int, bootstrap bool) error {
	values := d.bounds(bootstrap)
	values["node_name"], values["zone"] = d.Agents[i].Name, d.Hosts[i].Zone
	values["ip"] = d.address(sideKind, i, 0).Addr().String()
	values["listen.ready"] = d.address(sideKind, i, readyPort).String()
	values["listen.datagram_address"] = d.address(sideKind, i, datagramPort).String()
	values["listen.outbound"] = d.address(sideKind, i, outboundPort).String()
	values["app"], values["service"] = d.Hosts[i].Address.String(), d.Hosts[i].Service
	return d.writeSettings("deploy/agent.ini", d.Agents[i], values)
}

// bounds returns the settings that all processes have in common.
func (d *Deployment) bounds(bootstrap bool) map[string]string {
	var seeds []string
	for i := range min(3, len(d.opts.Balancers)) {
		seeds = append(seeds, d.address(frontKind, i, controlPort).String())
	}
	return map[string]string{
		"bounds.grace_period_s": fmt.Sprint(int(GracePeriod.Seconds())), "bounds.config_apply_ms": fmt.Sprint(ConfigApply.Milliseconds()),
		"internal_port_range.0": fmt.Sprint(internalPort), "limits.link_mbps": "1000.0",
		"seed_nodes": strings.Join(seeds, ","), "bootstrap": fmt.Sprint(bootstrap),
	}
}

func (d *Deployment) writeSettings(template string, p *Process, values map[string]string) error {
	b, err := os.ReadFile(template)
	if err != nil {
		return err
	}
	text, err := render(string(b), values)
	if err != nil {
		return err
	}
	return os.WriteFile(p.settings, []byte(text), 0o600)
}

func (d *Deployment) newProcess(name, role string) *Process {
	return &Process{
		Name: name, args: []string{"target/currantturn", role}, record: d.opts.Record,
		settings: filepath.Join(d.dir, name+".ini"), log: filepath.Join(d.dir, name+".log"),
	}
}

// awaitReady waits until all balancers are in rotation, and writes the settings of later
// starts.
func (d *Deployment) awaitReady(ctx context.Context) error {
	for end := time.Now().Add(15 * time.Second); ; time.Sleep(100 * time.Millisecond) {
		ready := 0
		for _, p := range d.Balancers {
			if d.Routers.InRotation(p.Name) {
				ready++
			}
		}
		if ready == len(d.Balancers) {
			break
		}
		if time.Now().After(end) || ctx.Err() != nil {
			return fmt.Errorf("%d of %d balancers are ready", ready, len(d.Balancers))
		}
	}
	for i := range d.Balancers {
		if err := d.writeBalancer(i, false); err != nil {
			return err
		}
	}
	for i := range d.Agents {
		if err := d.writeAgent(i, false); err != nil {
			return err
		}
	}
	return nil
}

// ProcessAt returns the process whose machine has an address, or nil.
func (d *Deployment) ProcessAt(a netip.AddrPort) *Process {
	ip := a.Addr().As4()
	switch i := int(ip[3]) - 1; {
	case ip[2] == frontKind && i < len(d.Balancers):
		return d.Balancers[i]
	case ip[2] == sideKind && i < len(d.Agents):
		return d.Agents[i]
	}
	return nil
}

// HolderOf returns the index of the host that holds an open flow, -1 if none does.
func (d *Deployment) HolderOf(id FlowID) int {
	for i, h := range d.Hosts {
		if h.Holds(id) {
			return i
		}
	}
	return -1
}

// Failed returns the processes that ended by themselves.
func (d *Deployment) Failed() (names []string) {
	for _, p := range append(append([]*Process(nil), d.Balancers...), d.Agents...) {
		if !p.Running() {
			names = append(names, p.Name)
		}
	}
	return names
}

// Close ends all processes and stand-ins, and removes settings and logs unless KEEP is set.
func (d *Deployment) Close() {
	for _, p := range append(append([]*Process(nil), d.Balancers...), d.Agents...) {
		p.Kill()
	}
	for i := len(d.closers) - 1; i >= 0; i-- {
		d.closers[i]()
	}
	if os.Getenv("KEEP") != "" {
		fmt.Println("logs are in", d.dir)
		return
	}
	_ = os.RemoveAll(d.dir) // only temporary files
}
