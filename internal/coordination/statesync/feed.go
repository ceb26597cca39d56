package statesync

import (
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"

	"github.com/currantturn/currantturn"
	"github.com/currantturn/currantturn/internal/event"
	"github.com/currantturn/currantturn/internal/metric"
	"github.com/currantturn/currantturn/internal/state/roster"
)

// Options are a balancer's identity and its bounds.
type Options struct {
	Self  netip.AddrPort   // link address
	Seeds []netip.AddrPort // link addresses of balancers that may be asked first
	Seed  uint64           // of its random choices
	// Capacity of the network link, Mbit/s: those with the fastest links watch.
	Capacity float64
	// ApplyWithin is the time within which a published configuration has to be
	// in force.
	ApplyWithin time.Duration
}

// State is what is published at one revision of the store; it is never changed.
type State struct {
	Revision uint64               `cbor:"1,keyasint"`
	Routing  *currantturn.Routing `cbor:"2,keyasint"` // nil if the reader knows it
	Servers  []roster.Entry       `cbor:"3,keyasint"`
	Version  currantturn.Version  `cbor:"4,keyasint"` // of the routing
}

// Known is the version of the routing, 0 without one.
func (s *State) Known() currantturn.Version {
	if s.Routing == nil {
		return 0
	}
	return s.Routing.Version
}

// Step is what a balancer does next about the store.
type Step string

// Steps of a balancer.
const (
	StepList  Step = "list"  // read everything
	StepWatch Step = "watch" // wait for changes
	StepPause Step = "pause" // leave the store to other balancers for a moment
)

// Plan is the next step with its arguments.
type Plan struct {
	Step  Step
	After uint64        // of a watch
	Wait  time.Duration // of a watch or a pause
}

// Feed keeps the newest published state; it is safe for concurrent use.
type Feed struct {
	opts Options

	mu        sync.Mutex
	rng       *rand.Rand
	state     State
	servers   *roster.Roster
	listed    bool      // a listing stands from which a watch may continue
	confirmed time.Time // when the store confirmed the state last, here or elsewhere
	lost      time.Time // since when this process's own reads fail
	trusted   time.Time // until then a missing registration may be a lapse
	failures  int
	peers     map[netip.AddrPort]peer
	changed   []roster.Entry // by the last watch, if nothing else changed
	since     uint64         // revision before that
	beaten    time.Time
	watching  bool // as the log says
	counts    Counters
	ages      *metric.Histogram // of the state, at each heartbeat
}

// Counters are a feed's totals since its start, and its present state.
type Counters struct {
	Lists      uint64 `json:"lists"`      // readings of everything
	Watches    uint64 `json:"watches"`    // watches that were answered
	Failures   uint64 `json:"failures"`   // reads without a usable answer
	Compacted  uint64 `json:"compacted"`  // watches whose history was gone
	Pulls      uint64 `json:"pulls"`      // states taken from another balancer
	Version    uint64 `json:"version"`    // configuration in force
	Revision   uint64 `json:"revision"`   // store's revision of the state in force
	Unsure     uint64 `json:"unsure_ms"`  // milliseconds since the store confirmed the state
	Peers      int    `json:"peers"`      // balancers that are alive
	Registered int    `json:"registered"` // registrations that stand

	Ages metric.Summary `json:"ages"` // age of configuration and registrations, at each heartbeat
}

// Counters returns the totals so far.
func (f *Feed) Counters(now time.Time) Counters {
	f.mu.Lock()
	defer f.mu.Unlock()
	c := f.counts
	c.Ages = f.ages.Summary()
	c.Revision = f.state.Revision
	if f.state.Routing != nil {
		c.Version = uint64(f.state.Routing.Version)
		c.Unsure = uint64(max(now.Sub(f.confirmed), 0).Milliseconds())
	}
	c.Peers = f.alive(now)
	for i := range f.state.Servers {
		if f.state.Servers[i].Gone.IsZero() {
			c.Registered++
		}
	}
	return c
}

// New returns a feed that knows nothing yet.
func New(now time.Time, opts Options) *Feed {
	f := &Feed{
		opts:    opts,
		rng:     rand.New(rand.NewPCG(opts.Seed, 7)),
		servers: roster.New(),
		peers:   make(map[netip.AddrPort]peer),
		ages:    metric.NewHistogram(),
	}
	for _, s := range opts.Seeds {
		if s != opts.Self {
			f.peers[s] = peer{heard: now.Add(-peerTimeout)} // to be told, not yet alive
		}
	}
	return f
}

// State returns the newest state, its Routing nil before the first one.
func (f *Feed) State() State {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.state
}

