package baseline

import (
	"net/netip"
	"sync"
	"time"

	"github.com/currantturn/currantturn"
	"github.com/currantturn/currantturn/internal/coordination/rank"
)

// base is what both balancers know: the configuration in force.
type base struct {
	key  rank.Key
	mu   sync.Mutex
	view *currantturn.View
}

// Configure puts a newer configuration in force.
func (t *base) Configure(_ time.Time, v *currantturn.View, _ *currantturn.Effects) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.view = v
}

// Handle ignores control messages.
func (t *base) Handle(time.Time, netip.AddrPort, currantturn.Message, *currantturn.Effects) {}

// Tick does nothing.
func (t *base) Tick(time.Time, *currantturn.Effects) {}

// activeBackends lists the backend servers of the packet's service that take new work.
func (t *base) activeBackends(p *currantturn.Packet) (s *currantturn.Service, all []*currantturn.BackendServer) {
	if t.view == nil {
		return nil, nil
	}
	if s = t.view.At(p.Flow.Service); s == nil {
		return nil, nil
	}
	for i := range s.Backends {
		if rank.Active(&s.Backends[i]) {
			all = append(all, &s.Backends[i])
		}
	}
	return s, all
}

func appendForward(s *currantturn.Service, to *currantturn.BackendServer, e *currantturn.Envelope, out *currantturn.Effects) {
	next := currantturn.Forward{To: to.Agent, Envelope: *e}
	next.Envelope.Service = s.Name
	out.Forwards = append(out.Forwards, next)
}

// Modulo is a balancer that takes the flow's hash modulo the number of active
// backend servers and keeps no state.
type Modulo struct {
	base
}

// NewModulo returns a balancer without a configuration.
func NewModulo(key rank.Key) *Modulo {
	return &Modulo{base{key: key}}
}

// Route sends a packet where its hash points.
func (b *Modulo) Route(_ time.Time, _ netip.AddrPort, e *currantturn.Envelope, out *currantturn.Effects) {
	if e.Direction == currantturn.ToCaller {
		out.Answers = append(out.Answers, e.Packet)
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if s, all := b.activeBackends(&e.Packet); len(all) > 0 {
		appendForward(s, all[b.key.Flow(e.Packet.Flow)%uint64(len(all))], e, out)
	}
}

// LeastConnections is a balancer that gives each flow that is new to it to the
// backend server with the fewest of its own flows for its slots.
type LeastConnections struct {
	base
	holders    map[currantturn.FlowKey]currantturn.BackendID
	flowCounts map[currantturn.BackendID]int
}

// NewLeastConnections returns a balancer without a configuration.
func NewLeastConnections(key rank.Key) *LeastConnections {
	return &LeastConnections{
		base:       base{key: key},
		holders:    make(map[currantturn.FlowKey]currantturn.BackendID),
		flowCounts: make(map[currantturn.BackendID]int),
	}
}

// Route sends a packet to the flow's backend server as this balancer knows it.
func (b *LeastConnections) Route(_ time.Time, _ netip.AddrPort, e *currantturn.Envelope, out *currantturn.Effects) {
	if e.Direction == currantturn.ToCaller {
		out.Answers = append(out.Answers, e.Packet)
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	s, all := b.activeBackends(&e.Packet)
	if s == nil {
		return
	}
	if to := s.Backend(b.holders[e.Packet.Flow]); to != nil {
		if e.Packet.Mark == currantturn.MarkClosing {
			delete(b.holders, e.Packet.Flow)
			b.flowCounts[to.ID]--
		}
		appendForward(s, to, e, out)
		return
	}
	var least *currantturn.BackendServer
	for _, x := range all {
		if least == nil || b.flowCounts[x.ID]*max(least.Slots, 1) < b.flowCounts[least.ID]*max(x.Slots, 1) {
			least = x
		}
	}
	if least == nil {
		return
	}
	b.holders[e.Packet.Flow] = least.ID
	b.flowCounts[least.ID]++
	appendForward(s, least, e, out)
}

// Agent delivers every packet and answers through the balancer heard last.
type Agent struct {
	mu           sync.Mutex
	lastBalancer netip.AddrPort
}

// Configure ignores the configuration.
func (a *Agent) Configure(time.Time, *currantturn.View, *currantturn.Effects) {}

// Handle ignores control messages.
func (a *Agent) Handle(time.Time, netip.AddrPort, currantturn.Message, *currantturn.Effects) {}

// Tick does nothing.
func (a *Agent) Tick(time.Time, *currantturn.Effects) {}

// Route delivers the packet.
func (a *Agent) Route(_ time.Time, from netip.AddrPort, e *currantturn.Envelope, out *currantturn.Effects) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.lastBalancer = from
	out.Delivers = append(out.Delivers, e.Packet)
}

// Answer sends a packet back.
func (a *Agent) Answer(_ time.Time, p *currantturn.Packet, out *currantturn.Effects) {
	a.mu.Lock()
	defer a.mu.Unlock()
	out.Forwards = append(out.Forwards, currantturn.Forward{
		To: a.lastBalancer, Envelope: currantturn.Envelope{Direction: currantturn.ToCaller, Packet: *p},
	})
}
