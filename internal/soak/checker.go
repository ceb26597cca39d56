package soak

import (
	"fmt"
	"net/netip"
	"slices"
	"sync"
	"time"
)

// flowID identifies a flow by the addresses of its caller and its service.
type flowID struct {
	caller, service netip.AddrPort
}

// String formats the flow as the programs' logs do.
func (id flowID) String() string { return id.caller.String() + ">" + id.service.String() }

// guarantees are the names of what the checker verifies.
var guarantees = []string{
	"flow", "mixed", "unasked", "route", "config", "regress", "drain", "drain_domain", "once", "recover", "service", "process",
}

// subject is a part of the system that a fault can disturb.
type subject string

const storeSubject subject = "store"

func balancerSubject(i int) subject { return subject(fmt.Sprintf("balancer-%d", i)) }

// backendSubject is the VM of a backend server and its agent.
func backendSubject(j int) subject { return subject(fmt.Sprintf("agent-%d", j)) }

// disturbance counts the faults that act on a subject.
type disturbance struct {
	active    int
	lastEnded time.Time // end of the most recent fault
}

// version is a configuration that the store has acknowledged.
type version struct {
	number       uint64
	acknowledged time.Time
	routes       map[netip.AddrPort]int // index of the service by address
}

// flowTrack is what the checker has recorded about a flow.
type flowTrack struct {
	firstSent    time.Time // first copy of the opening packet
	lastSentTo   map[int]time.Time
	holder       *instance   // set at the end of the handshake
	lastAtHolder time.Time   // last packet received by the holder
	strays       []time.Time // packets at other backend servers since lastAtHolder
}

// checker verifies the guarantees from what callers and backend servers observe.
// Functions whose names end in Locked need mu to be held.
type checker struct {
	mu            sync.Mutex
	violations    []string
	disturbances  map[subject]*disturbance
	versions      []version
	flows         map[flowID]*flowTrack
	executions    map[string]int          // how often each request was executed
	shownVersions map[string]shownVersion // by "balancer/incarnation"
	incarnationOf func(int) int           // current incarnation of a balancer
	counts        map[string]uint64       // events by description
	drains        map[string]time.Time    // when the store acknowledged that a failure domain is drained; zero before that
	unknownBefore []string                // guarantees that an earlier build does not know
	upgradedAt    time.Time               // when the last process of the earlier build was replaced; zero before that
}

// shownVersion is the newest version that a balancer has applied, as far as its
// placements show.
type shownVersion struct {
	index   int // into checker.versions; -1 if the placements show none
	shownAt time.Time
}

func newChecker(incarnation func(balancer int) int) *checker {
	return &checker{
		disturbances: make(map[subject]*disturbance), flows: make(map[flowID]*flowTrack),
		executions: make(map[string]int), shownVersions: make(map[string]shownVersion), counts: make(map[string]uint64),
		incarnationOf: incarnation, drains: make(map[string]time.Time),
	}
}

// beginDrain records that a failure domain is to be drained. It returns false if it is.
func (c *checker) beginDrain(domain string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	_, found := c.drains[domain]
	if !found {
		c.drains[domain] = time.Time{}
	}
	return !found
}

// recordDrained records that the store has acknowledged the order to drain it.
func (c *checker) recordDrained(now time.Time, domain string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.drains[domain] = now
}

// endDrain records that the order is about to be taken back.
func (c *checker) endDrain(domain string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.drains, domain)
}

// recordUpgraded records that no process runs the earlier build any more.
func (c *checker) recordUpgraded(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.upgradedAt = now
}

// reportLocked records a violation of the named guarantee, unless an earlier build that
// does not know it runs or ran within settleTime.
func (c *checker) reportLocked(now time.Time, guarantee, format string, args ...any) {
	if slices.Contains(c.unknownBefore, guarantee) && (c.upgradedAt.IsZero() || now.Sub(c.upgradedAt) < settleTime) {
		c.counts[guarantee+" unknown to the earlier build"]++
		return
	}
	c.violations = append(c.violations, now.Format("15:04:05.000 ")+guarantee+": "+fmt.Sprintf(format, args...))
}

