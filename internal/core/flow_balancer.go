package core

import (
	"context"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/currantturn/currantturn"
	"github.com/currantturn/currantturn/internal/coordination/flowbalancer"
	"github.com/currantturn/currantturn/internal/coordination/statesync"
	"github.com/currantturn/currantturn/internal/event"
	"github.com/currantturn/currantturn/internal/pause"
	"github.com/currantturn/currantturn/internal/protocol/relay"
	"github.com/currantturn/currantturn/internal/transport/datagram"
)

// bytesPerMegabit converts the capacity of a network link to bytes per second.
const bytesPerMegabit = 1e6 / 8

// FlowBalancerOptions holds the settings and the parts of a balancer of opaque
// flows.
type FlowBalancerOptions struct {
	Codec         currantturn.PacketCodec
	Store         currantturn.Store
	FailureDomain currantturn.FailureDomain
	Link          netip.AddrPort
	Callers       netip.AddrPort   // where callers' packets arrive
	State         netip.AddrPort   // where other balancers read the published state
	Seeds         []netip.AddrPort // state addresses of other balancers
	ApplyWithin   time.Duration    // in which a published configuration must come into force
	LinkCapacity  float64          // of the network link, Mbit/s
	Seed          uint64           // of random choices
	FreshStart    bool             // no flow can be older than this process
	Overflow      bool             // new flows may leave an overloaded service for another one of their route
	// Pull reads the published state at another balancer's state address,
	// without the routing if that has the known version.
	Pull   func(ctx context.Context, at netip.AddrPort, known currantturn.Version) (statesync.State, error)
	Clock  func() time.Time
	Report func(currantturn.Event)
}

// FlowBalancer is a running balancer of opaque flows.
type FlowBalancer struct {
	*flowbalancer.Balancer
	opts         FlowBalancerOptions
	feed         *statesync.Feed
	node         *relayNode
	callers      *datagram.Socket
	pulling      atomic.Bool // one pull at a time
	stopping     atomic.Bool
	stateChanged atomic.Bool // the feed's state has changed since the last call of Publish
	lastPublish  time.Time   // only the tick uses it
	cancel       context.CancelFunc
}

// StartFlowBalancer binds the sockets and starts a balancer of opaque flows, which
// reads the store.
func StartFlowBalancer(opts FlowBalancerOptions) (*FlowBalancer, error) {
	link, callers, err := listenPair(opts.Link, opts.Callers)
	if err != nil {
		return nil, err
	}
	b := &FlowBalancer{
		Balancer: flowbalancer.New(flowbalancer.Options{
			Codec: opts.Codec, Domain: opts.FailureDomain, Self: opts.Link, AgentPort: opts.Link.Port(), Seed: opts.Seed,
			LinkRate: opts.LinkCapacity * bytesPerMegabit, NoOverflow: !opts.Overflow,
		}),
		opts:    opts,
		callers: callers,
		feed: statesync.New(opts.Clock(), statesync.Options{
			Self: opts.Link, Seeds: seedLinks(opts.Seeds, opts.Link), Seed: opts.Seed, ApplyWithin: opts.ApplyWithin,
			Capacity: opts.LinkCapacity, Fresh: opts.FreshStart,
		}),
	}
	b.node = &relayNode{
		clock: opts.Clock, codec: opts.Codec, link: link, report: opts.Report,
		hasPending: func() bool { return b.stateChanged.Load() || b.Pending() }, wake: make(chan struct{}, 1),
		ownService: func() currantturn.ServiceName { return "" },
		sendToCaller: func(p *currantturn.Packet) error {
			return callers.Write(netip.AddrPortFrom(p.Flow.Caller.Addr(), opts.Callers.Port()), p.Payload)
		},
	}
	ctx, cancel := context.WithCancel(context.Background())
	b.cancel = cancel
	go b.node.serve(link, b.receiveFrame)
	go b.node.serve(callers, b.receiveFromCaller)
	go b.node.tickLoop(ctx, idleTickInterval, b.tick)
	go b.readStore(ctx)
	return b, nil
}

// Serving reports whether the routers may send packets here.
func (b *FlowBalancer) Serving() bool {
	return b.Ready() && !b.stopping.Load() && !b.Isolated(b.node.clock())
}

// MarkStopping takes the balancer out of the routers' rotation; packets that still
// arrive are forwarded.
func (b *FlowBalancer) MarkStopping() {
	b.stopping.Store(true)
}

// Published returns the newest state that the feed has.
func (b *FlowBalancer) Published() statesync.State {
	return b.feed.State(b.opts.Clock())
}

// PublishedCounters returns the feed's totals of reading published states.
func (b *FlowBalancer) PublishedCounters() statesync.Counters {
	c := b.feed.Counters(b.opts.Clock())
	c.Unreadable = b.opts.Store.Unreadable()
	return c
}

// Close stops the balancer at once.
func (b *FlowBalancer) Close() error {
	b.cancel()
	_ = b.callers.Close() // the socket buffers no writes
	return b.node.link.Close()
}

// receiveFromCaller handles a packet from a caller.
func (b *FlowBalancer) receiveFromCaller(from netip.AddrPort, datagram []byte) {
	e := currantturn.Envelope{Direction: currantturn.ToBackend}
	if err := b.node.codec.Decode(datagram, currantturn.ToBackend, &e.Packet); err != nil {
		b.node.reportUndecodable(from, err)
		return
	}
	b.node.decide(func(now time.Time, out *currantturn.Effects) { b.Route(now, netip.AddrPort{}, &e, out) })
}

