package core

import (
	"context"
	"net"
	"net/netip"
	"time"

	"github.com/currantturn/currantturn"
	"github.com/currantturn/currantturn/internal/coordination/flowagent"
	"github.com/currantturn/currantturn/internal/pause"
	"github.com/currantturn/currantturn/internal/transport/datagram"
)

// FlowAgentOptions holds the settings and the parts of an agent of opaque flows.
type FlowAgentOptions struct {
	Name          currantturn.BackendID
	Codec         currantturn.PacketCodec
	Service       currantturn.ServiceName
	Link          netip.AddrPort
	Outbound      netip.AddrPort   // where the backend server sends packets to
	Backend       netip.AddrPort   // where the backend server receives packets
	CallerPort    uint16           // at which callers receive packets
	Seeds         []netip.AddrPort // state addresses of balancers
	FailureDomain currantturn.FailureDomain
	FreshStart    bool // no flow can be older than this process
	// WarmUpOvershoot and WarmUpTolerance are as in flowagent.Options.
	WarmUpOvershoot, WarmUpTolerance float64

	Clock  func() time.Time
	Report func(currantturn.Event)
}

// FlowAgent is a running agent of opaque flows.
type FlowAgent struct {
	*flowagent.Agent
	node     *relayNode
	outbound *datagram.Socket
	cancel   context.CancelFunc
}

// StartFlowAgent binds the sockets and starts an agent of opaque flows.
func StartFlowAgent(opts FlowAgentOptions) (*FlowAgent, error) {
	link, outbound, err := listenPair(opts.Link, opts.Outbound)
	if err != nil {
		return nil, err
	}
	a := &FlowAgent{
		Agent: flowagent.New(flowagent.Options{
			Codec: opts.Codec, Service: opts.Service, Backend: opts.Name,
			LinkPort: opts.Link.Port(), Started: opts.Clock(), Fresh: opts.FreshStart,
			Seeds: seedLinks(opts.Seeds, opts.Link), FailureDomain: opts.FailureDomain,
			WarmUpOvershoot: opts.WarmUpOvershoot, WarmUpTolerance: opts.WarmUpTolerance,
		}),
		outbound: outbound,
	}
	a.node = &relayNode{
		clock: opts.Clock, codec: opts.Codec, link: link, ownService: a.Service, report: opts.Report,
		hasPending: a.Pending, wake: make(chan struct{}, 1),
		deliver: func(p *currantturn.Packet) error { return outbound.Write(opts.Backend, p.Payload) },
		sendToCaller: func(p *currantturn.Packet) error {
			return link.Write(netip.AddrPortFrom(p.Flow.Caller.Addr(), opts.CallerPort), p.Payload)
		},
	}
	ctx, cancel := context.WithCancel(context.Background())
	a.cancel = cancel
	go a.node.serve(link, a.receiveFrame)
	go a.node.serve(outbound, a.receiveFromBackend)
	go a.node.tickLoop(ctx, idleTickInterval, a.Tick)
	go a.announceLoop(ctx, opts.Backend)
	return a, nil
}

// receiveFrame handles a frame from a balancer.
func (a *FlowAgent) receiveFrame(from netip.AddrPort, frame []byte) {
	a.node.receiveFrame(from, frame, a, func(from netip.AddrPort, m currantturn.Message) {
		a.node.decide(func(now time.Time, out *currantturn.Effects) { a.Handle(now, from, m, out) })
	})
}

// receiveFromBackend handles a packet from the backend server.
func (a *FlowAgent) receiveFromBackend(from netip.AddrPort, datagram []byte) {
	var p currantturn.Packet
	if err := a.node.codec.Decode(datagram, currantturn.ToCaller, &p); err != nil {
		a.node.reportUndecodable(from, err)
		return
	}
	a.node.decide(func(now time.Time, out *currantturn.Effects) { a.Answer(now, &p, out) })
}

// announceLoop sends announcements when they are due and the backend server accepts
// connections, until the context ends.
func (a *FlowAgent) announceLoop(ctx context.Context, backend netip.AddrPort) {
	dialer := net.Dialer{Timeout: backendDialTimeout}
	for ctx.Err() == nil {
		if a.AnnounceDue(a.node.clock()) {
			// A refused connection is normal beside a backend server that has ended.
			if conn, err := dialer.DialContext(ctx, "tcp4", backend.String()); err == nil {
				_ = conn.Close() // nothing was sent
				a.node.decide(a.Announce)
			}
		}
		pause.For(ctx, announceCheckInterval)
	}
}

// Stop declines new flows and waits up to stopDelay for the requests in progress. It then
// delivers those that wait to the backend server and closes the agent.
func (a *FlowAgent) Stop(ctx context.Context) error {
	a.MarkStopping()
	for waited := time.Duration(0); waited < stopDelay && !a.Finished() && ctx.Err() == nil; waited += stopCheckInterval {
		pause.For(ctx, stopCheckInterval)
	}
	a.node.decide(a.ReleaseAll)
	return a.Close()
}

const (
	// announceCheckInterval is how often an agent checks whether to announce itself.
	announceCheckInterval = 100 * time.Millisecond
	// backendDialTimeout limits the time to open a connection to the backend server on
	// the own VM.
	backendDialTimeout = 100 * time.Millisecond
	// stopDelay is how long a planned stop waits for requests in progress: longer than
	// most take, and a fraction of the time in which a process has to stop.
	stopDelay = time.Second
	// stopCheckInterval is how often a planned stop checks whether they have ended.
	stopCheckInterval = 10 * time.Millisecond
)

// Close stops the agent at once.
func (a *FlowAgent) Close() error {
	a.cancel()
	_ = a.outbound.Close() // the socket buffers no writes
	return a.node.link.Close()
}
