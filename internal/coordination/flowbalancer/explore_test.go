package flowbalancer_test

import (
	"fmt"
	"net/netip"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/currantturn/currantturn"
	"github.com/currantturn/currantturn/internal/state/roster"
	"github.com/currantturn/currantturn/internal/state/routehistory"
	"github.com/currantturn/currantturn/internal/suite"
	"pgregory.net/rapid"
)

// Bounds of the rules, and times of the platform.
const (
	settleWindow   = 4 * time.Second
	rollbackSlack  = 250 * time.Millisecond
	drainBound     = 3 * time.Second
	heartbeat      = 1200 * time.Millisecond
	restartDelay   = 550 * time.Millisecond // of a process that was stopped or killed
	calmSpan       = 12 * time.Second       // after the last event
	maxStandstill  = 4 * time.Second
	rollInterval   = 700 * time.Millisecond // between the restarts of a series
	explorePlanned = "planned"              // kinds of events that excuse nothing begin with this
)

// exploration is a simulation with random events and checks of the rules, as callers and backend
// servers see them.
type exploration struct {
	*simulation
	roster      *roster.Roster
	foreign     map[currantturn.BackendID]bool // under whose ID something else stands
	disturbed   map[netip.Addr]time.Time       // VMs with unplanned disruption, and its end
	faultyUntil map[netip.Addr]time.Time       // VMs with faulty links
	versions    []currantturn.ServiceName      // that each version of the route leads to
	shown       map[netip.Addr]shownVersion    // by balancer
	drainedAt   map[currantturn.BackendID]time.Time
	timeline    []string
}

// shownVersion is the newest version of which a balancer has shown the effect.
type shownVersion struct {
	version int
	at      time.Time
}

func newExploration(seed uint64) *exploration {
	x := &exploration{
		simulation: newSimulation(seed), roster: roster.New(), foreign: map[currantturn.BackendID]bool{},
		disturbed: map[netip.Addr]time.Time{}, faultyUntil: map[netip.Addr]time.Time{}, shown: map[netip.Addr]shownVersion{}, drainedAt: map[currantturn.BackendID]time.Time{},
		versions: []currantturn.ServiceName{"verify"},
	}
	for n := range 5 {
		b := x.addBackendOf([]currantturn.ServiceName{"verify", "verify", "verify", "reports", "reports"}[n], 3)
		b.registration.StartedAt = x.now
		x.roster.Put(b.registration)
	}
	for range 3 {
		x.addBalancer()
	}
	x.published = func() []roster.Entry {
		x.roster.Expire(x.now, x.now)
		return x.roster.Entries(x.now)
	}
	x.recorded = time.Minute
	x.faulty = func(vm netip.Addr) bool { return x.now.Before(x.faultyUntil[vm]) }
	x.onOpening, x.excuses = x.checkOpening, x.excusesFlow
	x.scheduleEvery(100*time.Millisecond, func() {
		if x.roster.Expire(x.now, x.now) {
			x.publish()
		}
	})
	x.publish()
	return x
}

// note adds a line to the timeline.
func (x *exploration) note(format string, args ...any) {
	x.timeline = append(x.timeline, fmt.Sprintf("%8s  ", x.elapsed())+fmt.Sprintf(format, args...))
}

// inTouch reports whether a VM has been without unplanned disruption for the settle window.
func (x *exploration) inTouch(vm netip.Addr) bool {
	until, found := x.disturbed[vm]
	return !found || x.now.Sub(until) > settleWindow
}

// disturb records unplanned disruption of a VM.
func (x *exploration) disturb(vm netip.Addr, d time.Duration) {
	if until := x.now.Add(d); until.After(x.disturbed[vm]) {
		x.disturbed[vm] = until
	}
}

// excusesFlow reports whether a VM that has a part in breaking a caller's flow was disturbed.
func (x *exploration) excusesFlow(c *caller, by netip.Addr) bool {
	return !x.inTouch(by) || !x.inTouch(c.holder.address.Addr()) || !x.inTouch(c.requestThrough)
}

// checkOpening checks CONFIG and DRAIN for the opening packet that opened a flow.
func (x *exploration) checkOpening(b *backendVM, p *currantturn.Packet) {
	ip := [4]byte(p.Payload[8:12]) // the tag: the balancer that it passed
	balancer := netip.AddrFrom4(ip)
	c := x.callers[p.Flow.Caller]
	sentAt := c.openingStarted
	for n := range p.Acked {
		sentAt = sentAt.Add(firstRetransmit << n)
	}
	shown := x.shown[balancer]
	allowed := slices.Contains(x.versions[shown.version:], b.registration.Service)
	slack := rollbackSlack
	if !x.inTouch(balancer) {
		slack *= 8
	}
	if !allowed && sentAt.Sub(shown.at) > slack {
		x.violate(c, "CONFIG: %s opens a flow of %s, sent %s after %s had shown version %d",
			b.registration.ID, c.address, sentAt.Sub(shown.at), balancer, shown.version)
	}
	if allowed {
		first := shown.version + slices.Index(x.versions[shown.version:], b.registration.Service)
		if first > shown.version {
			x.shown[balancer] = shownVersion{first, x.now}
		}
	}
	if at, drains := x.drainedAt[b.registration.ID]; drains && x.now.Sub(at) > drainBound && sentAt.After(at) &&
		x.inTouch(balancer) && x.inTouch(b.address.Addr()) {
		x.violate(c, "DRAIN: %s opens a flow %s after it began to drain, through %s", b.registration.ID, x.now.Sub(at), balancer)
	}
}

