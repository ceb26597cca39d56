package statesync

import (
	"errors"
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"

	"github.com/currantturn/currantturn"
	"github.com/currantturn/currantturn/internal/event"
	"github.com/currantturn/currantturn/internal/metric"
	"github.com/currantturn/currantturn/internal/state/drained"
	"github.com/currantturn/currantturn/internal/state/roster"
	"github.com/currantturn/currantturn/internal/state/routehistory"
)

// Options are the settings of a Feed.
type Options struct {
	Self  netip.AddrPort   // link address of this balancer
	Seeds []netip.AddrPort // link addresses of balancers that get the first heartbeats
	Seed  uint64           // of the random number generator
	// Capacity is that of the network link in Mbit/s; the balancers with the
	// fastest links watch the store.
	Capacity float64
	// ApplyWithin is the time within which a published configuration has to be
	// in force.
	ApplyWithin time.Duration
	// Fresh is true if no flow can be older than this process.
	Fresh bool
}

// Step is the next action of a balancer on the store.
type Step string

// Steps of a balancer.
const (
	StepList  Step = "list"  // read everything
	StepWatch Step = "watch" // wait for changes
	StepPause Step = "pause" // don't access the store for a moment
)

// Plan is the next step with its arguments.
type Plan struct {
	Step  Step
	After currantturn.Position // after which a watch starts
	Wait  time.Duration        // longest duration of a watch, or duration of a pause
}

// Feed keeps the newest published state; it is safe for concurrent use.
type Feed struct {
	opts Options

	mu      sync.Mutex
	rng     *rand.Rand
	state   State
	servers *roster.Roster
	earlier *routehistory.History
	// recordedSince is the time since which no removal of a registration, or of a
	// service from a route, is missing from the record.
	recordedSince time.Time
	mustList      bool // there is no state yet, or a watch can't return the changes after its revision
	// incomplete is true while the state comes from a process of an earlier build, which may
	// lack orders to drain failure domains or registrations of its position.
	incomplete bool
	listedAt   time.Time // last complete read of the store
	resumed    bool      // a watch has succeeded since the last failure or pause
	// confirmedAt is when the store last confirmed the state, to this balancer or
	// to another one.
	confirmedAt  time.Time
	lastFailedAt time.Time // last failed read of this balancer
	// trustedFrom is when a missing registration no longer counts as a lapse
	// caused by an outage of the store.
	trustedFrom time.Time
	// lapsedUntil is the time until which a backend server that runs may not be registered:
	// after the first state, and after an outage of the store.
	lapsedUntil time.Time
	// hiddenUntil is the time until which a backend server that is not known here may be
	// hidden by something else under its ID.
	hiddenUntil      time.Time
	check            checkState
	era              eraState
	drained          drainedState
	startedAt        time.Time
	greet            []netip.AddrPort // peers that get a heartbeat with the next tick, because they were silent before
	failures         int              // consecutive failed reads
	malformed        int              // those of them whose answer can't be decoded
	peers            map[netip.AddrPort]peer
	announced        map[netip.AddrPort]announcement // by link address of the agent
	change           *change                         // that led to the state; nil if unknown or too large for a heartbeat
	lastHeartbeat    time.Time
	reportedWatching bool // whether the last event said that this balancer watches
	counts           Counters
	ages             *metric.Histogram // age of the state at each heartbeat
}

// New returns a feed without a state.
func New(now time.Time, opts Options) *Feed {
	f := &Feed{
		opts:          opts,
		rng:           rand.New(rand.NewPCG(opts.Seed, 7)),
		servers:       roster.New(),
		earlier:       routehistory.New(),
		recordedSince: now,
		startedAt:     now,
		mustList:      true,
		peers:         make(map[netip.AddrPort]peer),
		announced:     make(map[netip.AddrPort]announcement),
		ages:          metric.NewHistogram(),
		drained:       drainedState{domains: drained.New()},
	}
	if opts.Fresh {
		f.recordedSince = now.Add(-recordNeeded)
	}
	for _, s := range opts.Seeds {
		if s != opts.Self {
			f.peers[s] = peer{lastReceived: now.Add(-peerTimeout)} // gets heartbeats but is not alive yet
		}
	}
	return f
}

