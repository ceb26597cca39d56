package core

import (
	"context"
	"crypto/tls"
	"math/rand/v2"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/currantturn/currantturn"
	"github.com/currantturn/currantturn/internal/coordination/admission"
	"github.com/currantturn/currantturn/internal/coordination/agent"
	"github.com/currantturn/currantturn/internal/coordination/claim"
	"github.com/currantturn/currantturn/internal/coordination/limit"
	"github.com/currantturn/currantturn/internal/transport/identity"
	"github.com/currantturn/currantturn/internal/transport/link"
	"github.com/currantturn/currantturn/internal/transport/probe"
	"github.com/currantturn/currantturn/internal/transport/request"
)

// AgentOptions are the parts of an agent process; a zero bound takes its
// package's default.
type AgentOptions struct {
	ID        currantturn.BackendID
	Service   currantturn.ServiceName
	Domain    currantturn.FailureDomain
	Link      netip.AddrPort
	Advertise netip.AddrPort
	Stream    netip.AddrPort // where peers pass requests
	Backend   netip.AddrPort // HTTP address of the backend server
	Prober    *probe.Prober  // nil without health and load endpoints
	CallerTLS *tls.Config
	Identity  *identity.Identity
	Sealer    currantturn.Sealer
	Secrets   Secrets
	Seed      uint64 // of random choices
	Assert    bool   // report broken invariants
	Records   int    // flow records
	FlowIdle  time.Duration
	Retention time.Duration // of claims, outcomes and answers
	ClaimSize int           // bytes of the record store
	ClockSkew time.Duration
	Watches   int
	ColdFor   time.Duration
	Limits    limit.Limits
	Feed      FeedOptions
	Clock     func() time.Time
	Report    func(currantturn.Event)
}

// Agent is a running agent process.
//
//	flowconn -> QUIC -> limiter -> request.Handler -> claims, gate -> backend server
//	                                     |
//	                                     +-> a peer's request.PeerServer
type Agent struct {
	node     *node
	opts     AgentOptions
	machine  *agent.Agent
	claims   *claim.Claims
	gate     *admission.Gate
	limiter  *limit.Limiter
	handler  *request.Handler
	peers    *request.PeerServer
	feed     *feed // nil when configured by Configure alone
	stopping atomic.Bool
	cancel   context.CancelFunc
	mu       sync.Mutex
	services map[netip.AddrPort]*front
}

// StartAgent binds the sockets and starts an agent.
func StartAgent(opts AgentOptions) (*Agent, error) {
	n, err := openNode(opts.Link, opts.Advertise, opts.Sealer, opts.Clock, opts.Report)
	if err != nil {
		return nil, err
	}
	a := &Agent{node: n, opts: opts, services: make(map[netip.AddrPort]*front)}
	a.assemble(n.link)
	a.peers, err = request.StartPeers(
		opts.Stream, opts.Identity.ServerTLS(identity.AnyOf(currantturn.RoleAgent)), a.handler.Peer())
	if err != nil {
		_ = n.link.Close()
		return nil, err
	}
	n.router, n.answerer, n.deliver = limit.NewGuard(a.machine, a.limiter), a.machine, a.deliver
	n.add(a.machine, agent.Kinds()...)
	n.add(a.claims, claim.Kinds...)
	n.add(a.gate)
	n.add((*bounds)(a))
	n.add(&absent{members: a.machine.Members(), claims: a.claims})
	if opts.Feed.Platform != nil {
		a.feed = n.follow(opts.Feed, opts.Domain, opts.Seed, a.machine)
	}
	ctx, cancel := context.WithCancel(context.Background())
	a.cancel = cancel
	n.start(ctx)
	go a.probe(ctx)
	return a, nil
}

// assemble makes the machines, which all decide without I/O.
func (a *Agent) assemble(l *link.Link) {
	opts, now := &a.opts, a.opts.Clock()
	a.gate = admission.New(admission.Options{
		ID:      opts.ID,
		Service: opts.Service,
		Started: now,
		ColdFor: opts.ColdFor,
		Watches: opts.Watches,
		Rand:    rand.New(rand.NewPCG(opts.Seed, 1)),
	})
	a.claims = claim.New(claim.Options{
		Service:     opts.Service,
		Self:        l.Self(),
		Incarnation: uint64(now.UnixNano()),
		Started:     now,
		Key:         opts.Secrets.Rank,
		Retention:   opts.Retention,
		Bytes:       opts.ClaimSize,
		ClockSkew:   opts.ClockSkew,
	})
	a.machine = agent.New(agent.Options{
		ID:       opts.ID,
		Service:  opts.Service,
		Self:     l.Self(),
		Key:      opts.Secrets.Rank,
		Seed:     opts.Seed,
		ConnIDs:  opts.Secrets.ConnIDs,
		Load:     func() currantturn.Load { return a.gate.Load(opts.Clock()) },
		PeerLoad: a.gate.PeerLoad,
		Records:  opts.Records,
		Idle:     opts.FlowIdle,
		Assert:   opts.Assert,
	})
	a.limiter = limit.New(opts.Limits, opts.Secrets.Rank)
	a.handler = request.New(request.Options{
		Service: opts.Service,
		Backend: opts.Backend,
		Claims:  a.claims,
		Gate:    a.gate,
		PeerTLS: opts.Identity.ClientTLS(identity.AnyOf(currantturn.RoleAgent)),
		Clock:   opts.Clock,
		Carry:   a.node.carry,
		Rand:    rand.New(rand.NewPCG(opts.Seed, 2)),
	})
}

// Link is the address by which peers know the agent.
func (a *Agent) Link() netip.AddrPort {
	return a.node.link.Self()
}

// Stream is the address at which peers pass requests.
func (a *Agent) Stream() netip.AddrPort {
	return a.peers.Addr()
}

// Configure puts a configuration in force.
func (a *Agent) Configure(v *currantturn.View) {
	a.node.configure(v)
}

// deliver hands a caller's packet to the QUIC server of its service address.
func (a *Agent) deliver(p *currantturn.Packet) {
	if f := a.front(p.Flow.Service); f != nil {
		f.conn.Deliver(p.Flow.Caller, p.Payload)
	}
}

// front returns the server of a service address, or nil after a stop.
func (a *Agent) front(service netip.AddrPort) *front {
	a.mu.Lock()
	defer a.mu.Unlock()
	f := a.services[service]
	if f == nil && a.services != nil {
		f = newFront(service, a)
		a.services[service] = f
	}
	return f
}

func (a *Agent) fronts() []*front {
	a.mu.Lock()
	defer a.mu.Unlock()
	all := make([]*front, 0, len(a.services))
	for _, f := range a.services {
		all = append(all, f)
	}
	return all
}
