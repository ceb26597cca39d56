package core

import (
	"context"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/currantturn/currantturn"
	"github.com/currantturn/currantturn/internal/coordination/balancer"
)

// BalancerOptions holds the settings and the parts of a balancer process.
type BalancerOptions struct {
	Name          currantturn.VMName
	FailureDomain currantturn.FailureDomain
	Link          netip.AddrPort // where the link listens
	Advertise     netip.AddrPort // link address that peers send to
	Entry         currantturn.Entry
	Sealer        currantturn.Sealer
	Secrets       Secrets
	Seed          uint64 // of random choices
	MaxHints      int    // maximum size of the hint cache; 0 means its default
	Feed          FeedOptions
	Clock         func() time.Time
	Report        func(currantturn.Event)
}

// Balancer is a running balancer process.
type Balancer struct {
	node      *node
	entry     currantturn.Entry
	machine   *balancer.Balancer
	feed      *feed // nil if configurations come from Configure alone
	stopping  atomic.Bool
	cancel    context.CancelFunc
	serveDone chan struct{}
}

// StartBalancer binds the sockets and starts a balancer.
func StartBalancer(opts BalancerOptions) (*Balancer, error) {
	n, err := openNode(opts.Link, opts.Advertise, opts.Sealer, opts.Clock, opts.Report)
	if err != nil {
		return nil, err
	}
	n.entry = opts.Entry
	machine := balancer.New(balancer.Options{
		Self:     n.link.Self(),
		Key:      opts.Secrets.Rank,
		Seed:     opts.Seed,
		ConnIDs:  opts.Secrets.ConnIDs,
		MaxHints: opts.MaxHints,
	})
	n.router = machine
	n.addMachine(machine, balancer.Kinds()...)
	b := &Balancer{node: n, entry: opts.Entry, machine: machine, serveDone: make(chan struct{})}
	if opts.Feed.Platform != nil {
		b.feed = n.startFeed(opts.Feed, opts.FailureDomain, opts.Seed, machine)
	}
	ctx, cancel := context.WithCancel(context.Background())
	b.cancel = cancel
	n.start(ctx)
	go b.serve()
	return b, nil
}

// Link returns the link address that agents send to.
func (b *Balancer) Link() netip.AddrPort {
	return b.node.link.Self()
}

// Configure puts a configuration in force, unless one of the same or a higher
// version is.
func (b *Balancer) Configure(v *currantturn.View) {
	b.node.configure(v)
}

// Close stops the balancer at once.
func (b *Balancer) Close() error {
	b.cancel()
	b.feed.close()
	err := b.entry.Close()
	<-b.serveDone
	if e := b.node.link.Close(); err == nil {
		err = e
	}
	return err
}

// serve routes callers' packets until the entry is closed.
func (b *Balancer) serve() {
	defer close(b.serveDone)
	_ = b.entry.Serve(func(p *currantturn.Packet) {
		e := currantturn.Envelope{Direction: currantturn.ToBackend, Packet: *p}
		b.node.ReceiveEnvelope(netip.AddrPort{}, &e)
	})
}