// State returns the newest state, whose Routing is nil before the first one.
func (f *Feed) State(now time.Time) State {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.state
	if f.servers.Lapsing() {
		s.Servers = f.servers.Entries(now)
	}
	s.Drained = f.drained.domains.Entries(now)
	s.Complete, s.DrainedKnown = !f.incomplete, !f.incomplete
	s.ResetsHeld = f.incomplete || !f.check.at.IsZero() || now.Before(f.hiddenUntil)
	s.RecordedMS = f.recordedMS(now)
	s.Earlier = f.earlier.Entries(now)
	s.Unverified, s.PlacementHeld = f.verifying(), f.placementHeld(now)
	if !f.usable() || now.Before(f.lapsedUntil) {
		s.Announced = f.announcedAgents(now)
	}
	return s
}

// Next returns the next step. Only the watchers watch the store; the other
// balancers rely on heartbeats, and read the store while they have no state yet
// or when the store's last confirmation of their state is too old.
func (f *Feed) Next(now time.Time) Plan {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.failures > 0 {
		if retryAt := f.lastFailedAt.Add(f.backoff(now)); now.Before(retryAt) {
			return Plan{Step: StepPause, Wait: retryAt.Sub(now)}
		}
	}
	if f.verificationDue(now) || f.checkDue(now) {
		return Plan{Step: StepList}
	}
	maxAge := f.opts.ApplyWithin / 2
	if f.usable() && !f.isWatcher(now) && now.Sub(f.confirmedAt) < maxAge {
		f.resumed = false
		return Plan{Step: StepPause, Wait: heartbeatInterval / 3}
	}
	if f.mustList || f.mustComplete(now) {
		return Plan{Step: StepList}
	}
	wait := f.opts.ApplyWithin / 3
	if !f.resumed {
		wait = resumeWait
	}
	return Plan{Step: StepWatch, After: f.state.Position, Wait: wait}
}

// usable reports whether the state has what it takes to place flows.
func (f *Feed) usable() bool {
	return f.state.Routing != nil && len(f.state.Servers) > 0
}

// backoff returns the pause with jitter after the present number of failures. At first
// it stays short for watchers without a usable state, for which all others wait.
func (f *Feed) backoff(now time.Time) time.Duration {
	limit := maxBackoff
	if f.failures <= firstFailures && !f.usable() && f.isWatcher(now) {
		limit = maxFirstBackoff
	}
	d := min(minBackoff<<min(f.failures-1, 8), limit)
	return d/2 + time.Duration(f.rng.Int64N(int64(d)))
}

// ApplyListing applies a complete read of the store that began at the given
// time.
func (f *Feed) ApplyListing(now, began time.Time, routing, servers currantturn.Listing, out *currantturn.Effects) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.observeEra(now, max(routing.Era, servers.Era), out)
	if routing.Era != servers.Era || f.isLate(servers.Position) {
		f.countFailure(now, errEarlierEra, out)
		return
	}
	f.endOutage(now, out)
	f.counts.Lists++
	// With the lower revision, the watch repeats changes made between the two reads.
	position := currantturn.Position{Era: servers.Era, Revision: min(routing.Revision, servers.Revision)}
	f.mustList, f.resumed, f.listedAt = false, true, now
	if f.state.After(position) {
		f.postponeCheck(now)
		return // a newer state came from a peer; the watch continues from its revision
	}
	if !f.usable() {
		f.holdPlacement()
	}
	unrecorded := f.usable() && position != f.state.Position || !f.usable() && !f.opts.Fresh
	if unrecorded {
		f.recordedSince = now // earlier changes may be missing
	}
	f.enterEra(position)
	next := State{Position: position, Routing: f.state.Routing}
	for _, item := range routing.Items {
		f.setRouting(now, &next, item.Routing, out)
	}
	registrations, unusable := splitListing(now, servers.Items)
	if unrecorded && f.mayHide(&next, registrations, unusable) {
		f.hiddenUntil = now.Add(hiddenGrace)
	}
	f.replaceDrained(now, routing)
	for i := range registrations {
		if r := &registrations[i]; !f.verifying() && f.servers.Contains(r.ID) {
			f.offer(now, *r, &next) // by what the routes lead to, which the roster does not know
		}
	}
	f.replaceServers(now, registrations, unusable)
	f.change, f.incomplete = nil, false
	next.Servers, next.Drained = f.servers.Entries(now), f.drained.domains.Entries(now)
	f.state = next
	f.finishCheck(now)
	f.confirmAt(began)
}

