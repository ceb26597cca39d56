package main

import (
	"bufio"
	"bytes"
	"context"
	"crypto/tls"
	"encoding/hex"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"text/template"
	"time"

	"github.com/currantturn/currantturn"
	"github.com/currantturn/currantturn/internal/fake/authority"
	"github.com/currantturn/currantturn/internal/fake/backend"
	"github.com/currantturn/currantturn/internal/fake/fabric"
	fakeplatform "github.com/currantturn/currantturn/internal/fake/platform"
	"github.com/currantturn/currantturn/internal/transport/identity"
	"github.com/currantturn/currantturn/pkg/patch"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/quic-go/quic-go/http3"
)

// waitTimeout limits waits for states that are reached much sooner on an idle
// machine.
const waitTimeout = 60 * time.Second

var settingsTemplate = template.Must(template.New("settings").Parse(`[process]
role = {{.Role}}
name = {{.Name}}
failure_domain = {{.Domain}}
shutdown_grace = 1m
[platform]
urls = {{.Platform}}
[link]
address = {{.Link}}
[log]
format = json
level = info
[trust]
ca_file = {{.Files.Authorities}}
certificate_file = {{.Files.Certificate}}
key_file = {{.Files.Key}}
datagram_key_file = {{.Ring}}
hash_key_file = {{.Hash}}
[admin]
address = {{.Admin}}
insecure = true
{{if eq .Role "balancer"}}[entry]
kind = proxy
addresses = {{.Entry}}
fabric_answer_address = {{.Fabric}}
{{else}}[flows]
check_invariants = true
[backend]
service = verify
address = {{.Backend}}
stream_address = {{.Stream}}
health_url = http://{{.Backend}}/health
caller_certificate_file = {{.Files.Certificate}}
caller_key_file = {{.Files.Key}}
{{end}}`))

// member is one process of the fleet under test.
type member struct {
	Role, Name, Domain, Platform, Ring, Hash    string
	Link, Admin, Entry, Fabric, Backend, Stream netip.AddrPort
	Files                                       identity.Files
	cmd                                         *exec.Cmd
	done                                        chan struct{}
	mu                                          sync.Mutex
	log                                         bytes.Buffer
	settings                                    string
}

func (m *member) Write(p []byte) (int, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.log.Write(p)
}

func (m *member) output() string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.log.String()
}

// start starts the process and waits for its end in the background.
func (m *member) start(binary string) {
	m.cmd = exec.Command(binary, m.Role, "--settings", m.settings)
	m.cmd.Stderr = m
	m.done = make(chan struct{})
	Expect(m.cmd.Start()).To(Succeed())
	go func() {
		_ = m.cmd.Wait()
		close(m.done)
	}()
}

func (m *member) signal(s syscall.Signal) {
	Expect(m.cmd.Process.Signal(s)).To(Succeed())
}

func (m *member) kill() {
	_ = m.cmd.Process.Kill()
	<-m.done
}

// The specs' ports are below those that the kernel gives out, so that no connection of
// another process gets one before the process under test binds it.
const (
	firstPort = 20000
	portCount = 12000
)

// lastPort counts the ports given out; specs of another process begin elsewhere.
var lastPort = os.Getpid() * 61

// freePort returns a port that nobody has bound on 127.0.0.1.
func freePort(network string) netip.AddrPort {
	for range portCount {
		lastPort++
		at := netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(firstPort+lastPort%portCount))
		if network == "tcp" {
			if ln, err := net.Listen("tcp", at.String()); err == nil {
				Expect(ln.Close()).To(Succeed())
				return at
			}
		} else if c, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(at)); err == nil {
			Expect(c.Close()).To(Succeed())
			return at
		}
	}
	Fail("no free port")
	return netip.AddrPort{}
}

// fleet is a deployment of three balancers and three agents, each a process of the
// built binary.
type fleet struct {
	dir, binary string
	ca          *authority.Authority
	fabric      *fabric.Fabric
	service     *fakeplatform.Service
	platform    *httptest.Server
	address     netip.AddrPort
	balancers   []*member
	agents      []*member
	backends    []*backend.Backend
	client      *http.Client
}

