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

// AgentOptions holds the settings and the parts of an agent process; a limit of
// zero means the default of its package.
type AgentOptions struct {
	ID              currantturn.BackendID
	Service         currantturn.ServiceName
	FailureDomain   currantturn.FailureDomain
	Link            netip.AddrPort // where the link listens
	Advertise       netip.AddrPort // link address that peers send to
	Stream          netip.AddrPort // where peers forward requests to
	Backend         netip.AddrPort // HTTP address of the backend server
	Prober          *probe.Prober  // nil without health and load endpoints
	CallerTLS       *tls.Config
	Identity        *identity.Identity
	Sealer          currantturn.Sealer
	Secrets         Secrets
	Seed            uint64        // of random choices
	CheckInvariants bool          // report violated invariants
	MaxFlowRecords  int           // maximum number of flow records
	FlowIdle        time.Duration // after which a flow without traffic ends
	Retention       time.Duration // of claims, outcomes and answers
	MaxClaimBytes   int           // maximum bytes of the claims' records
	ClockSkew       time.Duration // maximum difference between clocks
	MaxWatches      int           // maximum number of responses without end
	RampUp          time.Duration // how long a started backend server ramps up to all its slots
	Limits          limit.Limits
	Feed            FeedOptions
	Clock           func() time.Time
	Report          func(currantturn.Event)
}

// Agent is a running agent process.
//
//	flowconn -> QUIC -> limiter -> request.Handler -> claims, gate -> backend server
//	                                     |
//	                                     +-> a peer's request.PeerServer
type Agent struct {
	node          *node
	opts          AgentOptions
	machine       *agent.Agent
	claims        *claim.Claims
	gate          *admission.Gate
	limiter       *limit.Limiter
	handler       *request.Handler
	peers         *request.PeerServer
	feed          *feed // nil if configurations come from Configure alone
	stopping      atomic.Bool
	cancel        context.CancelFunc
	mu            sync.Mutex
	callerServers map[netip.AddrPort]*callerServer // by service address; nil after Close
}

// StartAgent binds the sockets and starts an agent.
func StartAgent(opts AgentOptions) (*Agent, error) {
	n, err := openNode(opts.Link, opts.Advertise, opts.Sealer, opts.Clock, opts.Report)
	if err != nil {
		return nil, err
	}
	a := &Agent{node: n, opts: opts, callerServers: make(map[netip.AddrPort]*callerServer)}
	a.createMachines(n.link)
	a.peers, err = request.StartPeerServer(
		opts.Stream, opts.Identity.ServerTLS(identity.AnyOf(currantturn.RoleAgent)), a.handler.PeerHandler())
	if err != nil {
		_ = n.link.Close()
		return nil, err
	}
	n.router, n.answerer, n.deliver = limit.NewGuard(a.machine, a.limiter), a.machine, a.deliver
	n.addMachine(a.machine, agent.Kinds()...)
	n.addMachine(a.claims, claim.Kinds...)
	n.addMachine(a.gate)
	n.addMachine((*limitUpdater)(a))
	n.addMachine(&deadOwnerMarker{members: a.machine.Members(), claims: a.claims})
	if opts.Feed.Platform != nil {
		a.feed = n.startFeed(opts.Feed, opts.FailureDomain, opts.Seed, a.machine)
	}
	ctx, cancel := context.WithCancel(context.Background())
	a.cancel = cancel
	n.start(ctx)
	go a.probeLoop(ctx)
	return a, nil
}

// createMachines creates the machines, which decide without I/O, and the request
// handler on top of them.
func (a *Agent) createMachines(linkSocket *link.Link) {
	opts, now := &a.opts, a.opts.Clock()
	a.gate = admission.New(admission.Options{
		ID:         opts.ID,
		Service:    opts.Service,
		Started:    now,
		RampUp:     opts.RampUp,
		WatchLimit: opts.MaxWatches,
		Rand:       rand.New(rand.NewPCG(opts.Seed, 1)),
	})
	a.claims = claim.New(claim.Options{
		Service:     opts.Service,
		Self:        linkSocket.Self(),
		Incarnation: uint64(now.UnixNano()),
		Started:     now,
		Key:         opts.Secrets.Rank,
		Retention:   opts.Retention,
		Bytes:       opts.MaxClaimBytes,
		ClockSkew:   opts.ClockSkew,
	})
	a.machine = agent.New(agent.Options{
		ID:               opts.ID,
		Service:          opts.Service,
		Self:             linkSocket.Self(),
		Key:              opts.Secrets.Rank,
		Seed:             opts.Seed,
		ConnIDs:          opts.Secrets.ConnIDs,
		Load:             func() currantturn.Load { return a.gate.Load(opts.Clock()) },
		PeerLoad:         a.gate.SetPeerLoad,
		MaxRecords:       opts.MaxFlowRecords,
		IdleTimeout:      opts.FlowIdle,
		ReportViolations: opts.CheckInvariants,
	})
	a.limiter = limit.New(opts.Limits, opts.Secrets.Rank)
	a.handler = request.New(request.Options{
		Service:      opts.Service,
		Backend:      opts.Backend,
		Claims:       a.claims,
		Gate:         a.gate,
		PeerTLS:      opts.Identity.ClientTLS(identity.AnyOf(currantturn.RoleAgent)),
		Clock:        opts.Clock,
		ApplyEffects: a.node.execute,
		Rand:         rand.New(rand.NewPCG(opts.Seed, 2)),
	})
}

// Link returns the link address that balancers and peers send to.
func (a *Agent) Link() netip.AddrPort {
	return a.node.link.Self()
}

// Stream returns the address that peers forward requests to.
func (a *Agent) Stream() netip.AddrPort {
	return a.peers.Addr()
}

// Configure puts a configuration in force, unless one of the same or a higher
// version is.
func (a *Agent) Configure(v *currantturn.View) {
	a.node.configure(v)
}

// deliver passes a caller's packet to the QUIC server of its service address.
func (a *Agent) deliver(p *currantturn.Packet) {
	if s := a.callerServer(p.Flow.Service); s != nil {
		s.conn.Deliver(p.Flow.Caller, p.Payload)
	}
}

// callerServer returns the server of a service address, which it starts if
// needed, or nil after Close.
func (a *Agent) callerServer(service netip.AddrPort) *callerServer {
	a.mu.Lock()
	defer a.mu.Unlock()
	s := a.callerServers[service]
	if s == nil && a.callerServers != nil {
		s = newCallerServer(service, a)
		a.callerServers[service] = s
	}
	return s
}

func (a *Agent) allCallerServers() []*callerServer {
	a.mu.Lock()
	defer a.mu.Unlock()
	all := make([]*callerServer, 0, len(a.callerServers))
	for _, s := range a.callerServers {
		all = append(all, s)
	}
	return all
}
