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

// Decision is the outcome of admission for a request.
type Decision string

// Decisions on a request.
const (
	Admit  Decision = "admit"  // run now, and release the ticket afterwards
	Queue  Decision = "queue"  // wait for the call of onDecision
	Shed   Decision = "shed"   // refuse: no slot is expected in time, a limit is reached or the gate drains
	Expire Decision = "expire" // refuse: its deadline can no longer be met
)

// Options are the identity and the limits of a gate.
type Options struct {
	ID         currantturn.BackendID
	Service    currantturn.ServiceName
	Started    time.Time     // of the backend server
	RampUp     time.Duration // time over which a restarted backend server gets all its slots
	Slots      int           // until a configuration sets them
	WatchLimit int           // most watches at once
	Rand       *rand.Rand
}

// Ticket is one request or watch that a gate queued or admitted.
type Ticket struct {
	deadline   time.Time
	started    time.Time // when it was admitted
	onDecision func(Decision)
	state      Decision
	isWatch    bool
}

// Gate admits requests to the slots of one backend server.
type Gate struct {
	opts              Options
	mu                sync.Mutex
	slots             int
	queueLimit        int       // most queued requests
	queuedAtConfigure int       // queue length when queueLimit was last set; it may exceed the new limit
	drainedByConfig   bool      // the configuration drains this backend server or does not list it
	leaving           bool      // set by SetLeaving
	rampUpStart       time.Time // start of the backend server's ramp-up
	running           int       // requests that hold a slot
	watches           int
	queue             []*Ticket
	serviceTime       estimate
	peers             peers
	counts            Counters
}

// Counters are the totals of a gate since its start.
type Counters struct {
	Admitted uint64 `json:"admitted"` // requests given a slot
	Queued   uint64 `json:"queued"`   // requests that waited for a slot
	Shed     uint64 `json:"shed"`     // requests refused for lack of capacity or during a drain
	Expired  uint64 `json:"expired"`  // requests whose deadline could not be met
	Spilled  uint64 `json:"spilled"`  // requests forwarded to a peer
	Watches  uint64 `json:"watches"`  // responses without end that were admitted
}

// New returns a gate whose backend server started at opts.Started.
func New(opts Options) *Gate {
	return &Gate{opts: opts, slots: max(opts.Slots, 1), queueLimit: DefaultQueueLimit, rampUpStart: opts.Started, peers: newPeers()}
}

// Configure applies the slots, queue limit, drain state and peers from v.
func (g *Gate) Configure(now time.Time, v *currantturn.View, _ *currantturn.Effects) {
	g.mu.Lock()
	defer g.mu.Unlock()
	s := v.Service(g.opts.Service)
	if s == nil {
		return
	}
	b := s.Backend(g.opts.ID)
	g.drainedByConfig = b == nil || b.State == currantturn.BackendDraining
	if b != nil && b.Slots > 0 {
		g.slots = b.Slots
	}
	if s.Limits.QueuePerBackend > 0 {
		g.queuedAtConfigure = len(g.queue)
		g.queueLimit = s.Limits.QueuePerBackend
	}
	g.peers.configure(s, g.opts.ID)
	g.advanceQueue(now)
}

// SetLeaving makes the gate refuse or forward all new requests, or ends that
// again. Requests that were admitted or queued before are completed.
func (g *Gate) SetLeaving(leaving bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.leaving = leaving
}

// draining reports whether the gate admits nothing new.
func (g *Gate) draining() bool {
	return g.drainedByConfig || g.leaving
}

// BeginRampUp begins a new ramp-up after a restart of the backend server.
func (g *Gate) BeginRampUp(now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.rampUpStart = now
}

// allowedSlots returns how many requests may run at once. During the ramp-up it
// grows linearly from 1 to the number of slots.
func (g *Gate) allowedSlots(now time.Time) int {
	age := now.Sub(g.rampUpStart)
	if g.opts.RampUp <= 0 || age >= g.opts.RampUp {
		return g.slots
	}
	return max(1, int(int64(g.slots)*int64(max(age, 0))/int64(g.opts.RampUp)))
}

