package core

import (
	"context"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/currantturn/currantturn"
	"github.com/currantturn/currantturn/internal/protocol/envelope"
	"github.com/currantturn/currantturn/internal/transport/link"
)

// node runs the machines of one process.
//
//	caller -> entry -> Router.Route -> link -> peer's node -> Router.Route -> flowconn -> QUIC
//	                        ^                                                    |
//	   ticker, link --> Machine.Handle/Tick --> Effects --> link, entry, log     v
//	caller <- entry <- Router.Route <- link <----- Answerer.Answer <-------- flowconn
type node struct {
	clock    func() time.Time
	link     *link.Link
	router   currantturn.Router
	answerer currantturn.Answerer // nil at a balancer
	machines map[currantturn.Kind]currantturn.Machine
	all      []currantturn.Machine
	entry    currantturn.Entry         // nil at an agent
	deliver  func(*currantturn.Packet) // nil at a balancer
	read     func(currantturn.Read)    // nil without a feed
	inForce  func(time.Time, *currantturn.View)
	report   func(currantturn.Event)
	ordered  currantturn.Machine // the feed's, nil without one
	ordering sync.Mutex
	// configuring puts versions in force one after another, never a lower one.
	configuring sync.Mutex
	view        atomic.Pointer[currantturn.View]
	known       atomic.Pointer[names]
	effects     sync.Pool
}

// linkReaders is how many goroutines read the link's socket.
const linkReaders = 2

// openNode binds the link; start lets it read.
func openNode(
	listen, advertise netip.AddrPort, sealer currantturn.Sealer, clock func() time.Time, report func(currantturn.Event),
) (*node, error) {
	n := &node{
		clock:    clock,
		report:   report,
		machines: make(map[currantturn.Kind]currantturn.Machine),
		effects:  sync.Pool{New: func() any { return new(currantturn.Effects) }},
	}
	n.known.Store(newNames(currantturn.NewView(0, nil)))
	l, err := link.Open(link.Options{
		Listen: listen, Advertise: advertise, Sealer: sealer, Names: n.names, Clock: clock, Report: report,
	})
	n.link = l
	return n, err
}

// start reads the link and calls the machines until the context ends.
func (n *node) start(ctx context.Context) {
	n.link.Start(n, linkReaders)
	go n.tick(ctx)
}

// add registers a machine and the message kinds that it handles.
func (n *node) add(m currantturn.Machine, kinds ...currantturn.Kind) {
	n.all = append(n.all, m)
	for _, k := range kinds {
		n.machines[k] = m
	}
}

// names gives the link the canonical names of the configuration in force.
func (n *node) names() envelope.Names {
	return n.known.Load()
}

// decide runs one decision and carries out its effects.
func (n *node) decide(f func(now time.Time, out *currantturn.Effects)) {
	out := n.effects.Get().(*currantturn.Effects)
	f(n.clock(), out)
	n.carry(out)
	out.Reset()
	n.effects.Put(out)
}

// decideOf decides for one machine. The feed's effects are carried out in the
// order of its decisions, so that versions come in force one after another.
func (n *node) decideOf(m currantturn.Machine, f func(now time.Time, out *currantturn.Effects)) {
	if m == n.ordered {
		n.ordering.Lock()
		defer n.ordering.Unlock()
	}
	n.decide(f)
}

func (n *node) carry(out *currantturn.Effects) {
	for i := range out.Delivers {
		n.deliver(&out.Delivers[i])
	}
	for i := range out.Answers {
		// A failed write is a lost packet, which the caller's transport repeats.
		_ = n.entry.Write(&out.Answers[i])
	}
	for i := range out.Forwards {
		_ = n.link.SendEnvelope(out.Forwards[i].To, &out.Forwards[i].Envelope)
	}
	for i := range out.Sends {
		_ = n.link.SendMessage(out.Sends[i].To, out.Sends[i].Message)
	}
	for _, peer := range out.Renews {
		_ = n.link.Renew(peer)
	}
	for _, r := range out.Reads {
		n.read(r)
	}
	for _, e := range out.Events {
		n.report(e)
	}
	for _, v := range out.InForce {
		n.configure(v)
	}
}

// ReceiveEnvelope takes an enveloped packet off the link.
func (n *node) ReceiveEnvelope(from netip.AddrPort, e *currantturn.Envelope) {
	n.decide(func(now time.Time, out *currantturn.Effects) { n.router.Route(now, from, e, out) })
}

// ReceiveMessage takes a control message off the link.
func (n *node) ReceiveMessage(from netip.AddrPort, m currantturn.Message) {
	machine := n.machines[m.Kind()]
	if machine == nil {
		return
	}
	n.decideOf(machine, func(now time.Time, out *currantturn.Effects) { machine.Handle(now, from, m, out) })
}

// answer sends a packet of the backend side to its caller.
func (n *node) answer(p *currantturn.Packet) {
	n.decide(func(now time.Time, out *currantturn.Effects) { n.answerer.Answer(now, p, out) })
}

// configure puts a configuration in force in every machine.
func (n *node) configure(v *currantturn.View) {
	n.configuring.Lock()
	defer n.configuring.Unlock()
	if old := n.view.Load(); old != nil && v.Version <= old.Version {
		return
	}
	n.view.Store(v)
	n.known.Store(newNames(v))
	for _, m := range n.all {
		n.decide(func(now time.Time, out *currantturn.Effects) { m.Configure(now, v, out) })
	}
	if n.inForce != nil {
		n.inForce(n.clock(), v)
	}
}

// tick calls the machines until the context ends.
func (n *node) tick(ctx context.Context) {
	t := time.NewTicker(currantturn.TickEvery)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		for _, m := range n.all {
			n.decideOf(m, m.Tick)
		}
	}
}

// names maps wire names to the strings of the configuration in force.
type names struct {
	services map[string]currantturn.ServiceName
	backends map[string]currantturn.BackendID
}

func newNames(v *currantturn.View) *names {
	n := &names{
		services: make(map[string]currantturn.ServiceName),
		backends: make(map[string]currantturn.BackendID),
	}
	n.backends[""] = ""
	for i := range v.Services {
		s := &v.Services[i]
		n.services[string(s.Name)] = s.Name
		for j := range s.Backends {
			n.backends[string(s.Backends[j].ID)] = s.Backends[j].ID
		}
	}
	return n
}

// Service returns the configured service of that name.
func (n *names) Service(p []byte) (currantturn.ServiceName, bool) {
	s, ok := n.services[string(p)]
	return s, ok
}

// Backend returns the configured backend server of that ID.
func (n *names) Backend(p []byte) (currantturn.BackendID, bool) {
	id, ok := n.backends[string(p)]
	return id, ok
}
