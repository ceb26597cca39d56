package soak

import (
	"fmt"
	"net/netip"
	"slices"
	"sync"
	"time"
)

// flowID names a flow by its caller's and its service's address.
type flowID struct {
	caller, service netip.AddrPort
}

// String formats the flow as the logs do.
func (id flowID) String() string { return id.caller.String() + ">" + id.service.String() }

// subject is something that faults disturb.
type subject string

const storeSubject subject = "store"

func balancerSubject(i int) subject { return subject(fmt.Sprintf("balancer-%d", i)) }

// backendSubject is a backend server's VM with its agent.
func backendSubject(j int) subject { return subject(fmt.Sprintf("agent-%d", j)) }

// disturbance counts the faults of a subject.
type disturbance struct {
	active int
	ended  time.Time // the last one
}

// version is a configuration as it was acknowledged.
type version struct {
	number uint64
	acked  time.Time
	routes map[netip.AddrPort]int // service by address
}

// track is what is known of a flow.
type track struct {
	begun     time.Time // first copy of the opening packet
	balancers map[int]time.Time
	holder    *instance // since the handshake's end
	own       time.Time // last packet at the holder
	strays    []time.Time
}

// judge checks the promises from what callers and backend servers see.
type judge struct {
	mu          sync.Mutex
	violations  []string
	disturbed   map[subject]*disturbance
	versions    []version
	flows       map[flowID]*track
	runs        map[string]int    // of a request, by its id
	proven      map[string]proof  // by balancer and incarnation
	incarnation func(int) int     // of a balancer
	counts      map[string]uint64 // what callers saw
}

// proof is the newest version that a balancer has shown.
type proof struct {
	version int
	at      time.Time
}

func newJudge(incarnation func(balancer int) int) *judge {
	return &judge{
		disturbed: make(map[subject]*disturbance), flows: make(map[flowID]*track),
		runs: make(map[string]int), proven: make(map[string]proof), counts: make(map[string]uint64),
		incarnation: incarnation,
	}
}

// fail notes a broken promise.
func (j *judge) fail(now time.Time, promise, format string, args ...any) {
	j.violations = append(j.violations, now.Format("15:04:05.000 ")+promise+": "+fmt.Sprintf(format, args...))
}

// failed is fail for those that do not hold the lock.
func (j *judge) failed(now time.Time, promise, format string, args ...any) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.fail(now, promise, format, args...)
}

func (j *judge) count(what string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.counts[what]++
}

// disturb tells that a fault begins; the function returned tells that it ends.
func (j *judge) disturb(subjects ...subject) (end func(now time.Time)) {
	j.mu.Lock()
	defer j.mu.Unlock()
	for _, s := range subjects {
		if j.disturbed[s] == nil {
			j.disturbed[s] = &disturbance{}
		}
		j.disturbed[s].active++
	}
	return func(now time.Time) {
		j.mu.Lock()
		defer j.mu.Unlock()
		for _, s := range subjects {
			j.disturbed[s].active--
			j.disturbed[s].ended = now
		}
	}
}

// calm says whether a subject has been without a fault for the time to settle.
func (j *judge) calm(now time.Time, s subject) bool {
	d := j.disturbed[s]
	return d == nil || d.active == 0 && now.Sub(d.ended) >= settle
}

func (j *judge) allCalm(now time.Time) bool {
	for s := range j.disturbed {
		if !j.calm(now, s) {
			return false
		}
	}
	return true
}

// configured takes a version that the store has acknowledged.
func (j *judge) configured(v version) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.versions = append(j.versions, v)
}

// sent takes a caller's packet on its way to a balancer.
func (j *judge) sent(now time.Time, id flowID, balancer int) {
	j.mu.Lock()
	defer j.mu.Unlock()
	t := j.flows[id]
	if t == nil {
		t = &track{begun: now, balancers: make(map[int]time.Time)}
		j.flows[id] = t
	}
	t.balancers[balancer] = now
}

// placed takes an opening packet that a backend server accepts.
func (j *judge) placed(now time.Time, id flowID, b *instance) {
	j.mu.Lock()
	defer j.mu.Unlock()
	t := j.flows[id]
	if t == nil {
		j.fail(now, "unasked", "%s got the opening packet of %s, which no caller sent", b.id, id)
		return
	}
	calm := j.calm(now, storeSubject)
	for i := range t.balancers {
		calm = calm && j.calm(now, balancerSubject(i))
	}
	if !b.leaving.IsZero() && t.begun.After(b.leaving.Add(drainWithin)) && calm {
		j.fail(now, "drain", "%s got a new flow %s after it had said that it leaves", b.id, now.Sub(b.leaving))
	}
	j.judgeVersion(now, id, t, b, calm)
}