// Next decides the next step. Few balancers watch; the others read only when
// what they hear of the store grows old, or nothing is known yet.
func (f *Feed) Next(now time.Time) Plan {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.failures > 0 {
		if due := f.lost.Add(f.backoff()); now.Before(due) {
			return Plan{Step: StepPause, Wait: due.Sub(now)}
		}
	}
	fresh := f.opts.ApplyWithin / 2
	known := f.state.Routing != nil && len(f.state.Servers) > 0
	if known && !f.watches(now) && now.Sub(f.confirmed) < fresh {
		f.listed = false
		return Plan{Step: StepPause, Wait: heartbeatEvery / 3}
	}
	if !f.listed {
		return Plan{Step: StepList}
	}
	return Plan{Step: StepWatch, After: f.state.Revision, Wait: f.opts.ApplyWithin / 3}
}

// backoff is the jittered pause after the present number of failures.
func (f *Feed) backoff() time.Duration {
	d := min(retryFirst<<min(f.failures-1, 8), retryMost)
	return d/2 + time.Duration(f.rng.Int64N(int64(d)))
}

// Listed takes a reading of everything that began at the given time.
func (f *Feed) Listed(now, began time.Time, routing, servers currantturn.Listing, out *currantturn.Effects) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.regained(now, out)
	f.counts.Lists++
	// Changes between the two reads are seen again by the watch.
	revision := min(routing.Revision, servers.Revision)
	f.listed = true
	if revision < f.state.Revision {
		return // a peer was ahead; the watch goes on from its revision
	}
	next := State{Revision: revision, Routing: f.state.Routing}
	for _, i := range routing.Items {
		next.Routing = f.newer(i.Routing, out)
	}
	var all []currantturn.Registration
	for _, i := range servers.Items {
		if i.Registration != nil {
			all = append(all, *i.Registration)
		}
	}
	f.servers.Replace(now, all, f.trusted)
	f.changed = nil
	next.Servers = f.servers.Entries()
	f.state, f.confirmed = next, began
}

// Watched takes the changes of a watch.
func (f *Feed) Watched(now time.Time, l currantturn.Listing, out *currantturn.Effects) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.regained(now, out)
	f.counts.Watches++
	if l.Revision < f.state.Revision {
		return // a peer was ahead
	}
	next := State{Revision: l.Revision, Routing: f.state.Routing, Servers: f.state.Servers}
	for _, i := range l.Items {
		f.take(now, i, &next, out)
	}
	next.Servers = f.servers.Entries()
	f.note(l, &next)
	f.state, f.confirmed = next, now
}

// note keeps a small change for the next heartbeat.
func (f *Feed) note(l currantturn.Listing, next *State) {
	f.changed, f.since = nil, f.state.Revision
	if next.Routing != f.state.Routing || len(l.Items) > maxChanged {
		return
	}
	for _, i := range l.Items {
		id := i.Removed
		if i.Registration != nil {
			id = i.Registration.ID
		}
		if e, ok := f.servers.Get(id); ok {
			f.changed = append(f.changed, e)
		}
	}
}

func (f *Feed) take(now time.Time, i currantturn.Item, next *State, out *currantturn.Effects) {
	switch {
	case i.Routing != nil:
		next.Routing = f.newer(i.Routing, out)
	case i.Registration != nil:
		f.servers.Put(*i.Registration)
		out.Event(event.RegistrationSeen, event.F("backend", i.Registration.ID),
			event.F("state", i.Registration.State), event.F("revision", next.Revision))
	default:
		f.servers.Remove(now, i.Removed, f.trusted)
		out.Event(event.RegistrationGone, event.F("backend", i.Removed),
			event.F("revision", next.Revision), event.F("trusted", !now.Before(f.trusted)))
	}
}

// newer returns the configuration that is in force from now on; a lower
// version never replaces a higher one.
func (f *Feed) newer(r *currantturn.Routing, out *currantturn.Effects) *currantturn.Routing {
	old := f.state.Routing
	if r == nil || old != nil && r.Version <= old.Version {
		return old
	}
	out.Event(event.RoutingInForce, event.F("version", uint64(r.Version)), event.F("routes", len(r.Routes)))
	return r
}

// Failed takes a failed read.
func (f *Feed) Failed(now time.Time, compacted bool, err error, out *currantturn.Effects) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.listed = false
	if compacted {
		f.counts.Compacted++
		return // the store answers: read everything at once
	}
	if f.failures == 0 {
		out.Event(event.StoreLost, event.F("error", err))
	}
	f.failures++
	f.counts.Failures++
	f.lost = now
	f.trusted = now.Add(lapseGrace)
}

func (f *Feed) regained(now time.Time, out *currantturn.Effects) {
	if f.failures > 0 {
		f.trusted = now.Add(lapseGrace)
		out.Event(event.StoreRegained, event.F("failures", f.failures))
	}
	f.failures = 0
}

// Pulled takes the state of a peer that was ahead.
func (f *Feed) Pulled(s State, out *currantturn.Effects) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if s.Routing == nil && s.Version == f.state.Known() {
		s.Routing = f.state.Routing
	}
	if s.Revision <= f.state.Revision || s.Routing == nil {
		return
	}
	f.counts.Pulls++
	f.changed = nil
	s.Routing = f.newer(s.Routing, out)
	f.servers.Restore(s.Servers)
	s.Servers = f.servers.Entries()
	f.state = s
}
