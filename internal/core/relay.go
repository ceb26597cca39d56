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

// relayTick is the period of the machines of opaque flows: their shortest
// timeout is 40 ms.
const relayTick = 10 * time.Millisecond

// restingTick is the period while nothing is due: each wake-up of an idle
// process costs up to 0.2 ms of processor time, 2% of a core at relayTick, and
// the shortest period of what goes on then is 100 ms.
const restingTick = 50 * time.Millisecond

// relayNode carries out the effects of a machine of opaque flows.
type relayNode struct {
	clock   func() time.Time
	codec   currantturn.PacketCodec
	link    *datagram.Socket // to other processes
	own     func() currantturn.ServiceName
	deliver func(*currantturn.Packet) error // nil at a balancer
	answer  func(*currantturn.Packet) error
	report  func(currantturn.Event)
	pending func() bool // whether something is due within restingTick
	resting atomic.Bool
	wake    chan struct{} // ends the rest
	pool    sync.Pool
}

// listenBoth opens the link of a process and its other socket, or none.
func listenBoth(link, other netip.AddrPort) (l, o *datagram.Socket, err error) {
	if l, err = datagram.Listen(link); err != nil {
		return nil, nil, err
	}
	if o, err = datagram.Listen(other); err != nil {
		_ = l.Close() // nothing was read
		return nil, nil, err
	}
	return l, o, nil
}

// serve hands over the datagrams of a socket until it is closed.
func (n *relayNode) serve(s *datagram.Socket, take func(netip.AddrPort, []byte)) {
	if err := s.Serve(take); err != nil {
		n.failed(netip.AddrPort{}, err)
	}
}

// relayWork is what one decision needs; it is reused.
type relayWork struct {
	out   currantturn.Effects
	frame []byte
}

func (n *relayNode) decide(f func(now time.Time, out *currantturn.Effects)) {
	w, ok := n.pool.Get().(*relayWork)
	if !ok {
		w = &relayWork{frame: make([]byte, 0, relay.MaxBytes)}
	}
	f(n.clock(), &w.out)
	n.carry(w)
	w.out.Reset()
	n.pool.Put(w)
	if n.resting.Load() && n.pending() {
		select {
		case n.wake <- struct{}{}:
		default: // it is awake already
		}
	}
}

func (n *relayNode) carry(w *relayWork) {
	for i := range w.out.Delivers {
		n.failed(netip.AddrPort{}, n.deliver(&w.out.Delivers[i]))
	}
	for i := range w.out.Answers {
		n.failed(w.out.Answers[i].Flow.Caller, n.answer(&w.out.Answers[i]))
	}
	for i := range w.out.Forwards {
		f := &w.out.Forwards[i]
		w.frame = relay.AppendPacket(w.frame[:0], &f.Envelope)
		n.failed(f.To, n.link.Write(f.To, w.frame))
	}
	for _, s := range w.out.Sends {
		frame, err := relay.AppendMessage(w.frame[:0], s.Message)
		if err == nil {
			err = n.link.Write(s.To, frame)
		}
		n.failed(s.To, err)
	}
	for _, e := range w.out.Events {
		n.report(e)
	}
}

// failed reports a packet that could not be sent; its sender repeats it.
func (n *relayNode) failed(peer netip.AddrPort, err error) {
	if err != nil {
		n.report(currantturn.Event{Number: event.RelayFailed, Fields: []currantturn.Field{
			event.F("peer", peer), event.F("error", err),
		}})
	}
}

// unreadable reports a datagram that does not decode.
func (n *relayNode) unreadable(from netip.AddrPort, err error) {
	n.report(currantturn.Event{Number: event.PacketUnreadable, Fields: []currantturn.Field{
		event.F("peer", from), event.F("error", err),
	}})
}

// receive takes a frame of another process.
func (n *relayNode) receive(
	from netip.AddrPort, frame []byte, router currantturn.Router, message func(netip.AddrPort, currantturn.Message),
) {
	e := currantturn.Envelope{Direction: currantturn.ToBackend}
	m, err := relay.Decode(frame, n.own(), &e)
	if err == nil && m == nil {
		intent := e.Intent
		err = n.codec.Decode(e.Packet.Payload, currantturn.ToBackend, &e.Packet)
		e.Intent = intent
	}
	switch {
	case err != nil:
		n.unreadable(from, err)
	case m != nil:
		message(from, m)
	default:
		n.decide(func(now time.Time, out *currantturn.Effects) { router.Route(now, from, &e, out) })
	}
}

// tick calls f until the context ends, after a longer rest while nothing is due.
func (n *relayNode) tick(ctx context.Context, rest time.Duration, f func(now time.Time, out *currantturn.Effects)) {
	t := time.NewTimer(relayTick)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-n.wake:
		case <-t.C:
		}
		n.resting.Store(false)
		n.decide(f)
		n.resting.Store(true)
		if n.pending() { // also if it became so before the line above
			n.resting.Store(false)
			t.Reset(relayTick)
		} else {
			t.Reset(rest)
		}
	}
}
