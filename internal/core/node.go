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

// node runs the machines of one process and executes their effects.
//
//	caller -> entry -> Router.Route -> link -> peer's node -> Router.Route -> flowconn -> QUIC
//	                        ^                                                    |
//	   ticker, link --> Machine.Handle/Tick --> Effects --> link, entry, log     v
//	caller <- entry <- Router.Route <- link <----- Answerer.Answer <-------- flowconn
type node struct {
	clock          func() time.Time
	link           *link.Link
	router         currantturn.Router
	answerer       currantturn.Answerer // nil at a balancer
	machineByKind  map[currantturn.Kind]currantturn.Machine
	allMachines    []currantturn.Machine
	entry          currantturn.Entry                  // nil at an agent
	deliver        func(*currantturn.Packet)          // nil at a balancer
	startRead      func(currantturn.Read)             // starts a platform read; nil without a feed
	onConfigured   func(time.Time, *currantturn.View) // called after a version has come into force; may be nil
	report         func(currantturn.Event)
	orderedMachine currantturn.Machine // the feed's, see decideFor; nil without a feed
	orderedMu      sync.Mutex
	// configureMu makes versions come into force one after another, never a lower
	// one.
	configureMu sync.Mutex
	view        atomic.Pointer[currantturn.View]
	names       atomic.Pointer[nameTable]
	effectsPool sync.Pool
}

// linkReaders is how many goroutines read the link's socket.
const linkReaders = 2

// openNode binds the link's socket; start begins to read from it.
func openNode(
	listen, advertise netip.AddrPort, sealer currantturn.Sealer, clock func() time.Time, report func(currantturn.Event),
) (*node, error) {
	n := &node{
		clock:         clock,
		report:        report,
		machineByKind: make(map[currantturn.Kind]currantturn.Machine),
		effectsPool:   sync.Pool{New: func() any { return new(currantturn.Effects) }},
	}
	n.names.Store(newNameTable(currantturn.NewView(0, nil)))
	linkSocket, err := link.Open(link.Options{
		Listen: listen, Advertise: advertise, Sealer: sealer, Names: n.currentNames, Clock: clock, Report: report,
	})
	n.link = linkSocket
	return n, err
}

// start begins to read from the link, and calls Tick of every machine until the
// context ends.
func (n *node) start(ctx context.Context) {
	n.link.Start(n, linkReaders)
	go n.tickLoop(ctx)
}

// addMachine adds a machine and the kinds of messages that it handles.
func (n *node) addMachine(m currantturn.Machine, kinds ...currantturn.Kind) {
	n.allMachines = append(n.allMachines, m)
	for _, k := range kinds {
		n.machineByKind[k] = m
	}
}

// currentNames returns the names of the configuration in force, by which the
// link decodes envelopes without allocation.
func (n *node) currentNames() envelope.Names {
	return n.names.Load()
}

// decide runs one decision and executes its effects.
func (n *node) decide(decision func(now time.Time, out *currantturn.Effects)) {
	out := n.effectsPool.Get().(*currantturn.Effects)
	decision(n.clock(), out)
	n.execute(out)
	out.Reset()
	n.effectsPool.Put(out)
}

// decideFor runs one decision of a machine. The feed's effects are executed in
// the order of its decisions, so that versions come into force one after another.
func (n *node) decideFor(m currantturn.Machine, decision func(now time.Time, out *currantturn.Effects)) {
	if m == n.orderedMachine {
		n.orderedMu.Lock()
		defer n.orderedMu.Unlock()
	}
	n.decide(decision)
}

// execute carries out the effects of one decision.
func (n *node) execute(out *currantturn.Effects) {
	for i := range out.Deliveries {
		n.deliver(&out.Deliveries[i])
	}
	for i := range out.Answers {
		// A failed write is a lost packet, which the caller's transport retransmits.
		_ = n.entry.Write(&out.Answers[i])
	}
	for i := range out.Forwards {
		_ = n.link.SendEnvelope(out.Forwards[i].To, &out.Forwards[i].Envelope)
	}
	for i := range out.Sends {
		_ = n.link.SendMessage(out.Sends[i].To, out.Sends[i].Message)
	}
	for _, peer := range out.SocketRenewals {
		_ = n.link.RenewSocket(peer)
	}
	for _, r := range out.Reads {
		n.startRead(r)
	}
	for _, e := range out.Events {
		n.report(e)
	}
	for _, v := range out.InForce {
		n.configure(v)
	}
}

// ReceiveEnvelope routes an enveloped packet received from the link.
func (n *node) ReceiveEnvelope(from netip.AddrPort, e *currantturn.Envelope) {
	n.decide(func(now time.Time, out *currantturn.Effects) { n.router.Route(now, from, e, out) })
}

// ReceiveMessage passes a control message received from the link to the machine
// of its kind; other kinds are dropped.
func (n *node) ReceiveMessage(from netip.AddrPort, m currantturn.Message) {
	machine := n.machineByKind[m.Kind()]
	if machine == nil {
		return
	}
	n.decideFor(machine, func(now time.Time, out *currantturn.Effects) { machine.Handle(now, from, m, out) })
}

// sendToCaller sends a packet from the backend side to its caller, by way of a
// balancer.
func (n *node) sendToCaller(p *currantturn.Packet) {
	n.decide(func(now time.Time, out *currantturn.Effects) { n.answerer.Answer(now, p, out) })
}

// configure puts a configuration in force in every machine, unless one of the
// same or a higher version is in force.
func (n *node) configure(v *currantturn.View) {
	n.configureMu.Lock()
	defer n.configureMu.Unlock()
	if old := n.view.Load(); old != nil && v.Version <= old.Version {
		return
	}
	n.view.Store(v)
	n.names.Store(newNameTable(v))
	for _, m := range n.allMachines {
		n.decide(func(now time.Time, out *currantturn.Effects) { m.Configure(now, v, out) })
	}
	if n.onConfigured != nil {
		n.onConfigured(n.clock(), v)
	}
}

// tickLoop calls Tick of every machine until the context ends.
func (n *node) tickLoop(ctx context.Context) {
	ticker := time.NewTicker(currantturn.TickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		for _, m := range n.allMachines {
			n.decideFor(m, m.Tick)
		}
	}
}

// nameTable maps names as received in envelopes to the strings of a
// configuration, so that decoding allocates none.
type nameTable struct {
	services map[string]currantturn.ServiceName
	backends map[string]currantturn.BackendID
}

// newNameTable returns the names of v, and the empty ID, which stands for no
// backend server.
func newNameTable(v *currantturn.View) *nameTable {
	t := &nameTable{
		services: make(map[string]currantturn.ServiceName),
		backends: make(map[string]currantturn.BackendID),
	}
	t.backends[""] = ""
	for i := range v.Services {
		s := &v.Services[i]
		t.services[string(s.Name)] = s.Name
		for j := range s.Backends {
			t.backends[string(s.Backends[j].ID)] = s.Backends[j].ID
		}
	}
	return t
}

// Service returns the name of the configured service, if there is one.
func (t *nameTable) Service(p []byte) (currantturn.ServiceName, bool) {
	s, ok := t.services[string(p)]
	return s, ok
}

// Backend returns the ID of the configured backend server, if there is one; the
// empty ID is valid.
func (t *nameTable) Backend(p []byte) (currantturn.BackendID, bool) {
	id, ok := t.backends[string(p)]
	return id, ok
}