// ApplyChanges applies the changes that a watch from a position returned.
func (f *Feed) ApplyChanges(now time.Time, after currantturn.Position, changes currantturn.Listing, out *currantturn.Effects) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.observeEra(now, changes.Era, out)
	if f.isLate(changes.Position) {
		f.countFailure(now, errEarlierEra, out)
		return
	}
	f.endOutage(now, out)
	f.counts.Watches++
	if f.mustList || after.Era != f.state.Era || after.After(f.state.Position) {
		return // the changes follow a position of another history
	}
	f.resumed = true
	if f.state.After(changes.Position) {
		return // a newer state came from a peer
	}
	next := State{Position: changes.Position, Routing: f.state.Routing, Servers: f.state.Servers}
	for _, item := range changes.Items {
		f.applyItem(now, item, &next, out)
	}
	next.Servers, next.Drained = f.servers.Entries(now), f.drained.domains.Entries(now)
	f.change = f.changeTo(now, &next, changes)
	f.state = next
	f.confirmAt(now)
}

// applyItem applies one change of a watch to the registrations and the next state.
func (f *Feed) applyItem(now time.Time, item currantturn.Item, next *State, out *currantturn.Effects) {
	switch {
	case item.Routing != nil:
		f.setRouting(now, next, item.Routing, out)
	case item.Registration != nil && plausible(now, item.Registration):
		f.offer(now, *item.Registration, next)
		out.Event(event.RegistrationSeen, event.F("backend", item.Registration.ID),
			event.F("state", item.Registration.State), event.F("era", next.Era), event.F("revision", next.Revision))
	case item.Drain != nil:
		f.drained.domains.Apply(*item.Drain)
	case item.Removed == "":
		id := unusableID(item)
		f.servers.Suspect(now, id, f.trustedFrom)
		out.Event(event.RegistrationUnusable, event.F("backend", id), event.F("era", next.Era), event.F("revision", next.Revision))
	default:
		f.servers.Remove(now, item.Removed, f.trustedFrom)
		out.Event(event.RegistrationGone, event.F("backend", item.Removed),
			event.F("era", next.Era), event.F("revision", next.Revision), event.F("trusted", !now.Before(f.trustedFrom)))
	}
}

// setRouting replaces the routing of the next state by r if the version of r is
// higher: a lower version never replaces a higher one.
func (f *Feed) setRouting(now time.Time, next *State, r *currantturn.Routing, out *currantturn.Effects) {
	if r == nil || r.Version <= next.RoutingVersion() {
		return
	}
	if !f.earlier.Replace(now, next.Routing, r) {
		f.recordedSince = now
	}
	next.Routing = r
	out.Event(event.RoutingInForce, event.F("version", uint64(r.Version)), event.F("routes", len(r.Routes)))
}

