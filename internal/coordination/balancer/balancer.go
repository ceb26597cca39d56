package balancer

import (
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/currantturn/currantturn"
	"github.com/currantturn/currantturn/internal/coordination/rank"
)

// Options are a balancer's identity and the fleet's hash key.
type Options struct {
	Self netip.AddrPort // link address
	Key  rank.Key
}

// Balancer is the router of an entry VM.
type Balancer struct {
	opts Options
	plan atomic.Pointer[plan]
}

// plan is one configuration prepared for ranking.
type plan struct {
	view   *currantturn.View
	tables map[currantturn.ServiceName]*rank.Table
}

// New returns a balancer that has no configuration yet.
func New(opts Options) *Balancer {
	b := &Balancer{opts: opts}
	b.plan.Store(&plan{view: currantturn.NewView(0, nil)})
	return b
}

// Configure puts a newer configuration in force.
func (b *Balancer) Configure(_ time.Time, v *currantturn.View, _ *currantturn.Effects) {
	p := &plan{view: v, tables: make(map[currantturn.ServiceName]*rank.Table, len(v.Services))}
	for i := range v.Services {
		s := &v.Services[i]
		p.tables[s.Name] = rank.NewTable(s)
	}
	b.plan.Store(p)
}

// Route sends a caller's packet to its home agent and an answer to its caller.
func (b *Balancer) Route(_ time.Time, _ netip.AddrPort, e *currantturn.Envelope, out *currantturn.Effects) {
	if e.Direction == currantturn.ToCaller {
		out.Answers = append(out.Answers, e.Packet)
		return
	}
	p := b.plan.Load()
	s := p.view.At(e.Packet.Flow.Service)
	if s == nil {
		return
	}
	var top [currantturn.MaxRanks]int
	n := p.tables[s.Name].Top(b.opts.Key.Flow(e.Packet.Flow), rank.Active, top[:])
	if n == 0 {
		return
	}
	next := currantturn.Forward{To: s.Backends[top[0]].Agent, Envelope: *e}
	next.Envelope.Service = s.Name
	next.Envelope.Version = p.view.Version
	next.Envelope.Balancer = b.opts.Self
	for i := range n {
		next.Envelope.Ranks[i] = s.Backends[top[i]].ID
	}
	out.Forwards = append(out.Forwards, next)
}

// Handle takes a control message.
func (b *Balancer) Handle(time.Time, netip.AddrPort, currantturn.Message, *currantturn.Effects) {}

// Tick does nothing yet.
func (b *Balancer) Tick(time.Time, *currantturn.Effects) {}
