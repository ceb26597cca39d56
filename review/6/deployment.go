package main

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"github.com/currantturn/currantturn/platform/platformtest"
)

// Ports, the same on all machines, each of which has a loopback address of its own.
const (
	callerPort   = 8172
	outboundPort = 8162
	appPort      = 8165
	controlPort  = 8166
	readyPort    = 8167
	linkPort     = 7720
	storePort    = 8169
)

// Kinds of machines: the third byte of their addresses.
const (
	storeNet    = 1
	balancerNet = 2
	agentNet    = 3
	clientNet   = 4
)

// heartbeat is the interval at which backend servers write their registrations.
const heartbeat = 1200 * time.Millisecond

const balancerSettings = `[process]
role = flow_balancer
name = frontend-%[1]s
failure_domain = %[2]s
shutdown_grace = 6s
[log]
format = json
level = debug
[store]
address = %[3]s:8169
apply_within = 3000ms
[relay]
link_address = %[1]s:7720
readiness_address = %[1]s:8167
metrics_address = %[1]s:9464
caller_address = %[1]s:8172
state_address = %[1]s:8166
seeds = %[4]s
link_capacity = 1000.0
%[5]s`

const agentSettings = `[process]
role = flow_agent
name = side-%[1]s
failure_domain = %[2]s
shutdown_grace = 6s
[log]
format = json
level = debug
[relay]
link_address = %[1]s:7720
readiness_address = %[1]s:8167
metrics_address = %[1]s:9465
caller_address = %[1]s:8172
outbound_address = %[1]s:8162
backend_address = %[1]s:8165
service = %[3]s
seeds = %[4]s
%[5]s`

// bootstrap is the line that only the first start of the whole system has.
const bootstrap = "fresh_start = true\n"

// machine is a machine with one of the programs.
type machine struct {
	ip       netip.Addr
	role     string
	service  string
	settings func(first string) string
	path     string
	cmd      *exec.Cmd
}

// deployment is a small deployment on loopback addresses.
type deployment struct {
	record    *record
	block     byte
	dir       string
	store     *platformtest.Store
	server    *http.Server
	balancers []*machine
	agents    []*machine
	hosts     []*host
	clients   *clients
	reserved  net.PacketConn
	stop      chan struct{}
}

func newDeployment(r *record, services []string) (*deployment, error) {
	d := &deployment{record: r, store: platformtest.NewStore(), stop: make(chan struct{})}
	var err error
	if d.dir, err = os.MkdirTemp("", "review"); err != nil {
		return nil, err
	}
	if err := d.reserve(); err != nil {
		return nil, err
	}
	ln, err := net.Listen("tcp4", fmt.Sprintf("%s:%d", d.ip(storeNet, 0), storePort))
	if err != nil {
		return nil, err
	}
	d.server = &http.Server{Handler: d.store.Handler(func() platformtest.Mode { return platformtest.Normal }), ReadHeaderTimeout: time.Second}
	go func() { _ = d.server.Serve(ln) }()
	seeds := fmt.Sprintf("%s:%d,%s:%d", d.ip(balancerNet, 0), controlPort, d.ip(balancerNet, 1), controlPort)
	zones := []string{"lk-west-a", "lk-west-b", "lk-west-c"}
	for i := range 2 {
		ip, zone := d.ip(balancerNet, i), zones[0]
		d.balancers = append(d.balancers, &machine{ip: ip, role: "flow_balancer", settings: func(first string) string {
			return fmt.Sprintf(balancerSettings, ip, zone, d.ip(storeNet, 0), seeds, first)
		}})
	}
	for i, service := range services {
		ip, zone := d.ip(agentNet, i), zones[i%3]
		d.agents = append(d.agents, &machine{ip: ip, role: "flow_agent", service: service, settings: func(first string) string {
			return fmt.Sprintf(agentSettings, ip, zone, service, seeds, first)
		}})
		h, err := newHost(d, i, service, zone)
		if err != nil {
			return nil, err
		}
		d.hosts = append(d.hosts, h)
	}
	d.clients, err = newClients(d)
	return d, err
}