// RecordFailure records a failed read, with the era of the store's response; 0 if there
// was none. After currantturn.ErrCompacted, the store no longer has the changes after the
// revision of the watch. After an answer that is too large, or a second one that can't be
// decoded, everything is read: the same watch would return at least as much.
func (f *Feed) RecordFailure(now time.Time, era uint64, err error, out *currantturn.Effects) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.resumed = false
	f.observeEra(now, era, out)
	if errors.Is(err, currantturn.ErrCompacted) {
		f.endOutage(now, out) // the store responds, so a complete read follows without backoff
		f.mustList = true
		f.counts.Compacted++
		return
	}
	if errors.Is(err, currantturn.ErrTooLarge) {
		out.Event(event.StoreAnswerTooLarge, event.F("error", err), event.F("era", f.state.Era), event.F("revision", f.state.Revision))
		f.counts.TooLarge++
		if !f.mustList {
			f.endOutage(now, out)
			f.mustList = true
			return
		}
	}
	if errors.Is(err, currantturn.ErrMalformed) {
		f.malformed++
		f.mustList = f.mustList || f.malformed > 1
	}
	f.countFailure(now, err, out)
}

// countFailure counts a read without a usable response.
func (f *Feed) countFailure(now time.Time, err error, out *currantturn.Effects) {
	if f.failures == 0 {
		out.Event(event.StoreLost, event.F("error", err))
	}
	f.failures++
	f.counts.Failures++
	f.lastFailedAt = now
	f.trustedFrom = now.Add(lapseGrace)
}

// endOutage ends the outage, if there was one, after a successful read.
func (f *Feed) endOutage(now time.Time, out *currantturn.Effects) {
	if f.failures > 0 || !f.usable() {
		f.lapsedUntil = now.Add(lapseGrace)
	}
	if f.failures > 0 {
		f.trustedFrom = now.Add(lapseGrace)
		out.Event(event.StoreRegained, event.F("failures", f.failures))
	}
	f.failures, f.malformed = 0, 0
}

// ApplyPulled applies the state read from a peer if it is newer than the own one, and
// adds the peer's record of removals to the own one.
func (f *Feed) ApplyPulled(now time.Time, s State, out *currantturn.Effects) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if s.Routing == nil && s.Version == f.state.RoutingVersion() {
		s.Routing = f.state.Routing
	}
	f.mergeAnnounced(now, s.Announced)
	if s.Routing == nil || f.fromEarlierEra(s.Position) {
		return
	}
	f.observeEra(now, s.Era, out)
	if s.Era == 0 {
		s.Era = f.state.Era // of a process that does not know of eras
	}
	if f.lacksEarlierEra(s.Position, s.Unverified) {
		f.learnEarlierEra(now, &s, out)
	}
	if f.state.After(s.Position) {
		return
	}
	f.counts.Pulls++
	f.era.heldUntil = time.Time{}
	if !f.usable() {
		f.lapsedUntil = now.Add(lapseGrace)
	}
	f.mustList = false
	f.mergeRecord(now, &s)
	if !s.After(f.state.Position) {
		f.completeFrom(now, &s)
		f.state.Servers, f.state.Drained = f.servers.Entries(now), f.drained.domains.Entries(now)
		return
	}
	f.change, f.incomplete = nil, !s.Complete
	f.enterEra(s.Position)
	next := State{Position: s.Position, Routing: f.state.Routing}
	f.setRouting(now, &next, s.Routing, out)
	f.adoptServers(now, &s)
	f.adoptDrained(now, &s)
	next.Servers, next.Drained = f.servers.Entries(now), f.drained.domains.Entries(now)
	f.state = next
}

// completeFrom completes the state by that of a peer at the same position.
func (f *Feed) completeFrom(now time.Time, s *State) {
	if !f.incomplete || !s.Complete {
		return
	}
	f.adoptServers(now, s)
	f.adoptDrained(now, s)
	f.incomplete = false
}

// adoptServers replaces the registrations by those of a peer's state.
func (f *Feed) adoptServers(now time.Time, s *State) {
	if f.verifying() {
		f.servers.Reconcile(now, s.Servers, nil, f.era.firstRevision, f.trustedFrom)
	} else {
		f.servers.Update(now, s.Servers)
	}
}

// mustComplete reports whether everything is to be read because the state is incomplete:
// a watch does not return what is missing.
func (f *Feed) mustComplete(now time.Time) bool {
	return f.incomplete && now.Sub(f.listedAt) >= f.opts.ApplyWithin/2
}