// report records a violation of the named guarantee.
func (c *checker) report(now time.Time, guarantee, format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reportLocked(now, guarantee, format, args...)
}

func (c *checker) count(what string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts[what]++
}

// beginDisturbance records that a fault begins on the subjects. The returned
// function records its end.
func (c *checker) beginDisturbance(subjects ...subject) (end func(now time.Time)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, s := range subjects {
		if c.disturbances[s] == nil {
			c.disturbances[s] = &disturbance{}
		}
		c.disturbances[s].active++
	}
	return func(now time.Time) {
		c.mu.Lock()
		defer c.mu.Unlock()
		for _, s := range subjects {
			c.disturbances[s].active--
			c.disturbances[s].lastEnded = now
		}
	}
}

// undisturbedLocked reports whether no fault has acted on the subject for settleTime.
func (c *checker) undisturbedLocked(now time.Time, s subject) bool {
	d := c.disturbances[s]
	return d == nil || d.active == 0 && now.Sub(d.lastEnded) >= settleTime
}

func (c *checker) allUndisturbedLocked(now time.Time) bool {
	for s := range c.disturbances {
		if !c.undisturbedLocked(now, s) {
			return false
		}
	}
	return true
}

// recordVersion records a version that the store has acknowledged.
func (c *checker) recordVersion(v version) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.versions = append(c.versions, v)
}

// recordSent records that a caller sends a packet to a balancer.
func (c *checker) recordSent(now time.Time, id flowID, balancer int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	t := c.flows[id]
	if t == nil {
		t = &flowTrack{firstSent: now, lastSentTo: make(map[int]time.Time)}
		c.flows[id] = t
	}
	t.lastSentTo[balancer] = now
}

// checkPlacement checks the flow of an opening packet that a backend server accepts.
func (c *checker) checkPlacement(now time.Time, id flowID, b *instance) {
	c.mu.Lock()
	defer c.mu.Unlock()
	t := c.flows[id]
	if t == nil {
		c.reportLocked(now, "unasked", "%s received an opening packet of %s that no caller sent", b.id, id)
		return
	}
	undisturbed := c.undisturbedLocked(now, storeSubject)
	for i := range t.lastSentTo {
		undisturbed = undisturbed && c.undisturbedLocked(now, balancerSubject(i))
	}
	if !b.drainingSince.IsZero() && t.firstSent.After(b.drainingSince.Add(drainWithin)) && undisturbed {
		c.reportLocked(now, "drain", "%s received a new flow %s after the store acknowledged that it is draining", b.id, now.Sub(b.drainingSince))
	}
	drained := c.drains[failureDomain(b.vm)]
	if !drained.IsZero() && now.After(drained.Add(drainWithin)) && undisturbed && c.undisturbedLocked(now, backendSubject(b.vm)) {
		c.reportLocked(now, "drain_domain", "%s received a new flow %s after the store acknowledged that %s is drained", b.id, now.Sub(drained), failureDomain(b.vm))
	}
	c.checkVersionLocked(now, id, t, b, undisturbed)
}

// checkVersionLocked checks that a new flow went to a service to which a version in
// force routes it, and that its balancer did not return to an older version. The
// version with index due is the newest one that must be in force everywhere, so
// only it and later ones may be in force. due is -1 if there is none.
func (c *checker) checkVersionLocked(now time.Time, id flowID, t *flowTrack, b *instance, undisturbed bool) {
	newest, oldest, due := -1, -1, -1
	for i, v := range c.versions {
		if t.firstSent.After(v.acknowledged.Add(applyWithin)) {
			due = i
		}
	}
	for i, v := range c.versions {
		if v.routes[id.service] != b.service {
			continue
		}
		if newest = i; oldest < 0 && i >= due {
			oldest = i // the first version that may be in force
		}
	}
	switch {
	case newest < 0:
		c.reportLocked(now, "route", "%s of service %d received a flow to %s, which no version routes there", b.id, b.service, id.service)
	case newest < due && undisturbed:
		c.reportLocked(now, "config", "flow %s was routed by version %d, %s after version %d was acknowledged", id,
			c.versions[newest].number, now.Sub(c.versions[due].acknowledged), c.versions[due].number)
	}
	if len(t.lastSentTo) != 1 {
		return // unknown which balancer placed the flow
	}
	for i := range t.lastSentTo {
		key := fmt.Sprintf("%d/%d", i, c.incarnationOf(i))
		p, found := c.shownVersions[key]
		if found && newest < p.index && t.firstSent.Sub(p.shownAt) > regressSlack && c.undisturbedLocked(now, balancerSubject(i)) {
			c.reportLocked(now, "regress", "balancer %d returned from version %d to %d", i, c.versions[p.index].number, c.versions[newest].number)
		}
		if !found || oldest > p.index {
			c.shownVersions[key] = shownVersion{index: oldest, shownAt: now}
		}
	}
}

