package core

import (
	"context"
	"crypto/tls"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/currantturn/currantturn"
	"github.com/currantturn/currantturn/internal/coordination/agent"
	"github.com/currantturn/currantturn/internal/transport/link"
	"github.com/rotisserie/eris"
)

// AgentOptions are the parts of an agent process.
type AgentOptions struct {
	ID        currantturn.BackendID
	Service   currantturn.ServiceName
	Domain    currantturn.FailureDomain
	Link      netip.AddrPort
	Advertise netip.AddrPort
	Backend   netip.AddrPort // HTTP address of the backend server
	CallerTLS *tls.Config
	Sealer    currantturn.Sealer
	Secrets   Secrets
	Seed      uint64 // of random choices
	Assert    bool   // report broken invariants
	Clock     func() time.Time
	Report    func(currantturn.Event)
}

// Agent is a running agent process.
type Agent struct {
	node     *node
	opts     AgentOptions
	machine  *agent.Agent
	handler  http.Handler
	cancel   context.CancelFunc
	mu       sync.Mutex
	services map[netip.AddrPort]*front
}

// StartAgent binds the sockets and starts an agent.
func StartAgent(opts AgentOptions) (*Agent, error) {
	n := newNode(opts.Clock, opts.Report)
	l, err := link.Open(link.Options{
		Listen: opts.Link, Advertise: opts.Advertise, Sealer: opts.Sealer, Names: n.names, Clock: opts.Clock,
	})
	if err != nil {
		return nil, err
	}
	n.link = l
	forward := newForwarder(opts.Backend)
	machine := agent.New(agent.Options{
		ID:      opts.ID,
		Service: opts.Service,
		Self:    l.Self(),
		Key:     opts.Secrets.Rank,
		Seed:    opts.Seed,
		ConnIDs: opts.Secrets.ConnIDs,
		Load:    forward.load,
		Assert:  opts.Assert,
	})
	n.router = machine
	n.answerer = machine
	n.add(machine, agent.Kinds()...)
	ctx, cancel := context.WithCancel(context.Background())
	a := &Agent{
		node:     n,
		opts:     opts,
		machine:  machine,
		handler:  forward,
		cancel:   cancel,
		services: make(map[netip.AddrPort]*front),
	}
	n.deliver = a.deliver
	l.Start(n, linkReaders)
	go n.tick(ctx)
	return a, nil
}

// Link is the address by which peers know the agent.
func (a *Agent) Link() netip.AddrPort {
	return a.node.link.Self()
}

// Configure puts a configuration in force.
func (a *Agent) Configure(v *currantturn.View) {
	a.node.configure(v)
}

// deliver hands a caller's packet to the QUIC server of its service address.
func (a *Agent) deliver(p *currantturn.Packet) {
	f := a.front(p.Flow.Service)
	f.conn.Deliver(p.Flow.Caller, p.Payload)
}

func (a *Agent) front(service netip.AddrPort) *front {
	a.mu.Lock()
	defer a.mu.Unlock()
	f := a.services[service]
	if f == nil {
		f = newFront(service, a.opts, a.handler, a.node.answer)
		a.services[service] = f
	}
	return f
}

// Shutdown lets requests in progress end, until the context does.
func (a *Agent) Shutdown(ctx context.Context) error {
	a.mu.Lock()
	fronts := make([]*front, 0, len(a.services))
	for _, f := range a.services {
		fronts = append(fronts, f)
	}
	a.mu.Unlock()
	var first error
	for _, f := range fronts {
		if err := f.shutdown(ctx); err != nil && first == nil {
			first = eris.Wrap(err, "shut down the callers' server")
		}
	}
	if err := a.Close(); first == nil {
		first = err
	}
	return first
}

// Close stops at once.
func (a *Agent) Close() error {
	a.cancel()
	a.mu.Lock()
	for _, f := range a.services {
		f.close()
	}
	a.mu.Unlock()
	return a.node.link.Close()
}
