package try

import (
	"context"
	"crypto/rand"
	"crypto/tls"
	"encoding/binary"
	"fmt"
	"maps"
	"net/netip"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/currantturn/currantturn"
	"github.com/currantturn/currantturn/internal/coordination/admission"
	"github.com/currantturn/currantturn/internal/coordination/rank"
	"github.com/currantturn/currantturn/internal/core"
	"github.com/currantturn/currantturn/internal/event"
	"github.com/currantturn/currantturn/internal/fake/authority"
	"github.com/currantturn/currantturn/internal/fake/backend"
	"github.com/currantturn/currantturn/internal/fake/fabric"
	"github.com/currantturn/currantturn/internal/protocol/seal"
	"github.com/currantturn/currantturn/internal/transport/entry"
	"github.com/currantturn/currantturn/internal/transport/identity"
	"github.com/currantturn/currantturn/pkg/patch"
	"golang.org/x/sync/errgroup"
)

var loopback = netip.MustParseAddrPort("127.0.0.1:0")

// cluster is a running deployment.
type cluster struct {
	plan             Deployment
	fabric           *fabric.Fabric
	callerTLS        *tls.Config // presented to callers by agents
	ca               *authority.Authority
	certDir          string // holds the processes' certificates
	secrets          core.Secrets
	keyRing          seal.Ring
	violations       map[string]int // times that each violated invariant was reported
	platform         *platformServer
	mu               sync.Mutex
	serviceAddresses map[currantturn.ServiceName]netip.AddrPort
	balancers        []*balancerProcess
	hosts            []*host
	balancersStarted int // replaced ones included; numbers their names
}

// balancerProcess is a balancer and the address at which the fabric reaches it.
type balancerProcess struct {
	name          string
	failureDomain currantturn.FailureDomain
	entry         netip.AddrPort
	balancer      *core.Balancer
}

// host is a backend server and the agent beside it.
type host struct {
	id      currantturn.BackendID
	service currantturn.ServiceName
	slots   int
	backend *backend.Backend
	agent   *core.Agent
}

// startCluster starts every process of a deployment and publishes its first
// configuration.
func startCluster(plan Deployment, seed uint64) (*cluster, error) {
	// The fabric's delay is uniform from 0, so that its mean is CallerDelay.
	f, err := fabric.New(fabric.Options{Seed: seed, MaxDelay: 2 * plan.CallerDelay})
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "currantturn-try-")
	if err != nil {
		return nil, err
	}
	ca, err := authority.New(time.Now())
	if err != nil {
		return nil, err
	}
	cfg, err := newCallerTLS(ca)
	if err != nil {
		return nil, err
	}
	secrets, err := core.NewSecrets(binary.BigEndian.AppendUint64(make([]byte, core.MinHashKeyBytes), seed))
	if err != nil {
		return nil, err
	}
	c := &cluster{
		plan:             plan,
		fabric:           f,
		callerTLS:        cfg,
		ca:               ca,
		certDir:          dir,
		serviceAddresses: make(map[currantturn.ServiceName]netip.AddrPort),
		secrets:          secrets,
		keyRing:          seal.Ring{Active: 1, Keys: []seal.Key{{ID: 1, Secret: [seal.SecretBytes]byte{byte(seed), 1}}}},
		violations:       make(map[string]int),
	}
	if c.platform, err = startPlatform(); err != nil {
		return nil, err
	}
	var operations []patch.Operation
	for _, p := range plan.Services {
		op, err := c.startService(p)
		if err != nil {
			return nil, err
		}
		operations = append(operations, op)
	}
	for range plan.Balancers {
		if _, err := c.startBalancer(); err != nil {
			return nil, err
		}
	}
	c.announceBalancers()
	return c, c.platform.publish(operations...)
}

// newSealer returns the sealer of one process; each process has its own sender ID.
func (c *cluster) newSealer() (*seal.Sealer, error) {
	return seal.New(c.keyRing, time.Now, rand.Reader)
}

// newIdentity issues a certificate for one process.
func (c *cluster) newIdentity(p identity.Peer) (*identity.Identity, error) {
	dir := filepath.Join(c.certDir, p.Name)
	if err := os.Mkdir(dir, 0o700); err != nil {
		return nil, err
	}
	files, err := c.ca.Write(time.Now(), dir, p)
	if err != nil {
		return nil, err
	}
	return identity.Open(files, time.Now, c.countViolation)
}

// newCallerTLS returns the TLS configuration with which agents serve callers.
func newCallerTLS(ca *authority.Authority) (*tls.Config, error) {
	cert, key, err := ca.Issue(time.Now(), identity.Peer{Role: currantturn.RoleAgent, Name: "try"}, "try")
	if err != nil {
		return nil, err
	}
	pair, err := tls.X509KeyPair(cert, key)
	if err != nil {
		return nil, err
	}
	return &tls.Config{Certificates: []tls.Certificate{pair}}, nil
}

// countViolation counts the events by which a process reports a violated invariant;
// it ignores other events.
func (c *cluster) countViolation(e currantturn.Event) {
	if e.Number != event.InvariantViolated {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.violations[fmt.Sprint(e.Fields)]++
}

func (c *cluster) violationCounts() map[string]int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return maps.Clone(c.violations)
}