// receiveFrame handles a frame from another balancer or an agent.
func (b *FlowBalancer) receiveFrame(from netip.AddrPort, frame []byte) {
	b.node.receiveFrame(from, frame, b, func(from netip.AddrPort, m currantturn.Message) {
		switch m := m.(type) {
		case statesync.Heartbeat:
			b.handleHeartbeat(from, m)
			return
		case relay.Announce:
			if b.feed.HandleAnnounce(b.node.clock(), from, m) {
				b.stateChanged.Store(true)
			}
			return
		}
		b.node.decide(func(now time.Time, out *currantturn.Effects) { b.Handle(now, from, m, out) })
	})
}

// handleHeartbeat passes another balancer's heartbeat to the feed, and pulls that
// balancer's state if it is newer and the heartbeat does not hold all changes.
func (b *FlowBalancer) handleHeartbeat(from netip.AddrPort, h statesync.Heartbeat) {
	var outcome statesync.Outcome
	b.node.decide(func(now time.Time, out *currantturn.Effects) { outcome = b.feed.HandleHeartbeat(now, from, h, out) })
	switch outcome {
	case statesync.OutcomeChanged:
		b.stateChanged.Store(true)
	case statesync.OutcomePull:
		if b.pulling.CompareAndSwap(false, true) {
			go b.pull(from)
		}
	}
}

// tick calls the machines and puts a changed state in force.
func (b *FlowBalancer) tick(now time.Time, out *currantturn.Effects) {
	b.SetDelegates(b.feed.Delegates(now))
	b.SetPeers(b.feed.PeerCount(now))
	if b.feed.Tick(now, out) {
		b.stateChanged.Store(true)
	}
	if now.Sub(b.lastPublish) >= minPublishInterval && b.stateChanged.CompareAndSwap(true, false) {
		b.lastPublish = now
		b.Publish(now, b.feed.State(now), out)
	}
	if b.DrainNoticesDue(now) {
		b.SetBalancers(b.feed.Alive(now))
	}
	b.Tick(now, out)
}

// minPublishInterval is the minimum time between two calls of Publish: many
// registrations may change at once, and a plan for thousands of them takes some
// milliseconds.
const minPublishInterval = 100 * time.Millisecond

// pullTimeout limits the time of reading another balancer's state; Pull has its own limit
// on pauses.
const pullTimeout = 10 * time.Second

// pull reads the newer state of another balancer and applies it.
func (b *FlowBalancer) pull(peer netip.AddrPort) {
	defer b.pulling.Store(false)
	ctx, cancel := context.WithTimeout(context.Background(), pullTimeout)
	defer cancel()
	current := b.feed.State(b.opts.Clock())
	pulled, err := b.opts.Pull(ctx, netip.AddrPortFrom(peer.Addr(), b.opts.State.Port()), current.RoutingVersion())
	if err != nil {
		b.node.reportError(peer, err)
		return
	}
	b.node.decide(func(now time.Time, out *currantturn.Effects) {
		b.feed.ApplyPulled(now, pulled, out)
		b.stateChanged.Store(true)
		out.Event(event.StatePulled, event.F("peer", peer), event.F("era", pulled.Era), event.F("revision", pulled.Revision))
	})
}

// readStore executes the feed's steps until the context ends.
func (b *FlowBalancer) readStore(ctx context.Context) {
	for ctx.Err() == nil {
		switch next := b.feed.Next(b.node.clock()); next.Step {
		case statesync.StepList:
			b.listStore(ctx)
		case statesync.StepWatch:
			changes, err := b.opts.Store.Watch(ctx, next.After.Revision, next.Wait)
			b.applyRead(changes.Era, err, func(now time.Time, out *currantturn.Effects) {
				b.feed.ApplyChanges(now, next.After, changes, out)
			}, len(changes.Items) > 0)
		default:
			pause.For(ctx, next.Wait)
		}
	}
}

// listStore reads the configuration and all registrations.
func (b *FlowBalancer) listStore(ctx context.Context) {
	started := b.node.clock()
	routing, err := b.opts.Store.Configuration(ctx)
	era := routing.Era
	if err == nil {
		var registrations currantturn.Listing
		registrations, err = b.opts.Store.Registrations(ctx)
		era = registrations.Era
		if err == nil {
			b.applyRead(era, nil, func(now time.Time, out *currantturn.Effects) {
				b.feed.ApplyListing(now, started, routing, registrations, out)
			}, true)
			return
		}
	}
	b.applyRead(era, err, nil, false)
}

// applyRead passes the result of a read, with the era of the store's response, to the
// feed. If it changed something, the
// next tick puts that in force, and heartbeats are sent at once.
func (b *FlowBalancer) applyRead(era uint64, err error, apply func(time.Time, *currantturn.Effects), changed bool) {
	b.node.decide(func(now time.Time, out *currantturn.Effects) {
		if err != nil {
			b.feed.RecordFailure(now, era, err, out)
			return
		}
		apply(now, out)
		if changed {
			b.stateChanged.Store(true)
			b.feed.SendHeartbeats(now, out)
		}
	})
}
