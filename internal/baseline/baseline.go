package baseline

import (
	"net/netip"
	"sync"
	"time"

	"github.com/currantturn/currantturn"
	"github.com/currantturn/currantturn/internal/coordination/rank"
)

// base is the part common to both balancers: the hash key and the configuration in
// force.
type base struct {
	key  rank.Key
	mu   sync.Mutex
	view *currantturn.View
}

// Configure puts a newer configuration in force.
func (b *base) Configure(_ time.Time, v *currantturn.View, _ *currantturn.Effects) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.view = v
}

// Handle ignores control messages.
func (b *base) Handle(time.Time, netip.AddrPort, currantturn.Message, *currantturn.Effects) {}

// Tick does nothing.
func (b *base) Tick(time.Time, *currantturn.Effects) {}

// activeBackends returns the packet's service, or nil, and its backend servers that
// take new work.
func (b *base) activeBackends(p *currantturn.Packet) (s *currantturn.Service, backends []*currantturn.BackendServer) {
	if b.view == nil {
		return nil, nil
	}
	if s = b.view.ServiceAt(p.Flow.Service); s == nil {
		return nil, nil
	}
	for i := range s.Backends {
		if rank.Active(&s.Backends[i]) {
			backends = append(backends, &s.Backends[i])
		}
	}
	return s, backends
}

// appendForward adds the forwarding of the envelope to a backend server's agent to the
// effects in out.
func appendForward(s *currantturn.Service, backend *currantturn.BackendServer, e *currantturn.Envelope, out *currantturn.Effects) {
	next := currantturn.Forward{To: backend.Agent, Envelope: *e}
	next.Envelope.Service = s.Name
	out.Forwards = append(out.Forwards, next)
}

// Modulo is a stateless balancer that selects a backend server by the flow's hash
// modulo the number of active backend servers.
type Modulo struct {
	base
}

// NewModulo returns a balancer without a configuration.
func NewModulo(key rank.Key) *Modulo {
	return &Modulo{base{key: key}}
}

// Route forwards a caller's packet to the backend server that its flow's hash
// selects, and returns a backend server's packet to its caller.
func (b *Modulo) Route(_ time.Time, _ netip.AddrPort, e *currantturn.Envelope, out *currantturn.Effects) {
	if e.Direction == currantturn.ToCaller {
		out.Answers = append(out.Answers, e.Packet)
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if s, backends := b.activeBackends(&e.Packet); len(backends) > 0 {
		appendForward(s, backends[b.key.HashFlow(e.Packet.Flow)%uint64(len(backends))], e, out)
	}
}

// LeastConnections is a balancer that places each new flow on the backend server
// with the fewest flows per slot; it counts only the flows that it placed itself.
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

// Route forwards a caller's packet to the backend server on which this balancer
// placed the flow, and returns a backend server's packet to its caller.
func (b *LeastConnections) Route(_ time.Time, _ netip.AddrPort, e *currantturn.Envelope, out *currantturn.Effects) {
	if e.Direction == currantturn.ToCaller {
		out.Answers = append(out.Answers, e.Packet)
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	s, backends := b.activeBackends(&e.Packet)
	if s == nil {
		return
	}
	if backend := s.Backend(b.holders[e.Packet.Flow]); backend != nil {
		if e.Packet.Mark == currantturn.MarkClosing {
			delete(b.holders, e.Packet.Flow)
			b.flowCounts[backend.ID]--
		}
		appendForward(s, backend, e, out)
		return
	}
	var least *currantturn.BackendServer
	for _, backend := range backends {
		if least == nil || b.flowCounts[backend.ID]*max(least.Slots, 1) < b.flowCounts[least.ID]*max(backend.Slots, 1) {
			least = backend
		}
	}
	if least == nil {
		return
	}
	b.holders[e.Packet.Flow] = least.ID
	b.flowCounts[least.ID]++
	appendForward(s, least, e, out)
}

// Agent delivers every packet, and sends answers through the balancer from which it
// last received a packet.
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

// Route delivers the packet to the backend server.
func (a *Agent) Route(_ time.Time, from netip.AddrPort, e *currantturn.Envelope, out *currantturn.Effects) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.lastBalancer = from
	out.Deliveries = append(out.Deliveries, e.Packet)
}

// Answer forwards the backend server's answer to the last balancer.
func (a *Agent) Answer(_ time.Time, p *currantturn.Packet, out *currantturn.Effects) {
	a.mu.Lock()
	defer a.mu.Unlock()
	out.Forwards = append(out.Forwards, currantturn.Forward{
		To: a.lastBalancer, Envelope: currantturn.Envelope{Direction: currantturn.ToCaller, Packet: *p},
	})
}