// addRandomCaller adds a caller that is busy, or idle for longer than the settle window.
func (x *exploration) addRandomCaller() {
	pause := time.Duration(200+x.rng.IntN(3000)) * time.Millisecond
	if x.rng.IntN(2) == 0 {
		pause = settleWindow + time.Duration(x.rng.IntN(6000))*time.Millisecond
	}
	x.addCaller(pause)
}

// freeze lets a VM stand still.
func (x *exploration) freeze(vm netip.Addr, d time.Duration) {
	if x.isFrozen(vm) {
		return
	}
	x.frozen[vm] = nil
	x.disturb(vm, d)
	for _, b := range x.balancers {
		if b.address.Addr() == vm {
			b.frozenAt = x.now
		}
	}
	x.schedule(d, func() {
		for _, b := range x.balancers {
			if b.address.Addr() == vm {
				b.frozenAt = time.Time{}
			}
		}
		x.thaw(vm)
	})
}

// spoil lets the links of a VM lose, double and delay packets.
func (x *exploration) spoil(vm netip.Addr, d time.Duration) {
	x.disturb(vm, d+maxLateness) // when the last one may arrive
	if until := x.now.Add(d); until.After(x.faultyUntil[vm]) {
		x.faultyUntil[vm] = until
	}
}

// stopAgent stops an agent, which the platform starts again.
func (x *exploration) stopAgent(b *backendVM) {
	if b.agentDown || x.isFrozen(b.address.Addr()) {
		return
	}
	b.agentDown = true
	x.schedule(restartDelay, func() {
		b.agentDown = false
		x.restartAgent(b, false)
	})
}

// stopBalancer stops a balancer, which the platform starts again.
func (x *exploration) stopBalancer(b *balancerVM) {
	if b.down || x.isFrozen(b.address.Addr()) {
		return
	}
	b.down = true
	x.schedule(restartDelay, func() {
		delete(x.shown, b.address.Addr())
		x.restartBalancer(b)
	})
}

// overwrite writes something under the ID of a backend server, which writes its registration
// again with its next heartbeat.
func (x *exploration) overwrite(b *backendVM, shape string) {
	id := b.registration.ID
	if x.foreign[id] || !b.removedAt.IsZero() {
		return
	}
	x.foreign[id] = true
	reg := b.registration
	reg.Sequence++
	switch shape {
	case "unreadable":
		x.roster.Suspect(x.now, id, x.now)
	case "service":
		reg.Service = "elsewhere"
		x.roster.Offer(x.now, reg, x.now)
	case "address":
		reg.Address = netip.MustParseAddrPort("10.9.9.9:8080")
		x.roster.Offer(x.now, reg, x.now)
	case "start":
		reg.StartedAt = x.now
		x.roster.Offer(x.now, reg, x.now)
	}
	x.publish()
	x.schedule(time.Duration(x.rng.Int64N(int64(heartbeat))), func() {
		x.foreign[id] = false
		if b.removedAt.IsZero() {
			x.roster.Offer(x.now, b.registration, x.now)
			x.publish()
		}
	})
}

// moveRoute publishes a version that leads to another service.
func (x *exploration) moveRoute() {
	service := currantturn.ServiceName("reports")
	if x.versions[len(x.versions)-1] == service {
		service = "verify"
	}
	x.versions = append(x.versions, service)
	x.earlier = []routehistory.Entry{{Address: serviceAddress, Service: "verify"}, {Address: serviceAddress, Service: "reports"}}
	x.routeTo(service)
	x.publish()
}

// drainOut drains a backend server; it leaves later, with its flows closed.
func (x *exploration) drainOut(b *backendVM) {
	id := b.registration.ID
	if b.registration.State == currantturn.BackendDraining || x.foreign[id] {
		return
	}
	b.registration.State = currantturn.BackendDraining
	x.drainedAt[id] = x.now
	x.roster.Offer(x.now, b.registration, x.now)
	x.publish()
}

// crash ends a backend server and starts it again under its ID, without its flows.
func (x *exploration) crash(b *backendVM) {
	b.crash()
	b.registration.StartedAt, b.registration.Sequence = x.now, 1
	x.schedule(time.Duration(x.rng.Int64N(int64(heartbeat))), func() {
		if !x.foreign[b.registration.ID] {
			x.roster.Offer(x.now, b.registration, x.now)
			x.publish()
		}
	})
}