// recordOpened records that a backend server completed the handshake of a flow.
func (c *checker) recordOpened(now time.Time, id flowID, b *instance) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if t := c.flows[id]; t != nil {
		t.holder, t.lastAtHolder, t.strays = b, now, nil
	}
}

// recordAtHolder records a packet received by the flow's holder.
func (c *checker) recordAtHolder(now time.Time, id flowID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if t := c.flows[id]; t != nil {
		t.lastAtHolder, t.strays = now, nil
	}
}

// checkStray checks a packet received by a backend server that does not hold its
// flow.
func (c *checker) checkStray(now time.Time, id flowID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	t := c.flows[id]
	if t == nil || t.holder == nil {
		return
	}
	t.strays = append(t.strays, now)
	if len(t.strays) < strayPackets || now.Sub(t.strays[0]) < strayDuration {
		return
	}
	undisturbed := c.undisturbedLocked(now, backendSubject(t.holder.vm))
	for i, at := range t.lastSentTo {
		undisturbed = undisturbed && (now.Sub(at) > strayDuration || c.undisturbedLocked(now, balancerSubject(i)))
	}
	if undisturbed {
		c.reportLocked(now, "flow", "%d packets of %s reached backend servers other than its holder %s", len(t.strays), id, t.holder.id)
	}
	t.strays = nil
}

// holderOf returns the backend server that completed the flow's handshake, or nil.
func (c *checker) holderOf(id flowID) *instance {
	c.mu.Lock()
	defer c.mu.Unlock()
	if t := c.flows[id]; t != nil {
		return t.holder
	}
	return nil
}

// checkReset checks a reset received by the caller of an open flow; holds is
// whether the backend server still holds the flow.
func (c *checker) checkReset(now time.Time, id flowID, sender subject, holder *instance, holds bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts["flows reset"]++
	if holds && c.undisturbedLocked(now, backendSubject(holder.vm)) && c.undisturbedLocked(now, sender) {
		c.reportLocked(now, "flow", "%s reset %s, which its backend server %s holds", sender, id, holder.id)
	}
}

// checkNotOpened checks a new flow that could not be opened. The reason is
// "refused" or "not answered".
func (c *checker) checkNotOpened(now time.Time, id flowID, reason string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts["flows "+reason]++
	if c.allUndisturbedLocked(now) {
		c.reportLocked(now, "service", "flow %s was %s though no fault was active or recent", id, reason)
	}
}

// checkUnanswered checks a request that received no answer.
func (c *checker) checkUnanswered(now time.Time, id flowID, request string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts["requests unanswered"]++
	if c.allUndisturbedLocked(now) {
		c.reportLocked(now, "service", "request %s of %s received no answer though no fault was active or recent", request, id)
	}
}

// checkExecution checks that a request that a backend server begins to process
// has not been processed before.
func (c *checker) checkExecution(now time.Time, request string, b *instance) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.executions[request]++
	if c.executions[request] > 1 {
		c.reportLocked(now, "once", "request %s was executed again, by %s", request, b.id)
	}
}

// results returns the violations and the counts of events.
func (c *checker) results() (violations []string, counts map[string]uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	counts = make(map[string]uint64, len(c.counts))
	for k, n := range c.counts {
		counts[k] = n
	}
	return slices.Clone(c.violations), counts
}
