package core

import (
	"context"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/currantturn/currantturn"
	"github.com/currantturn/currantturn/internal/event"
	"github.com/currantturn/currantturn/internal/protocol/relay"
	"github.com/currantturn/currantturn/internal/transport/datagram"
)

// relayTickInterval is the tick interval of the machines of opaque flows; their
// shortest timeout is 40 ms.
const relayTickInterval = 10 * time.Millisecond

// idleTickInterval is the tick interval while nothing is due. Each wake-up of an
// idle process costs up to 0.2 ms of processor time, 2% of a core at
// relayTickInterval; the shortest period of the work that remains is 100 ms.
const idleTickInterval = 50 * time.Millisecond

// relayNode runs the machine of a process of opaque flows and executes its
// effects.
type relayNode struct {
	clock        func() time.Time
	codec        currantturn.PacketCodec
	link         *datagram.Socket // to other processes
	ownService   func() currantturn.ServiceName
	deliver      func(*currantturn.Packet) error // nil at a balancer
	sendToCaller func(*currantturn.Packet) error
	report       func(currantturn.Event)
	hasPending   func() bool   // whether work is due before idleTickInterval ends
	idle         atomic.Bool   // whether the tick loop waits for the idle interval
	wake         chan struct{} // ends the idle interval early
	buffersPool  sync.Pool
}

// listenPair opens the link socket of a process and its other socket; on failure
// neither stays open.
func listenPair(link, other netip.AddrPort) (linkSocket, otherSocket *datagram.Socket, err error) {
	if linkSocket, err = datagram.Listen(link); err != nil {
		return nil, nil, err
	}
	if otherSocket, err = datagram.Listen(other); err != nil {
		_ = linkSocket.Close() // nothing was read
		return nil, nil, err
	}
	return linkSocket, otherSocket, nil
}

// seedLinks returns the link addresses of balancers with the given state addresses; the
// port is that of the own link address.
func seedLinks(seeds []netip.AddrPort, link netip.AddrPort) []netip.AddrPort {
	links := make([]netip.AddrPort, len(seeds))
	for i, s := range seeds {
		links[i] = netip.AddrPortFrom(s.Addr(), link.Port())
	}
	return links
}

// serve passes the datagrams received on a socket to handle until it is closed.
func (n *relayNode) serve(socket *datagram.Socket, handle func(netip.AddrPort, []byte)) {
	if err := socket.Serve(handle); err != nil {
		n.reportError(netip.AddrPort{}, err)
	}
}

// decisionBuffers holds the reusable buffers of one decision.
type decisionBuffers struct {
	out   currantturn.Effects
	frame []byte
}

// decide runs one decision and executes its effects; it wakes an idle tick loop if
// the decision left work that is due soon.
func (n *relayNode) decide(decision func(now time.Time, out *currantturn.Effects)) {
	b, ok := n.buffersPool.Get().(*decisionBuffers)
	if !ok {
		b = &decisionBuffers{frame: make([]byte, 0, relay.MaxBytes)}
	}
	decision(n.clock(), &b.out)
	n.execute(b)
	b.out.Reset()
	n.buffersPool.Put(b)
	if n.idle.Load() && n.hasPending() {
		select {
		case n.wake <- struct{}{}:
		default: // a wake-up is already pending
		}
	}
}

// execute carries out the effects of one decision.
func (n *relayNode) execute(b *decisionBuffers) {
	for i := range b.out.Deliveries {
		n.reportError(netip.AddrPort{}, n.deliver(&b.out.Deliveries[i]))
	}
	for i := range b.out.Answers {
		n.reportError(b.out.Answers[i].Flow.Caller, n.sendToCaller(&b.out.Answers[i]))
	}
	for i := range b.out.Forwards {
		f := &b.out.Forwards[i]
		b.frame = relay.AppendPacket(b.frame[:0], &f.Envelope)
		n.reportError(f.To, n.link.Write(f.To, b.frame))
	}
	for _, s := range b.out.Sends {
		frame, err := relay.AppendMessage(b.frame[:0], s.Message)
		if err == nil {
			err = n.link.Write(s.To, frame)
		}
		n.reportError(s.To, err)
	}
	for _, e := range b.out.Events {
		n.report(e)
	}
}

// reportError reports err unless it is nil. A packet that could not be sent is
// repeated by its sender.
func (n *relayNode) reportError(peer netip.AddrPort, err error) {
	if err != nil {
		n.report(currantturn.Event{Number: event.RelayFailed, Fields: []currantturn.Field{
			event.F("peer", peer), event.F("error", err),
		}})
	}
}

// reportUndecodable reports a datagram that does not decode.
func (n *relayNode) reportUndecodable(from netip.AddrPort, err error) {
	n.report(currantturn.Event{Number: event.PacketUnreadable, Fields: []currantturn.Field{
		event.F("peer", from), event.F("error", err),
	}})
}

// receiveFrame decodes a frame from another process, routes a packet and passes a
// control message to handleMessage.
func (n *relayNode) receiveFrame(
	from netip.AddrPort, frame []byte, router currantturn.Router, handleMessage func(netip.AddrPort, currantturn.Message),
) {
	e := currantturn.Envelope{Direction: currantturn.ToBackend}
	m, err := relay.Decode(frame, n.ownService(), &e)
	if err == nil && m == nil {
		intent := e.Intent
		err = n.codec.Decode(e.Packet.Payload, currantturn.ToBackend, &e.Packet)
		e.Intent = intent
	}
	switch {
	case err != nil:
		n.reportUndecodable(from, err)
	case m != nil:
		handleMessage(from, m)
	default:
		n.decide(func(now time.Time, out *currantturn.Effects) { router.Route(now, from, &e, out) })
	}
}

// tickLoop calls onTick until the context ends, every relayTickInterval, or after
// idleInterval while nothing is due.
func (n *relayNode) tickLoop(
	ctx context.Context, idleInterval time.Duration, onTick func(now time.Time, out *currantturn.Effects),
) {
	timer := time.NewTimer(relayTickInterval)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-n.wake:
		case <-timer.C:
		}
		n.idle.Store(false)
		n.decide(onTick)
		n.idle.Store(true)
		if n.hasPending() { // a decision that ended before the line above sent no wake-up
			n.idle.Store(false)
			timer.Reset(relayTickInterval)
		} else {
			timer.Reset(idleInterval)
		}
	}
}
