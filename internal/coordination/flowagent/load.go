package flowagent

import (
	"hash/fnv"
	"sync"
	"time"

	"github.com/currantturn/currantturn"
	"github.com/currantturn/currantturn/internal/coordination/capacity"
	"github.com/currantturn/currantturn/internal/protocol/relay"
)

// loadTracker tracks the requests and open flows of the backend server, and what it
// takes well.
type loadTracker struct {
	mu              sync.Mutex
	concurrency     capacity.Concurrency // requests in progress
	runs            map[currantturn.FlowKey]capacity.Run
	times           capacity.Times  // of requests that did not wait in the backend server's own queue
	openFlows       int             // open flows
	meanServiceTime float64         // moving average of the time to an answer, in nanoseconds
	lastAnswer      time.Time       // when the last answer arrived
	lastOverSlots   time.Time       // when more requests than slots were last in progress
	reportedTimes   relay.KindTimes // times in the form of reports
	reportedShort   int             // share of answers that came far too early, in percent
	timesAt         time.Time       // when reportedTimes was set
}

// kindOf returns the kind of a flow's requests: a hash of the address of their route,
// which unlike the route's other fields lasts from one configuration to the next.
func kindOf(flow currantturn.FlowKey) capacity.Kind {
	h := fnv.New32a()
	address := flow.Service.Addr().As16()
	port := flow.Service.Port()
	_, _ = h.Write(append(address[:], byte(port>>8), byte(port)))
	return capacity.Kind(max(h.Sum32()>>24, 1)) // 0 marks an unused entry in reports
}

// setSlots sets the number of requests that the backend server may run at once.
func (t *loadTracker) setSlots(slots int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.concurrency.SetSlots(slots)
}

// hasRoom reports whether the backend server takes one more request well. With an
// unknown number of slots it always does.
func (t *loadTracker) hasRoom(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	limit := t.concurrency.Limit(now)
	return limit == 0 || t.concurrency.InProgress() < limit
}

// limit returns how many requests the backend server takes well at once, 0 if it is
// unknown, of how many slots.
func (t *loadTracker) limit(now time.Time) (limit, slots int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.concurrency.Learned(now), t.concurrency.Slots()
}

// addOpenFlows adds n open flows; n is negative for flows that end.
func (t *loadTracker) addOpenFlows(n int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.openFlows += n
}

// requestStarted counts a request that starts.
func (t *loadTracker) requestStarted(now time.Time, flow currantturn.FlowKey) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.runs == nil {
		t.runs = make(map[currantturn.FlowKey]capacity.Run)
	}
	t.runs[flow] = t.concurrency.Started(now)
	if t.concurrency.InProgress() > t.concurrency.Slots() {
		t.lastOverSlots = now
	}
}

// requestCanceled counts a request that is not delivered after all.
func (t *loadTracker) requestCanceled(now time.Time, flow currantturn.FlowKey) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.concurrency.Dropped(now)
	delete(t.runs, flow)
}

// requestDropped counts a request that ends without an answer.
func (t *loadTracker) requestDropped(now time.Time, flow currantturn.FlowKey, started time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.concurrency.Dropped(now)
	delete(t.runs, flow)
	if started.After(t.lastOverSlots) {
		t.times.RecordUnanswered(now, kindOf(flow), now.Sub(started))
	}
}

// requestAnswered counts a request that ends with an answer and records the time
// that it took.
func (t *loadTracker) requestAnswered(now time.Time, flow currantturn.FlowKey, started time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	run := t.runs[flow]
	t.concurrency.Answered(now, &run)
	delete(t.runs, flow)
	serviceTime := now.Sub(started)
	if started.After(t.lastOverSlots) {
		t.times.Record(now, kindOf(flow), serviceTime)
	}
	if t.meanServiceTime == 0 || now.Sub(t.lastAnswer) > serviceTimeLifetime {
		t.meanServiceTime = float64(serviceTime)
	}
	t.meanServiceTime += serviceTimeWeight * (float64(serviceTime) - t.meanServiceTime)
	t.lastAnswer = now
}

// inProgress returns the number of requests in progress.
func (t *loadTracker) inProgress() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.concurrency.InProgress()
}

// expectedServiceTime returns the average time to an answer; zero if there was
// none yet.
func (t *loadTracker) expectedServiceTime() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return time.Duration(t.meanServiceTime)
}

// load returns the current load, without the average service time if it is too
// old.
func (t *loadTracker) load(now time.Time) relay.Load {
	t.mu.Lock()
	defer t.mu.Unlock()
	l := relay.Load{Running: t.concurrency.InProgress(), Flows: t.openFlows, Times: t.kindTimes(now)}
	l.Short = t.reportedShort
	if limit := t.concurrency.Learned(now); limit < t.concurrency.Slots() {
		l.Limit = limit
	}
	if now.Sub(t.lastAnswer) < serviceTimeLifetime {
		l.ServiceTimeUS = uint32(min(t.meanServiceTime/float64(time.Microsecond), 1e9))
	}
	return l
}

// kindTimes returns the times in the form of reports. They and reportedShort are renewed
// once per reportInterval.
func (t *loadTracker) kindTimes(now time.Time) relay.KindTimes {
	if now.Sub(t.timesAt) < reportInterval {
		return t.reportedTimes
	}
	t.reportedTimes, t.timesAt = 0, now
	t.reportedShort = int(100 * t.times.ShortShare(now))
	t.times.All(now, func(kind capacity.Kind, took time.Duration) bool {
		t.reportedTimes = t.reportedTimes.Add(uint8(kind), took)
		return true
	})
	return t.reportedTimes
}
