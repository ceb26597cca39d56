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

// site is a running deployment.
type site struct {
	plan      Deployment
	fabric    *fabric.Fabric
	tls       *tls.Config // towards callers
	ca        *authority.Authority
	dir       string // of the processes' certificates
	secrets   core.Secrets
	ring      seal.Ring
	broken    map[string]int // invariants that a process reported as broken
	platform  *published
	mu        sync.Mutex
	addresses map[currantturn.ServiceName]netip.AddrPort
	balancers []*door
	hosts     []*host
	started   int // balancers started so far
}

// door is a balancer and the address at which the fabric reaches it.
type door struct {
	name     string
	domain   currantturn.FailureDomain
	entry    netip.AddrPort
	balancer *core.Balancer
}

// host is a backend server and the agent beside it.
type host struct {
	id      currantturn.BackendID
	service currantturn.ServiceName
	slots   int
	backend *backend.Backend
	agent   *core.Agent
}

func startSite(plan Deployment, seed uint64) (*site, error) {
	f, err := fabric.New(fabric.Options{Seed: seed, Delay: 2 * plan.Callers})
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
	cfg, err := callerTLS(ca)
	if err != nil {
		return nil, err
	}
	secrets, err := core.NewSecrets(binary.BigEndian.AppendUint64(make([]byte, core.MasterBytes), seed))
	if err != nil {
		return nil, err
	}
	s := &site{
		plan:      plan,
		fabric:    f,
		tls:       cfg,
		ca:        ca,
		dir:       dir,
		addresses: make(map[currantturn.ServiceName]netip.AddrPort),
		secrets:   secrets,
		ring:      seal.Ring{Active: 1, Keys: []seal.Key{{ID: 1, Secret: [seal.SecretBytes]byte{byte(seed), 1}}}},
		broken:    make(map[string]int),
	}
	if s.platform, err = startPublished(); err != nil {
		return nil, err
	}
	var first []patch.Operation
	for _, p := range plan.Services {
		op, err := s.startService(p)
		if err != nil {
			return nil, err
		}
		first = append(first, op)
	}
	for range plan.Balancers {
		if _, err := s.startBalancer(); err != nil {
			return nil, err
		}
	}
	s.spray()
	return s, s.platform.publish(first...)
}

// sealer returns the sealer of one process; each has a sender of its own.
func (s *site) sealer() (*seal.Sealer, error) {
	return seal.New(s.ring, time.Now, rand.Reader)
}

// identity issues the certificate of one process.
func (s *site) identity(p identity.Peer) (*identity.Identity, error) {
	dir := filepath.Join(s.dir, p.Name)
	if err := os.Mkdir(dir, 0o700); err != nil {
		return nil, err
	}
	files, err := s.ca.Write(time.Now(), dir, p)
	if err != nil {
		return nil, err
	}
	return identity.Open(files, time.Now, s.report)
}

func callerTLS(ca *authority.Authority) (*tls.Config, error) {
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

// report counts the invariants that a process found broken.
func (s *site) report(e currantturn.Event) {
	if e.Number != event.InvariantViolated {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.broken[fmt.Sprint(e.Fields)]++
}

func (s *site) violations() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.broken)
}

func (s *site) startService(p ServicePlan) (patch.Operation, error) {
	address, err := s.fabric.AddService()
	if err != nil {
		return nil, err
	}
	s.addresses[p.Name] = address
	op := patch.AddService{Service: p.Name, Addresses: []netip.AddrPort{address}}
	for i := range p.Backends {
		h, err := s.startHost(p, i)
		if err != nil {
			return nil, err
		}
		s.hosts = append(s.hosts, h)
		op.BackendServers = append(op.BackendServers, currantturn.BackendServer{
			ID:            h.id,
			FailureDomain: s.domain(i),
			Agent:         h.agent.Link(),
			Stream:        h.agent.Stream(),
			Slots:         p.Slots,
			Weight:        p.Slots,
			State:         currantturn.BackendActive,
		})
	}
	return op, nil
}

func (s *site) domain(i int) currantturn.FailureDomain {
	return s.plan.Domains[i%len(s.plan.Domains)]
}

