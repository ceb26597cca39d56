package core

import (
	"context"
	"errors"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/currantturn/currantturn"
	"github.com/currantturn/currantturn/internal/coordination/flowbalancer"
	"github.com/currantturn/currantturn/internal/coordination/statesync"
	"github.com/currantturn/currantturn/internal/event"
	"github.com/currantturn/currantturn/internal/pause"
	"github.com/currantturn/currantturn/internal/transport/datagram"
)

// bytesPerMegabit converts a link's capacity.
const bytesPerMegabit = 1e6 / 8

// FlowBalancerOptions are a balancer of opaque flows and its surroundings.
type FlowBalancerOptions struct {
	Codec       currantturn.PacketCodec
	Store       currantturn.Store
	Domain      currantturn.FailureDomain
	Link        netip.AddrPort
	Callers     netip.AddrPort   // callers' packets arrive here
	State       netip.AddrPort   // the published state is read here by other balancers
	Seeds       []netip.AddrPort // state addresses of other balancers
	ApplyWithin time.Duration
	Capacity    float64 // of the network link, Mbit/s
	Seed        uint64
	// Pull reads the published state at another balancer's state address.
	// and leaves out the routing of the known version.
	Pull   func(ctx context.Context, at netip.AddrPort, known currantturn.Version) (statesync.State, error)
	Clock  func() time.Time
	Report func(currantturn.Event)
}

// FlowBalancer is a running balancer of opaque flows.
type FlowBalancer struct {
	*flowbalancer.Balancer
	opts     FlowBalancerOptions
	feed     *statesync.Feed
	node     *relayNode
	callers  *datagram.Socket
	pulling  atomic.Bool
	stopping atomic.Bool
	changed  atomic.Bool // the feed's state, since it was put in force
	inForce  time.Time   // when it was; only the tick uses it
	cancel   context.CancelFunc
}

// StartFlowBalancer binds the sockets, reads the store and serves.
func StartFlowBalancer(opts FlowBalancerOptions) (*FlowBalancer, error) {
	link, callers, err := listenBoth(opts.Link, opts.Callers)
	if err != nil {
		return nil, err
	}
	seeds := make([]netip.AddrPort, len(opts.Seeds))
	for i, s := range opts.Seeds {
		seeds[i] = netip.AddrPortFrom(s.Addr(), opts.Link.Port())
	}
	b := &FlowBalancer{
		Balancer: flowbalancer.New(flowbalancer.Options{
			Codec: opts.Codec, Domain: opts.Domain, AgentPort: opts.Link.Port(), Seed: opts.Seed,
			LinkRate: opts.Capacity * bytesPerMegabit,
		}),
		opts:    opts,
		callers: callers,
		feed: statesync.New(opts.Clock(), statesync.Options{
			Self: opts.Link, Seeds: seeds, Seed: opts.Seed, ApplyWithin: opts.ApplyWithin,
			Capacity: opts.Capacity,
		}),
	}
	b.node = &relayNode{
		clock: opts.Clock, codec: opts.Codec, link: link, report: opts.Report,
		pending: func() bool { return b.changed.Load() || b.Pending() }, wake: make(chan struct{}, 1),
		own: func() currantturn.ServiceName { return "" },
		answer: func(p *currantturn.Packet) error {
			return callers.Write(netip.AddrPortFrom(p.Flow.Caller.Addr(), opts.Callers.Port()), p.Payload)
		},
	}
	ctx, cancel := context.WithCancel(context.Background())
	b.cancel = cancel
	go b.node.serve(link, b.fromProcess)
	go b.node.serve(callers, b.fromCaller)
	go b.node.tick(ctx, restingTick, b.tick)
	go b.read(ctx)
	return b, nil
}

// Serving says whether the routers may send packets here.
func (b *FlowBalancer) Serving() bool {
	return b.Ready() && !b.stopping.Load() && !b.Isolated(b.node.clock())
}

// Stopping takes the balancer out of the routers' rotation; it goes on with
// the packets that still arrive.
func (b *FlowBalancer) Stopping() {
	b.stopping.Store(true)
}

// Published returns the newest published state.
func (b *FlowBalancer) Published() statesync.State {
	return b.feed.State()
}

// PublishedCounters returns the totals of the reading of published states.
func (b *FlowBalancer) PublishedCounters() statesync.Counters {
	return b.feed.Counters(b.opts.Clock())
}