// reserve finds a free block of loopback addresses.
func (d *deployment) reserve() (err error) {
	for block := byte(60); block < 200; block++ {
		d.block = block
		if d.reserved, err = net.ListenPacket("udp4", fmt.Sprintf("127.%d.9.9:%d", block, linkPort)); err == nil {
			return nil
		}
	}
	return err
}

func (d *deployment) ip(kind byte, i int) netip.Addr {
	return netip.AddrFrom4([4]byte{127, d.block, kind, byte(i + 1)})
}

// address is the service address.
func (d *deployment) address() netip.AddrPort {
	return netip.MustParseAddrPort("127.0.0.99:443")
}

// publish writes the configuration, which routes the service address to a service.
func (d *deployment) publish(service string) {
	d.store.Configure(platformtest.Configuration{
		Version: 3,
		Routes: []platformtest.Route{{
			Hostname: d.address().Addr().String(), Prefix: fmt.Sprintf("/%d/", d.address().Port()), Service: service,
			TargetLatencyMS: 250, TimeoutMS: 1500, Priority: 2,
		}},
		Limits: map[string]int{"idle_timeout_ms": 15000},
	})
}

// start starts all processes for the first time and waits until they are ready.
func (d *deployment) start(within time.Duration) error {
	for _, h := range d.hosts {
		go h.register(d.stop)
	}
	for _, m := range append(append([]*machine{}, d.balancers...), d.agents...) {
		if err := d.startProcess(m, bootstrap); err != nil {
			return err
		}
	}
	deadline := time.Now().Add(within)
	for time.Now().Before(deadline) {
		if d.ready(0) && d.ready(1) {
			return nil
		}
		time.Sleep(100 * time.Millisecond)
	}
	return errors.New("the balancers did not become ready")
}

// ready reports whether a balancer answers the routers' probe.
func (d *deployment) ready(balancer int) bool {
	c := http.Client{Timeout: readyTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := c.Get(fmt.Sprintf("http://%s:%d/v1/readiness", d.balancers[balancer].ip, readyPort))
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// startProcess starts a program with the command of the deploy file.
func (d *deployment) startProcess(m *machine, first string) error {
	m.path = filepath.Join(d.dir, strings.ReplaceAll(m.ip.String(), ".", "-"))
	if err := os.WriteFile(m.path+".ini", []byte(m.settings(first)), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(m.path+".log", os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	m.cmd = exec.Command("target/currantturn", m.role)
	m.cmd.Env = append(os.Environ(), "CURRANTTURN_BOOT="+m.path+".ini")
	m.cmd.Stdout, m.cmd.Stderr = log, log
	return m.cmd.Start()
}

// kill kills a process and waits for its end.
func (m *machine) kill() {
	if m.cmd != nil && m.cmd.Process != nil {
		_ = m.cmd.Process.Kill()
		_ = m.cmd.Wait()
		m.cmd = nil
	}
}

// restartAgent stops an agent as planned and starts it again after a short delay. It returns
// when the new process was started.
func (d *deployment) restartAgent(i int, delay time.Duration) error {
	m := d.agents[i]
	d.record.note("agent %d receives SIGTERM", i)
	_ = m.cmd.Process.Signal(syscall.SIGTERM)
	_ = m.cmd.Wait() // the exit code does not matter here
	d.record.note("agent %d has ended", i)
	time.Sleep(delay)
	err := d.startProcess(m, "")
	d.record.note("agent %d is started again", i)
	return err
}

// freeze stops a balancer for a time, as a machine that freezes and wakes again.
func (d *deployment) freeze(i int, length time.Duration) {
	d.record.note("balancer %d freezes", i)
	_ = d.balancers[i].cmd.Process.Signal(syscall.SIGSTOP)
	time.Sleep(length)
	_ = d.balancers[i].cmd.Process.Signal(syscall.SIGCONT)
	d.record.note("balancer %d wakes", i)
}

// close ends all processes and removes the temporary folder.
func (d *deployment) close() {
	close(d.stop)
	for _, m := range append(append([]*machine{}, d.balancers...), d.agents...) {
		m.kill()
	}
	for _, h := range d.hosts {
		_ = h.conn.Close()
	}
	if d.clients != nil {
		_ = d.clients.conn.Close()
	}
	_ = d.server.Close()
	_ = d.reserved.Close()
	_ = os.RemoveAll(d.dir)
}
