package agent

import (
	"net/netip"
	"sync"
	"time"

	"github.com/currantturn/currantturn"
	"github.com/currantturn/currantturn/internal/coordination/rank"
)

// Options are an agent's identity and the fleet's hash key.
type Options struct {
	ID      currantturn.BackendID
	Service currantturn.ServiceName
	Self    netip.AddrPort // link address
	Key     rank.Key
}

// Agent is the router beside a backend server.
type Agent struct {
	opts  Options
	mu    sync.Mutex
	heard []netip.AddrPort // balancers, in the order in which they were first heard
	next  int
}

// New returns an agent that holds no flows.
func New(opts Options) *Agent {
	return &Agent{opts: opts}
}

// Configure puts a newer configuration in force.
func (a *Agent) Configure(time.Time, *currantturn.View, *currantturn.Effects) {}

// Route delivers a packet of this agent's service.
func (a *Agent) Route(_ time.Time, _ netip.AddrPort, e *currantturn.Envelope, out *currantturn.Effects) {
	if e.Service != a.opts.Service || e.Direction != currantturn.ToBackend {
		return
	}
	a.hear(e.Balancer)
	out.Delivers = append(out.Delivers, e.Packet)
}

func (a *Agent) hear(b netip.AddrPort) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, known := range a.heard {
		if known == b {
			return
		}
	}
	a.heard = append(a.heard, b)
}

// Answer sends a packet back through one of the balancers in turn.
func (a *Agent) Answer(_ time.Time, p *currantturn.Packet, out *currantturn.Effects) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(a.heard) == 0 {
		return
	}
	a.next = (a.next + 1) % len(a.heard)
	out.Forwards = append(out.Forwards, currantturn.Forward{
		To: a.heard[a.next],
		Envelope: currantturn.Envelope{
			Direction: currantturn.ToCaller,
			Service:   a.opts.Service,
			Packet:    *p,
		},
	})
}

// Handle takes a control message.
func (a *Agent) Handle(time.Time, netip.AddrPort, currantturn.Message, *currantturn.Effects) {}

// Tick does nothing yet.
func (a *Agent) Tick(time.Time, *currantturn.Effects) {}