func (s *site) startHost(p ServicePlan, i int) (*host, error) {
	id := currantturn.BackendID(fmt.Sprintf("%s-%d", p.Name, i+1))
	b, err := backend.Start(backend.Options{Name: string(id), Slots: p.Slots, Work: p.Work})
	if err != nil {
		return nil, err
	}
	sealer, err := s.sealer()
	if err != nil {
		return nil, err
	}
	self, err := s.identity(identity.Peer{Role: currantturn.RoleAgent, Name: string(id)})
	if err != nil {
		return nil, err
	}
	a, err := core.StartAgent(core.AgentOptions{
		ID:        id,
		Service:   p.Name,
		Domain:    s.domain(i),
		Link:      loopback,
		Stream:    loopback,
		Backend:   b.Addr(),
		CallerTLS: s.tls,
		Identity:  self,
		Retention: claimRetention,
		ClaimSize: claimStoreBytes,
		ClockSkew: clockSkew,
		Watches:   admission.DefaultWatches,
		ColdFor:   coldFor,
		Sealer:    sealer,
		Secrets:   s.secrets,
		Seed:      rank.Seed(id),
		Assert:    true,
		Feed:      s.platform.feed(),
		Clock:     time.Now,
		Report:    s.report,
	})
	if err != nil {
		return nil, err
	}
	return &host{id: id, service: p.Name, slots: p.Slots, backend: b, agent: a}, nil
}

func (s *site) startBalancer() (*door, error) {
	e, err := entry.OpenProxy(s.fabric.Addr(), loopback)
	if err != nil {
		return nil, err
	}
	sealer, err := s.sealer()
	if err != nil {
		return nil, err
	}
	s.started++
	name := fmt.Sprintf("entry-%d", s.started)
	b, err := core.StartBalancer(core.BalancerOptions{
		Name:    currantturn.VMName(name),
		Domain:  s.domain(s.started - 1),
		Link:    loopback,
		Entry:   e,
		Sealer:  sealer,
		Secrets: s.secrets,
		Seed:    uint64(s.started),
		Feed:    s.platform.feed(),
		Clock:   time.Now,
		Report:  s.report,
	})
	if err != nil {
		return nil, err
	}
	d := &door{name: name, domain: s.domain(s.started - 1), entry: e.Addr(), balancer: b}
	s.balancers = append(s.balancers, d)
	return d, nil
}

// spray tells the fabric and the list of VMs which balancers there are.
func (s *site) spray() {
	entries := make([]netip.AddrPort, 0, len(s.balancers))
	vms := make([]currantturn.VM, 0, len(s.balancers))
	for _, d := range s.balancers {
		entries = append(entries, d.entry)
		vms = append(vms, currantturn.VM{
			Name:          currantturn.VMName(d.name),
			Role:          currantturn.RoleBalancer,
			FailureDomain: d.domain,
			Link:          d.balancer.Link(),
			State:         currantturn.VMLive,
		})
	}
	s.fabric.SetBalancers(entries)
	s.platform.service.SetVMs(vms)
}

// replaceBalancer stops the oldest balancer as planned and starts another.
func (s *site) replaceBalancer() error {
	if _, err := s.startBalancer(); err != nil {
		return err
	}
	old := s.balancers[0]
	s.balancers = s.balancers[1:]
	s.spray()
	time.Sleep(fabricSettle)
	return old.balancer.Close()
}

// close stops every agent as planned, all at once, and then the rest.
func (s *site) close(ctx context.Context) error {
	var stops errgroup.Group
	for _, h := range s.hosts {
		stops.Go(func() error { return h.agent.Shutdown(ctx) })
	}
	err := stops.Wait()
	for _, h := range s.hosts {
		_ = h.backend.Close()
	}
	for _, d := range s.balancers {
		_ = d.balancer.Close()
	}
	_ = s.fabric.Close()
	s.platform.close()
	_ = os.RemoveAll(s.dir)
	return err
}

// processes is how many processes are running.
func (s *site) processes() int {
	return len(s.hosts) + len(s.balancers)
}