// judgeVersion checks that the service of a new flow is one that a
// configuration in force allows.
func (j *judge) judgeVersion(now time.Time, id flowID, t *track, b *instance, calm bool) {
	newest, oldest, due := -1, -1, -1
	for i, v := range j.versions {
		if t.begun.After(v.acked.Add(applyWithin)) {
			due = i
		}
	}
	for i, v := range j.versions {
		if v.routes[id.service] != b.service {
			continue
		}
		if newest = i; oldest < 0 && i >= due {
			oldest = i // of those that may be in force
		}
	}
	switch {
	case newest < 0:
		j.fail(now, "route", "%s of service %d got a flow to %s, which never led there", b.id, b.service, id.service)
	case newest < due && calm:
		j.fail(now, "config", "flow %s went where version %d leads, %s after version %d was acknowledged", id,
			j.versions[newest].number, now.Sub(j.versions[due].acked), j.versions[due].number)
	}
	if len(t.balancers) != 1 {
		return
	}
	for i := range t.balancers {
		key := fmt.Sprintf("%d/%d", i, j.incarnation(i))
		p, found := j.proven[key]
		if found && newest < p.version && t.begun.Sub(p.at) > regressSlack && j.calm(now, balancerSubject(i)) {
			j.fail(now, "regress", "balancer %d went back from version %d to %d", i, j.versions[p.version].number, j.versions[newest].number)
		}
		if !found || oldest > p.version {
			j.proven[key] = proof{version: oldest, at: now}
		}
	}
}

// opened takes the end of the handshake at a backend server.
func (j *judge) opened(now time.Time, id flowID, b *instance) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if t := j.flows[id]; t != nil {
		t.holder, t.own, t.strays = b, now, nil
	}
}

// arrived takes a packet at the flow's holder.
func (j *judge) arrived(now time.Time, id flowID) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if t := j.flows[id]; t != nil {
		t.own, t.strays = now, nil
	}
}

// strayed takes a packet at a backend server that does not hold its flow.
func (j *judge) strayed(now time.Time, id flowID) {
	j.mu.Lock()
	defer j.mu.Unlock()
	t := j.flows[id]
	if t == nil || t.holder == nil {
		return
	}
	t.strays = append(t.strays, now)
	if len(t.strays) < strayPackets || now.Sub(t.strays[0]) < strayFor {
		return
	}
	calm := j.calm(now, backendSubject(t.holder.machine))
	for i, at := range t.balancers {
		calm = calm && (now.Sub(at) > strayFor || j.calm(now, balancerSubject(i)))
	}
	if calm {
		j.fail(now, "flow", "%d packets of %s reached others than its backend server %s", len(t.strays), id, t.holder.id)
	}
	t.strays = nil
}

// holderOf returns the backend server that holds an open flow, or nil.
func (j *judge) holderOf(id flowID) *instance {
	j.mu.Lock()
	defer j.mu.Unlock()
	if t := j.flows[id]; t != nil {
		return t.holder
	}
	return nil
}

// reset takes a reset that the caller of an open flow got, whose backend server
// still holds it or not.
func (j *judge) reset(now time.Time, id flowID, sender subject, holder *instance, holds bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.counts["flows reset"]++
	if holds && j.calm(now, backendSubject(holder.machine)) && j.calm(now, sender) {
		j.fail(now, "flow", "%s reset %s, which its backend server %s holds", sender, id, holder.id)
	}
}

// refused takes a new flow that was not opened.
func (j *judge) refused(now time.Time, id flowID, why string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.counts["flows "+why]++
	if j.allCalm(now) {
		j.fail(now, "service", "flow %s was %s though nothing was disturbed", id, why)
	}
}

// unserved takes a request that got no answer.
func (j *judge) unserved(now time.Time, id flowID, request string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.counts["requests unanswered"]++
	if j.allCalm(now) {
		j.fail(now, "service", "request %s of %s got no answer though nothing was disturbed", request, id)
	}
}

// ran takes a request that a backend server begins to work on.
func (j *judge) ran(now time.Time, request string, b *instance) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.runs[request]++
	if j.runs[request] > 1 {
		j.fail(now, "once", "request %s ran again, at %s", request, b.id)
	}
}

// verdict returns the broken promises and what callers saw.
func (j *judge) verdict() (violations []string, counts map[string]uint64) {
	j.mu.Lock()
	defer j.mu.Unlock()
	counts = make(map[string]uint64, len(j.counts))
	for k, n := range j.counts {
		counts[k] = n
	}
	return slices.Clone(j.violations), counts
}