// Enter decides on a request. If the decision is Queue, onDecision is called
// once, later and with the gate locked, unless the ticket is released first. The
// returned duration is how long a refused caller should wait before it retries.
func (g *Gate) Enter(now, deadline time.Time, onDecision func(Decision)) (*Ticket, Decision, time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	t := &Ticket{deadline: deadline, onDecision: onDecision}
	switch {
	case !now.Before(deadline):
		g.counts.Expired++
		return nil, Expire, 0
	case g.draining():
		g.counts.Shed++
		return nil, Shed, 0
	case len(g.queue) == 0 && g.running < g.allowedSlots(now):
		g.admit(now, t)
		return t, Admit, 0
	case len(g.queue) >= g.queueLimit || now.Add(g.estimateWait(now, len(g.queue))+g.serviceTime.conservative()).After(deadline):
		g.counts.Shed++
		return nil, Shed, g.estimateWait(now, len(g.queue))
	}
	t.state = Queue
	g.queue = append(g.queue, t)
	g.counts.Queued++
	return t, Queue, 0
}

// estimateWait returns how long a request is expected to wait behind ahead queued
// requests.
func (g *Gate) estimateWait(now time.Time, ahead int) time.Duration {
	return g.serviceTime.mean * time.Duration(ahead+1) / time.Duration(g.allowedSlots(now))
}

// admit gives the request a slot.
func (g *Gate) admit(now time.Time, t *Ticket) {
	t.state = Admit
	t.started = now
	g.running++
	g.counts.Admitted++
}

// EnterWatch admits or refuses a response without end, which takes no slot.
func (g *Gate) EnterWatch() (*Ticket, Decision) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.draining() || g.watches >= g.opts.WatchLimit {
		g.counts.Shed++
		return nil, Shed
	}
	g.watches++
	g.counts.Watches++
	return &Ticket{state: Admit, isWatch: true}, Admit
}

// Release releases the slot, watch or queue position that a ticket holds. Served
// means that the backend server answered, so the service time is recorded.
func (g *Gate) Release(now time.Time, t *Ticket, served bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	switch {
	case t.isWatch && t.state == Admit:
		g.watches--
	case t.state == Admit:
		g.running--
		if served {
			g.serviceTime.observe(now.Sub(t.started))
		}
	case t.state == Queue:
		g.removeFromQueue(t)
	}
	t.state = Shed
	g.advanceQueue(now)
}

func (g *Gate) removeFromQueue(t *Ticket) {
	for i, q := range g.queue {
		if q == t {
			g.queue = append(g.queue[:i], g.queue[i+1:]...)
			return
		}
	}
}

// advanceQueue admits queued requests to free slots and refuses those that can no
// longer be answered before their deadline.
func (g *Gate) advanceQueue(now time.Time) {
	kept := g.queue[:0]
	for _, t := range g.queue {
		switch {
		case now.Add(g.serviceTime.mean).After(t.deadline) || !now.Before(t.deadline):
			t.state = Expire
			g.counts.Expired++
			t.onDecision(Expire)
		case g.running < g.allowedSlots(now):
			g.admit(now, t)
			t.onDecision(Admit)
		default:
			kept = append(kept, t)
		}
	}
	clear(g.queue[len(kept):])
	g.queue = kept
}

// Tick checks the counts, expires queued requests and, during a ramp-up, admits
// some.
func (g *Gate) Tick(now time.Time, out *currantturn.Effects) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.running < 0 || g.watches < 0 || len(g.queue) > max(g.queueLimit, g.queuedAtConfigure) {
		detail := fmt.Sprintf("running %d, watches %d, queued %d", g.running, g.watches, len(g.queue))
		out.Event(event.InvariantViolated, event.F("invariant", "gate_counts"), event.F("detail", detail))
	}
	g.advanceQueue(now)
}

// Load returns the load of the backend server as counted by this gate.
func (g *Gate) Load(now time.Time) currantturn.Load {
	g.mu.Lock()
	defer g.mu.Unlock()
	return currantturn.Load{Running: g.running, Queued: len(g.queue), Slots: g.allowedSlots(now)}
}

// Counters returns the totals so far.
func (g *Gate) Counters() Counters {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.counts
}

// Handle does nothing: a gate receives no control messages.
func (g *Gate) Handle(time.Time, netip.AddrPort, currantturn.Message, *currantturn.Effects) {}