// startService starts the backend servers and agents of a service and returns the
// operation that adds it to the configuration.
func (c *cluster) startService(p ServicePlan) (patch.Operation, error) {
	address, err := c.fabric.AddService()
	if err != nil {
		return nil, err
	}
	c.serviceAddresses[p.Name] = address
	op := patch.AddService{Service: p.Name, Addresses: []netip.AddrPort{address}}
	for i := range p.Backends {
		h, err := c.startHost(p, i)
		if err != nil {
			return nil, err
		}
		c.hosts = append(c.hosts, h)
		op.BackendServers = append(op.BackendServers, currantturn.BackendServer{
			ID:            h.id,
			FailureDomain: c.failureDomain(i),
			Agent:         h.agent.Link(),
			Stream:        h.agent.Stream(),
			Slots:         p.Slots,
			Weight:        p.Slots,
			State:         currantturn.BackendActive,
		})
	}
	return op, nil
}

// failureDomain spreads processes over the failure domains by their index.
func (c *cluster) failureDomain(i int) currantturn.FailureDomain {
	return c.plan.FailureDomains[i%len(c.plan.FailureDomains)]
}

// startHost starts one backend server of a service and its agent.
func (c *cluster) startHost(p ServicePlan, i int) (*host, error) {
	id := currantturn.BackendID(fmt.Sprintf("%s-%d", p.Name, i+1))
	b, err := backend.Start(backend.Options{Name: string(id), Slots: p.Slots, ServiceTime: p.ServiceTime})
	if err != nil {
		return nil, err
	}
	sealer, err := c.newSealer()
	if err != nil {
		return nil, err
	}
	self, err := c.newIdentity(identity.Peer{Role: currantturn.RoleAgent, Name: string(id)})
	if err != nil {
		return nil, err
	}
	a, err := core.StartAgent(core.AgentOptions{
		ID:              id,
		Service:         p.Name,
		FailureDomain:   c.failureDomain(i),
		Link:            loopback,
		Stream:          loopback,
		Backend:         b.Addr(),
		CallerTLS:       c.callerTLS,
		Identity:        self,
		Retention:       claimRetention,
		MaxClaimBytes:   maxClaimBytes,
		ClockSkew:       clockSkew,
		MaxWatches:      admission.DefaultWatchLimit,
		RampUp:          rampUpTime,
		Sealer:          sealer,
		Secrets:         c.secrets,
		Seed:            rank.Seed(id),
		CheckInvariants: true,
		Feed:            c.platform.feedOptions(),
		Clock:           time.Now,
		Report:          c.countViolation,
	})
	if err != nil {
		return nil, err
	}
	return &host{id: id, service: p.Name, slots: p.Slots, backend: b, agent: a}, nil
}

// startBalancer starts a balancer; it receives no callers' packets until
// announceBalancers.
func (c *cluster) startBalancer() (*balancerProcess, error) {
	e, err := entry.OpenProxy(c.fabric.Addr(), loopback)
	if err != nil {
		return nil, err
	}
	sealer, err := c.newSealer()
	if err != nil {
		return nil, err
	}
	c.balancersStarted++
	name := fmt.Sprintf("entry-%d", c.balancersStarted)
	b, err := core.StartBalancer(core.BalancerOptions{
		Name:          currantturn.VMName(name),
		FailureDomain: c.failureDomain(c.balancersStarted - 1),
		Link:          loopback,
		Entry:         e,
		Sealer:        sealer,
		Secrets:       c.secrets,
		Seed:          uint64(c.balancersStarted),
		Feed:          c.platform.feedOptions(),
		Clock:         time.Now,
		Report:        c.countViolation,
	})
	if err != nil {
		return nil, err
	}
	process := &balancerProcess{name: name, failureDomain: c.failureDomain(c.balancersStarted - 1), entry: e.Addr(), balancer: b}
	c.balancers = append(c.balancers, process)
	return process, nil
}

// announceBalancers passes the current balancers to the fabric and to the platform's
// list of VMs.
func (c *cluster) announceBalancers() {
	entries := make([]netip.AddrPort, 0, len(c.balancers))
	vms := make([]currantturn.VM, 0, len(c.balancers))
	for _, b := range c.balancers {
		entries = append(entries, b.entry)
		vms = append(vms, currantturn.VM{
			Name:          currantturn.VMName(b.name),
			Role:          currantturn.RoleBalancer,
			FailureDomain: b.failureDomain,
			Link:          b.balancer.Link(),
			State:         currantturn.VMLive,
		})
	}
	c.fabric.SetBalancers(entries)
	c.platform.fake.SetVMs(vms)
}

// replaceBalancer starts a balancer and then takes the oldest one out of service.
func (c *cluster) replaceBalancer() error {
	if _, err := c.startBalancer(); err != nil {
		return err
	}
	old := c.balancers[0]
	c.balancers = c.balancers[1:]
	c.announceBalancers()
	time.Sleep(fabricSettleTime)
	return old.balancer.Close()
}

// close shuts down all agents in parallel and then closes the other parts at once.
// It returns the first error of an agent.
func (c *cluster) close(ctx context.Context) error {
	var stops errgroup.Group
	for _, h := range c.hosts {
		stops.Go(func() error { return h.agent.Shutdown(ctx) })
	}
	err := stops.Wait()
	for _, h := range c.hosts {
		_ = h.backend.Close()
	}
	for _, b := range c.balancers {
		_ = b.balancer.Close()
	}
	_ = c.fabric.Close()
	c.platform.close()
	_ = os.RemoveAll(c.certDir)
	return err
}

// processCount returns the number of agents and balancers.
func (c *cluster) processCount() int {
	return len(c.hosts) + len(c.balancers)
}
