package core

import (
	"context"
	"net/netip"
	"time"

	"github.com/currantturn/currantturn"
	"github.com/currantturn/currantturn/internal/coordination/flowagent"
	"github.com/currantturn/currantturn/internal/transport/datagram"
)

// FlowAgentOptions are an agent of opaque flows and its surroundings.
type FlowAgentOptions struct {
	Name       currantturn.BackendID
	Codec      currantturn.PacketCodec
	Service    currantturn.ServiceName
	Link       netip.AddrPort
	Outbound   netip.AddrPort // the backend server sends here
	Backend    netip.AddrPort // and takes packets here
	CallerPort uint16         // at which callers take packets
	Fresh      bool           // no flow is older than this process
	Clock      func() time.Time
	Report     func(currantturn.Event)
}

// FlowAgent is a running agent of opaque flows.
type FlowAgent struct {
	*flowagent.Agent
	node     *relayNode
	outbound *datagram.Socket
	cancel   context.CancelFunc
}

// StartFlowAgent binds the sockets and serves.
func StartFlowAgent(opts FlowAgentOptions) (*FlowAgent, error) {
	link, outbound, err := listenBoth(opts.Link, opts.Outbound)
	if err != nil {
		return nil, err
	}
	a := &FlowAgent{
		Agent: flowagent.New(flowagent.Options{
			Codec: opts.Codec, Service: opts.Service, Backend: opts.Name,
			LinkPort: opts.Link.Port(), Started: opts.Clock(), Fresh: opts.Fresh,
		}),
		outbound: outbound,
	}
	a.node = &relayNode{
		clock: opts.Clock, codec: opts.Codec, link: link, own: a.Service, report: opts.Report,
		pending: a.Pending, wake: make(chan struct{}, 1),
		deliver: func(p *currantturn.Packet) error { return outbound.Write(opts.Backend, p.Payload) },
		answer: func(p *currantturn.Packet) error {
			return link.Write(netip.AddrPortFrom(p.Flow.Caller.Addr(), opts.CallerPort), p.Payload)
		},
	}
	ctx, cancel := context.WithCancel(context.Background())
	a.cancel = cancel
	go a.node.serve(link, a.fromBalancer)
	go a.node.serve(outbound, a.fromBackend)
	go a.node.tick(ctx, restingTick, a.Tick)
	return a, nil
}

func (a *FlowAgent) fromBalancer(from netip.AddrPort, frame []byte) {
	a.node.receive(from, frame, a, func(from netip.AddrPort, m currantturn.Message) {
		a.node.decide(func(now time.Time, out *currantturn.Effects) { a.Handle(now, from, m, out) })
	})
}

func (a *FlowAgent) fromBackend(from netip.AddrPort, packet []byte) {
	var p currantturn.Packet
	if err := a.node.codec.Decode(packet, currantturn.ToCaller, &p); err != nil {
		a.node.unreadable(from, err)
		return
	}
	a.node.decide(func(now time.Time, out *currantturn.Effects) { a.Answer(now, &p, out) })
}

// Close stops the agent.
func (a *FlowAgent) Close() error {
	a.cancel()
	_ = a.outbound.Close() // nothing is buffered
	return a.node.link.Close()
}