// exploreEvents are the events of a schedule.
var exploreEvents = []string{
	"planned restart of an agent", "planned restart of a balancer", "planned move of the route", "planned drain",
	"planned overwrite unreadable", "planned overwrite service", "planned overwrite address", "planned overwrite start",
	"planned rolling restart of the agents", "planned rolling restart of the balancers", "kill the agents of a service",
	"faulty links of a balancer", "faulty links of an agent", "freeze a balancer", "freeze an agent", "kill an agent", "kill a balancer", "crash of a backend server", "burst of callers",
}

// play carries out an event at the n-th VM of its kind.
func (x *exploration) play(event string, n int, d time.Duration) {
	ids := x.backendIDs()
	host, balancer := x.backends[ids[n%len(ids)]], x.balancers[n%len(x.balancers)]
	x.note("%s: %s, %s, %s", event, host.registration.ID, balancer.address.Addr(), d)
	switch event {
	case "planned restart of an agent":
		x.stopAgent(host)
	case "planned restart of a balancer":
		x.stopBalancer(balancer)
	case "planned rolling restart of the agents":
		for i, id := range ids {
			x.simulation.schedule(time.Duration(i)*rollInterval, func() { x.stopAgent(x.backends[id]) })
		}
	case "planned rolling restart of the balancers":
		for i, b := range x.balancers {
			x.simulation.schedule(time.Duration(i)*rollInterval, func() { x.stopBalancer(b) })
		}
	case "kill the agents of a service":
		for _, b := range x.backends {
			if b.registration.Service == host.registration.Service {
				x.disturb(b.address.Addr(), restartDelay)
				x.stopAgent(b)
			}
		}
	case "planned move of the route":
		x.moveRoute()
	case "planned drain":
		x.drainOut(host)
	case "faulty links of a balancer":
		x.spoil(balancer.address.Addr(), d)
	case "faulty links of an agent":
		x.spoil(host.address.Addr(), d)
	case "freeze a balancer":
		x.freeze(balancer.address.Addr(), d)
	case "freeze an agent":
		x.freeze(host.address.Addr(), d)
	case "kill an agent":
		x.disturb(host.address.Addr(), restartDelay)
		x.stopAgent(host)
	case "kill a balancer":
		x.disturb(balancer.address.Addr(), restartDelay)
		x.stopBalancer(balancer)
	case "crash of a backend server":
		x.disturb(host.address.Addr(), heartbeat)
		x.crash(host)
	case "burst of callers":
		for range 20 {
			x.addRandomCaller()
		}
	default:
		x.overwrite(host, strings.TrimPrefix(event, explorePlanned+" overwrite "))
	}
}

// step is an event of a schedule, at the n-th VM of its kind, and the pause after it.
type step struct {
	event string
	n     int
	d     time.Duration
	pause time.Duration
}

// schedule is what a run is made of: the same one is always played alike.
type schedule struct {
	seed  uint64
	steps []step
}

// drawSchedule draws a schedule of few kinds of events, which then come together often.
func drawSchedule(t *rapid.T) (s schedule) {
	s.seed = rapid.Uint64().Draw(t, "seed")
	kinds := rapid.SliceOfNDistinct(rapid.SampledFrom(exploreEvents), 1, 5, rapid.ID[string]).Draw(t, "kinds")
	for range rapid.IntRange(1, 10).Draw(t, "events") {
		s.steps = append(s.steps, step{
			event: rapid.SampledFrom(kinds).Draw(t, "event"),
			n:     rapid.IntRange(0, 14).Draw(t, "vm"),
			d:     time.Duration(rapid.IntRange(50, int(maxStandstill.Milliseconds())).Draw(t, "for")) * time.Millisecond,
			pause: time.Duration(rapid.IntRange(0, 1500).Draw(t, "pause")) * time.Millisecond,
		})
	}
	return s
}

// play plays the schedule. The steps of the flow of one caller are added to the timeline if it is
// valid.
func (s schedule) play(traced netip.AddrPort) *exploration {
	x := newExploration(s.seed)
	if traced.IsValid() {
		x.trace = func(caller netip.AddrPort, format string, args ...any) {
			if caller == traced {
				x.note("  "+format, args...)
			}
		}
	}
	for range 30 {
		x.addRandomCaller()
	}
	x.scheduleEvery(50*time.Millisecond, func() {
		if len(x.callers) < 400 {
			x.addRandomCaller()
		}
	})
	x.run(time.Second)
	for _, step := range s.steps {
		x.play(step.event, step.n, step.d)
		x.run(step.pause)
	}
	x.run(calmSpan)
	return x
}

// TestExplore plays random schedules of planned and unplanned events, with copies of packets that
// come late and entries of other writers, and checks FLOW, CONFIG and DRAIN. A failure prints the
// timeline of the events and of the first flow that a rule was broken for.
func TestExplore(t *testing.T) {
	suite.FixSeed()
	rapid.Check(t, func(t *rapid.T) {
		s := drawSchedule(t)
		x := s.play(netip.AddrPort{})
		if len(x.violations) == 0 {
			return
		}
		traced := s.play(x.broken)
		t.Fatalf("%s\nthe timeline:\n%s", strings.Join(x.violations, "\n"), strings.Join(traced.timeline, "\n"))
	})
}