// build compiles the program under test into dir.
func build(dir string) (binary string) {
	GinkgoHelper()
	binary = filepath.Join(dir, "currantturn")
	out, err := exec.Command("go", "build", "-o", binary, ".").CombinedOutput()
	Expect(err).NotTo(HaveOccurred(), string(out))
	return binary
}

// launchProcess runs a role with settings until the end of the spec. Its output goes
// to log.
func launchProcess(role, settings string, log *os.File) (pid int) {
	GinkgoHelper()
	dir := GinkgoT().TempDir()
	path := filepath.Join(dir, "settings.ini")
	Expect(os.WriteFile(path, []byte(settings), 0o600)).To(Succeed())
	cmd := exec.Command(build(dir), role, "--settings", path)
	cmd.Stdout, cmd.Stderr = log, log
	Expect(cmd.Start()).To(Succeed())
	DeferCleanup(func() {
		_ = cmd.Process.Kill()
		_ = cmd.Wait() // returns an error after Kill
	})
	return cmd.Process.Pid
}

// get returns the status line and the body of an HTTP response.
func get(address netip.AddrPort, path string) (string, error) {
	resp, err := http.Get("http://" + address.String() + path)
	if err != nil {
		return "", err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return resp.Status + "\n" + string(body), err
}

// startFleet starts a fleet that serves one service, and waits until all its
// processes are ready.
func startFleet() *fleet {
	f := &fleet{dir: GinkgoT().TempDir()}
	f.binary = build(f.dir)
	var err error
	f.ca, err = authority.New(time.Now())
	Expect(err).NotTo(HaveOccurred())
	f.fabric, err = fabric.New(fabric.Options{Seed: 1, MaxDelay: time.Millisecond})
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(f.fabric.Close)
	f.address, err = f.fabric.AddService()
	Expect(err).NotTo(HaveOccurred())
	f.service = fakeplatform.New(time.Now)
	f.platform = httptest.NewServer(f.service)
	DeferCleanup(f.platform.Close)
	f.write("ring.ini", "[keys]\nactive = 1\n1 = "+strings.Repeat("ab", 32)+"\n")
	f.write("hash.key", hex.EncodeToString(make([]byte, 32)))
	for i := range 3 {
		f.balancers = append(f.balancers, f.balancer(i))
		f.agents = append(f.agents, f.agent(i))
	}
	f.publishService()
	f.setBalancers(f.balancers...)
	for _, m := range append(f.balancers, f.agents...) {
		m.start(f.binary)
		DeferCleanup(m.kill)
	}
	for _, m := range append(f.balancers, f.agents...) {
		Eventually(m.output, waitTimeout).Should(ContainSubstring("process_ready"))
	}
	h3 := &http3.Transport{TLSClientConfig: &tls.Config{InsecureSkipVerify: true}}
	DeferCleanup(h3.Close)
	f.client = &http.Client{Transport: h3}
	return f
}

func (f *fleet) write(name, content string) string {
	path := filepath.Join(f.dir, name)
	Expect(os.WriteFile(path, []byte(content), 0o600)).To(Succeed())
	return path
}

// member returns a process with its certificate and ports, not yet configured or
// started.
func (f *fleet) member(role currantturn.Role, name string, i int) *member {
	dir := filepath.Join(f.dir, name)
	Expect(os.Mkdir(dir, 0o700)).To(Succeed())
	files, err := f.ca.Write(time.Now(), dir, identity.Peer{Role: role, Name: name})
	Expect(err).NotTo(HaveOccurred())
	return &member{
		Role: string(role), Name: name, Domain: fmt.Sprintf("domain-%d", i), Platform: f.platform.URL,
		Ring: filepath.Join(f.dir, "ring.ini"), Hash: filepath.Join(f.dir, "hash.key"), Files: files,
		Link: freePort("udp"), Admin: freePort("tcp"),
	}
}

// configure writes the settings file of a process.
func (f *fleet) configure(m *member) *member {
	var b strings.Builder
	Expect(settingsTemplate.Execute(&b, m)).To(Succeed())
	m.settings = f.write(m.Name+".ini", b.String())
	return m
}

func (f *fleet) balancer(i int) *member {
	m := f.member(currantturn.RoleBalancer, fmt.Sprintf("entry-%d", i), i)
	m.Entry, m.Fabric = freePort("udp"), f.fabric.Addr()
	return f.configure(m)
}

func (f *fleet) agent(i int) *member {
	m := f.member(currantturn.RoleAgent, fmt.Sprintf("verify-%d", i), i)
	b, err := backend.Start(backend.Options{Name: m.Name, Slots: 3, ServiceTime: 5 * time.Millisecond})
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(b.Close)
	f.backends = append(f.backends, b)
	m.Backend, m.Stream = b.Addr(), freePort("udp")
	return f.configure(m)
}

// publishService publishes the service with the agents as its backend servers.
func (f *fleet) publishService() {
	op := patch.AddService{Service: "verify", Addresses: []netip.AddrPort{f.address}}
	for _, m := range f.agents {
		op.BackendServers = append(op.BackendServers, currantturn.BackendServer{
			ID: currantturn.BackendID(m.Name), FailureDomain: currantturn.FailureDomain(m.Domain),
			Agent: m.Link, Stream: m.Stream, Slots: 3, Weight: 1, State: currantturn.BackendActive,
		})
	}
	f.publish(0, op)
}

func (f *fleet) publish(buildsOn currantturn.Version, ops ...patch.Operation) patch.Verdict {
	p, err := patch.Encode(&patch.Patch{BuildsOn: buildsOn, Operations: ops})
	Expect(err).NotTo(HaveOccurred())
	v, err := f.service.Publish("operator", p)
	Expect(err).NotTo(HaveOccurred())
	return v
}

// setBalancers makes the fabric send packets to the live balancers only, and the
// platform list only them.
func (f *fleet) setBalancers(live ...*member) {
	var entries []netip.AddrPort
	var vms []currantturn.VM
	for _, m := range live {
		entries = append(entries, m.Entry)
		vms = append(vms, currantturn.VM{
			Name: currantturn.VMName(m.Name), Role: currantturn.RoleBalancer,
			FailureDomain: currantturn.FailureDomain(m.Domain), Link: m.Link, State: currantturn.VMLive,
		})
	}
	f.fabric.SetBalancers(entries)
	f.service.SetVMs(vms)
}

// openWatch opens a stream of numbered lines. It returns a function that reads the
// next line, and the name of the backend server that holds the stream.
func (f *fleet) openWatch() (next func() string, holder string) {
	r, err := http.NewRequest(http.MethodGet, "https://"+f.address.String()+"/watch?every=20ms", nil)
	Expect(err).NotTo(HaveOccurred())
	r.Header.Set("Accept", "text/event-stream")
	res, err := f.client.Do(r)
	Expect(err).NotTo(HaveOccurred())
	Expect(res.StatusCode).To(Equal(http.StatusOK))
	DeferCleanup(res.Body.Close)
	lines := bufio.NewScanner(res.Body)
	return func() string {
		if !lines.Scan() {
			return fmt.Sprint("stream ended: ", lines.Err())
		}
		return lines.Text()
	}, res.Header.Get("Backend-Server")
}

// postCheck sends one request with an idempotency key and returns the status, the
// outcome and the body of the response.
func (f *fleet) postCheck(key string) (status int, outcome, body string) {
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "https://"+f.address.String()+"/check", http.NoBody)
	Expect(err).NotTo(HaveOccurred())
	r.Header.Set("Idempotency-Key", key)
	r.Header.Set("Request-Timeout", "20")
	res, err := f.client.Do(r)
	Expect(err).NotTo(HaveOccurred())
	defer res.Body.Close()
	p, err := io.ReadAll(res.Body)
	Expect(err).NotTo(HaveOccurred())
	return res.StatusCode, res.Header.Get("Request-Outcome"), string(p)
}

// runs returns how often the backend servers ran the request with a key.
func (f *fleet) runs(key string) int {
	n := 0
	for _, b := range f.backends {
		n += b.Runs()[key]
	}
	return n
}