// Close stops the balancer.
func (b *FlowBalancer) Close() error {
	b.cancel()
	_ = b.callers.Close() // nothing is buffered
	return b.node.link.Close()
}

func (b *FlowBalancer) fromCaller(from netip.AddrPort, packet []byte) {
	e := currantturn.Envelope{Direction: currantturn.ToBackend}
	if err := b.node.codec.Decode(packet, currantturn.ToBackend, &e.Packet); err != nil {
		b.node.unreadable(from, err)
		return
	}
	b.node.decide(func(now time.Time, out *currantturn.Effects) { b.Route(now, netip.AddrPort{}, &e, out) })
}

func (b *FlowBalancer) fromProcess(from netip.AddrPort, frame []byte) {
	b.node.receive(from, frame, b, func(from netip.AddrPort, m currantturn.Message) {
		if h, ok := m.(statesync.Heartbeat); ok {
			b.heartbeat(from, h)
			return
		}
		b.node.decide(func(now time.Time, out *currantturn.Effects) { b.Handle(now, from, m, out) })
	})
}

func (b *FlowBalancer) heartbeat(from netip.AddrPort, h statesync.Heartbeat) {
	switch b.feed.Handle(b.node.clock(), from, h) {
	case statesync.NewsChanged:
		b.changed.Store(true)
	case statesync.NewsPull:
		if b.pulling.CompareAndSwap(false, true) {
			go b.pull(from)
		}
	}
}

func (b *FlowBalancer) tick(now time.Time, out *currantturn.Effects) {
	if b.feed.Tick(now, out) {
		b.changed.Store(true)
	}
	if now.Sub(b.inForce) >= planEvery && b.changed.CompareAndSwap(true, false) {
		b.inForce = now
		b.Publish(now, b.feed.State(), out)
	}
	b.Tick(now, out)
}

// planEvery is the shortest time between two plans: many registrations may
// change at once, and a plan of thousands takes some milliseconds.
const planEvery = 100 * time.Millisecond

// pullTimeout bounds the reading of another balancer's state.
const pullTimeout = time.Second

// pull takes the newer state of another balancer.
func (b *FlowBalancer) pull(peer netip.AddrPort) {
	defer b.pulling.Store(false)
	ctx, cancel := context.WithTimeout(context.Background(), pullTimeout)
	defer cancel()
	own := b.feed.State()
	s, err := b.opts.Pull(ctx, netip.AddrPortFrom(peer.Addr(), b.opts.State.Port()), own.Known())
	if err != nil {
		b.node.failed(peer, err)
		return
	}
	b.node.decide(func(_ time.Time, out *currantturn.Effects) {
		b.feed.Pulled(s, out)
		b.changed.Store(true)
		out.Event(event.StatePulled, event.F("peer", peer), event.F("revision", s.Revision))
	})
}

// read carries out the feed's steps until the context ends.
func (b *FlowBalancer) read(ctx context.Context) {
	for ctx.Err() == nil {
		switch plan := b.feed.Next(b.node.clock()); plan.Step {
		case statesync.StepList:
			b.list(ctx)
		case statesync.StepWatch:
			l, err := b.opts.Store.Watch(ctx, plan.After, plan.Wait)
			b.took(err, func(now time.Time, out *currantturn.Effects) { b.feed.Watched(now, l, out) }, len(l.Items) > 0)
		default:
			pause.For(ctx, plan.Wait)
		}
	}
}

func (b *FlowBalancer) list(ctx context.Context) {
	began := b.node.clock()
	routing, err := b.opts.Store.Configuration(ctx)
	if err == nil {
		var servers currantturn.Listing
		if servers, err = b.opts.Store.Registrations(ctx); err == nil {
			b.took(nil, func(now time.Time, out *currantturn.Effects) {
				b.feed.Listed(now, began, routing, servers, out)
			}, true)
			return
		}
	}
	b.took(err, nil, false)
}

// took hands the result of a read to the feed and puts what changed in force.
func (b *FlowBalancer) took(err error, take func(time.Time, *currantturn.Effects), changed bool) {
	b.node.decide(func(now time.Time, out *currantturn.Effects) {
		if err != nil {
			b.feed.Failed(now, errors.Is(err, currantturn.ErrCompacted), err, out)
			return
		}
		take(now, out)
		if changed {
			b.changed.Store(true)
			b.feed.Beat(now, out)
		}
	})
}
