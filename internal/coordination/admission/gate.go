package admission

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"

	"github.com/currantturn/currantturn"
	"github.com/currantturn/currantturn/internal/event"
)

// Decision is what becomes of a request.
type Decision string

// Decisions on a request.
const (
	Admit  Decision = "admit"  // run now; Leave follows
	Queue  Decision = "queue"  // wait for Ticket.Decided
	Shed   Decision = "shed"   // refuse: no slot within its deadline
	Expire Decision = "expire" // refuse: its deadline cannot be met any more
)

// Options are the identity and the bounds of a gate.
type Options struct {
	ID      currantturn.BackendID
	Service currantturn.ServiceName
	Started time.Time
	ColdFor time.Duration
	Slots   int // until a configuration says otherwise
	Watches int
	Rand    *rand.Rand
}

// Ticket is one request that waits for a slot or holds one.
type Ticket struct {
	deadline time.Time
	started  time.Time
	decided  func(Decision)
	state    Decision
	watch    bool
}

// Gate admits requests to the slots of one backend server.
type Gate struct {
	opts    Options
	mu      sync.Mutex
	slots   int
	limit   int       // of the queue
	longest int       // what was queued when the limit was last lowered
	removed bool      // by the configuration: draining or not a member
	leaving bool      // by this process
	warm    time.Time // since when the backend server ramps up
	running int
	watches int
	queue   []*Ticket
	service estimate
	peers   peers
	counts  Counters
}

// Counters are a gate's totals since its start.
type Counters struct {
	Admitted uint64 `json:"admitted"` // requests given a slot
	Queued   uint64 `json:"queued"`   // requests that waited for a slot
	Shed     uint64 `json:"shed"`     // requests refused for want of a slot
	Expired  uint64 `json:"expired"`  // requests whose deadline could not be met
	Spilled  uint64 `json:"spilled"`  // requests passed to a peer
	Watches  uint64 `json:"watches"`  // answers without end admitted
}

// New returns a gate whose backend server has just started.
func New(opts Options) *Gate {
	return &Gate{opts: opts, slots: max(opts.Slots, 1), limit: DefaultQueue, warm: opts.Started, peers: newPeers()}
}

// Configure takes slots, queue and drain state of this backend server.
func (g *Gate) Configure(now time.Time, v *currantturn.View, _ *currantturn.Effects) {
	g.mu.Lock()
	defer g.mu.Unlock()
	s := v.Service(g.opts.Service)
	if s == nil {
		return
	}
	b := s.Backend(g.opts.ID)
	g.removed = b == nil || b.State == currantturn.BackendDraining
	if b != nil && b.Slots > 0 {
		g.slots = b.Slots
	}
	if s.Limits.QueuePerBackend > 0 {
		g.longest = len(g.queue)
		g.limit = s.Limits.QueuePerBackend
	}
	g.peers.configure(s, g.opts.ID)
	g.advance(now)
}

// SetLeaving sends all new requests elsewhere, or takes that back; those
// admitted or queued go on.
func (g *Gate) SetLeaving(leaving bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.leaving = leaving
}

func (g *Gate) draining() bool {
	return g.removed || g.leaving
}

// Restarted tells that the backend server starts cold.
func (g *Gate) Restarted(now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.warm = now
}

// allowed is how many slots are in use at most, while a cold server ramps up.
func (g *Gate) allowed(now time.Time) int {
	age := now.Sub(g.warm)
	if g.opts.ColdFor <= 0 || age >= g.opts.ColdFor {
		return g.slots
	}
	return max(1, int(int64(g.slots)*int64(max(age, 0))/int64(g.opts.ColdFor)))
}

// Enter decides on a request; decided is called once if the decision is Queue.
// It returns how long a refused caller should wait before it asks again.
func (g *Gate) Enter(now, deadline time.Time, decided func(Decision)) (*Ticket, Decision, time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	t := &Ticket{deadline: deadline, decided: decided}
	switch {
	case !now.Before(deadline):
		g.counts.Expired++
		return nil, Expire, 0
	case g.draining():
		g.counts.Shed++
		return nil, Shed, 0
	case len(g.queue) == 0 && g.running < g.allowed(now):
		g.admit(now, t)
		return t, Admit, 0
	case len(g.queue) >= g.limit || now.Add(g.wait(now, len(g.queue))+g.service.likely()).After(deadline):
		g.counts.Shed++
		return nil, Shed, g.wait(now, len(g.queue))
	}
	t.state = Queue
	g.queue = append(g.queue, t)
	g.counts.Queued++
	return t, Queue, 0
}

// wait estimates how long a request waits behind others in the queue.
func (g *Gate) wait(now time.Time, ahead int) time.Duration {
	return g.service.mean * time.Duration(ahead+1) / time.Duration(g.allowed(now))
}

func (g *Gate) admit(now time.Time, t *Ticket) {
	t.state = Admit
	t.started = now
	g.running++
	g.counts.Admitted++
}

// Watch admits an answer without end, which takes no slot.
func (g *Gate) Watch() (*Ticket, Decision) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.draining() || g.watches >= g.opts.Watches {
		g.counts.Shed++
		return nil, Shed
	}
	g.watches++
	g.counts.Watches++
	return &Ticket{state: Admit, watch: true}, Admit
}

// Leave gives back what a ticket holds, in whatever state it is. Served says
// that the backend server answered, so that its time counts.
func (g *Gate) Leave(now time.Time, t *Ticket, served bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	switch {
	case t.watch && t.state == Admit:
		g.watches--
	case t.state == Admit:
		g.running--
		if served {
			g.service.observe(now.Sub(t.started))
		}
	case t.state == Queue:
		g.remove(t)
	}
	t.state = Shed
	g.advance(now)
}

func (g *Gate) remove(t *Ticket) {
	for i, q := range g.queue {
		if q == t {
			g.queue = append(g.queue[:i], g.queue[i+1:]...)
			return
		}
	}
}

// advance admits from the queue, and refuses at once what can no longer be
// answered in time.
func (g *Gate) advance(now time.Time) {
	kept := g.queue[:0]
	for _, t := range g.queue {
		switch {
		case now.Add(g.service.mean).After(t.deadline) || !now.Before(t.deadline):
			t.state = Expire
			g.counts.Expired++
			t.decided(Expire)
		case g.running < g.allowed(now):
			g.admit(now, t)
			t.decided(Admit)
		default:
			kept = append(kept, t)
		}
	}
	clear(g.queue[len(kept):])
	g.queue = kept
}

// Tick expires and, while the backend server ramps up, admits queued requests.
func (g *Gate) Tick(now time.Time, out *currantturn.Effects) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.running < 0 || g.watches < 0 || len(g.queue) > max(g.limit, g.longest) {
		detail := fmt.Sprintf("running %d, watches %d, queued %d", g.running, g.watches, len(g.queue))
		out.Event(event.InvariantViolated, event.F("invariant", "gate_counts"), event.F("detail", detail))
	}
	g.advance(now)
}

// Load is what this gate sees of its backend server.
func (g *Gate) Load(now time.Time) currantturn.Load {
	g.mu.Lock()
	defer g.mu.Unlock()
	return currantturn.Load{Running: g.running, Queued: len(g.queue), Slots: g.allowed(now)}
}

// Counters returns the totals so far.
func (g *Gate) Counters() Counters {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.counts
}

// Handle takes no control messages.
func (g *Gate) Handle(time.Time, netip.AddrPort, currantturn.Message, *currantturn.Effects) {}
