package flowagent

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"github.com/currantturn/currantturn"
	"github.com/currantturn/currantturn/internal/event"
	"github.com/currantturn/currantturn/internal/protocol/relay"
)

// reportReceiver is a balancer that load reports are sent to.
type reportReceiver struct {
	lastReceived time.Time  // when its last packet arrived
	lastReported time.Time  // when it was last sent a report
	reportedLoad relay.Load // in that report
	readsLoads   bool       // whether it reads all fields of a load
}

// recordBalancer records a packet from a balancer, so that reports are sent to
// it. It returns whether the balancer has shown that it reads all fields of a load. At most
// maxBalancers are recorded.
func (a *Agent) recordBalancer(now time.Time, from netip.AddrPort) (readsLoads bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	receiver := a.balancers[from]
	if receiver == nil {
		if len(a.balancers) >= maxBalancers {
			return false
		}
		receiver = &reportReceiver{}
		a.balancers[from] = receiver
	}
	receiver.lastReceived = now
	a.announcer.recordReceived(now)
	return receiver.readsLoads
}

// recordReadsLoads records that a balancer reads all fields of a load.
func (a *Agent) recordReadsLoads(balancer netip.AddrPort) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if receiver := a.balancers[balancer]; receiver != nil {
		receiver.readsLoads = true
	}
}

// currentLoad returns the current load, with the length of the backlog and whether
// the backend server is unresponsive or fails.
func (a *Agent) currentLoad(now time.Time) relay.Load {
	load := a.tracker.load(now)
	a.mu.Lock()
	defer a.mu.Unlock()
	load.Unresponsive = !a.unresponsiveSince.IsZero() || a.failures.failing
	load.Waiting = a.backlog.Len()
	load.DeclinesMS = a.declinesMS(now)
	return load
}

// loadFor returns the current load in the form that a balancer reads.
func (a *Agent) loadFor(now time.Time, balancer netip.AddrPort) relay.Load {
	load := a.currentLoad(now)
	a.mu.Lock()
	defer a.mu.Unlock()
	if receiver := a.balancers[balancer]; receiver != nil {
		return receiver.readable(load)
	}
	return load.Basic()
}

// readable returns the load in the form that the balancer reads.
func (r *reportReceiver) readable(load relay.Load) relay.Load {
	if r.readsLoads {
		return load
	}
	return load.Basic()
}

// reportLimit emits an event if the number of requests that the backend server takes
// well at once has changed.
func (a *Agent) reportLimit(now time.Time, out *currantturn.Effects) {
	limit, slots := a.tracker.limit(now)
	logged := limit
	if limit == slots {
		logged = 0
	}
	a.mu.Lock()
	changed := a.loggedLimit != logged
	a.loggedLimit = logged
	a.mu.Unlock()
	if changed {
		out.Event(event.BackendLimit, event.F("backend", a.opts.Backend), event.F("limit", limit), event.F("slots", slots))
	}
}

// lastLimit returns the limit of the last event, 0 if it is the slots.
func (a *Agent) lastLimit() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.loggedLimit
}

// sendReports sends the load to recently active balancers: after reportInterval
// if it has changed, else after refreshInterval. If the rate limit is reached,
// those with the oldest report come first.
func (a *Agent) sendReports(now time.Time, out *currantturn.Effects) {
	load := a.currentLoad(now)
	a.mu.Lock()
	defer a.mu.Unlock()
	var due []netip.AddrPort
	for at, receiver := range a.balancers {
		if now.Sub(receiver.lastReceived) > balancerTimeout {
			delete(a.balancers, at)
			continue
		}
		age := now.Sub(receiver.lastReported)
		if age < reportInterval || receiver.reportedLoad == receiver.readable(load) && age < refreshInterval {
			continue
		}
		due = append(due, at)
	}
	slices.SortFunc(due, func(x, y netip.AddrPort) int {
		return cmp.Or(a.balancers[x].lastReported.Compare(a.balancers[y].lastReported), x.Compare(y))
	})
	for _, at := range due {
		if !a.reportLimiter.AllowN(now, 1) {
			return
		}
		receiver := a.balancers[at]
		receiver.lastReported, receiver.reportedLoad = now, receiver.readable(load)
		out.Send(at, relay.Report{Load: receiver.reportedLoad})
	}
}
