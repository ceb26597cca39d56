package backlog_test

import (
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"github.com/currantturn/currantturn"
	"github.com/currantturn/currantturn/internal/coordination/backlog"
	"github.com/currantturn/currantturn/internal/suite"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestBacklog(t *testing.T) { suite.Run(t, "backlog") }

var start = time.Unix(1_000_000, 0)

// request returns a request of the n-th caller.
func request(n int, attemptStarted time.Time, d currantturn.Demand) backlog.Request {
	caller := netip.AddrPortFrom(netip.AddrFrom4([4]byte{100, 64, byte(n >> 8), byte(n)}), 1024)
	return backlog.Request{Flow: currantturn.FlowKey{Caller: caller}, AttemptStarted: attemptStarted, Demand: d}
}

// simulateOutage simulates the load on one backend server after an outage:
// callers whose requests are already late return at once, and new requests keep
// arriving. It returns how many requests were answered in time, late and never.
func simulateOutage(seed uint64, next func(now time.Time, q *queue) (backlog.Request, bool)) (timely, late, never int) {
	const (
		slots       = 3
		serviceTime = 35 * time.Millisecond // per request, of a backend server that has just started
		initial     = 60                    // late requests at the start
		interval    = 17 * time.Millisecond // mean time between new requests, two thirds of the capacity
		duration    = 3 * time.Second
	)
	demand := currantturn.Demand{Slots: slots, Priority: 2, LatencyObjective: 120 * time.Millisecond, Timeout: 800 * time.Millisecond}
	rng := rand.New(rand.NewPCG(seed, 1))
	q := &queue{}
	for n := range initial {
		q.push(request(n, start.Add(-200*time.Millisecond-time.Duration(rng.IntN(400))*time.Millisecond), demand))
	}
	free := make([]time.Time, slots) // when each slot is free
	for i := range free {
		free[i] = start
	}
	arrival, n := start, initial
	for now := start; now.Before(start.Add(duration)); now = now.Add(time.Millisecond) {
		for !arrival.After(now) {
			q.push(request(n, arrival, demand))
			n++
			arrival = arrival.Add(time.Duration(float64(interval) * rng.ExpFloat64()))
		}
		for i := range free {
			if free[i].After(now) {
				continue
			}
			r, ok := next(now, q)
			if !ok {
				break
			}
			free[i] = now.Add(serviceTime)
			switch took := free[i].Sub(r.AttemptStarted); {
			case took <= demand.LatencyObjective:
				timely++
			case took <= demand.Timeout:
				late++
			}
		}
	}
	return timely, late, n - timely - late
}

// queue holds the same requests in a backlog and in a list in order of arrival.
type queue struct {
	backlog backlog.Backlog
	inOrder []backlog.Request
}

func (q *queue) push(r backlog.Request) {
	q.backlog.Push(r)
	q.inOrder = append(q.inOrder, r)
}

var _ = Describe("a backlog", func() {
	demand := currantturn.Demand{Priority: 2, LatencyObjective: 120 * time.Millisecond, Timeout: 800 * time.Millisecond}
	urgent := currantturn.Demand{Priority: 1, LatencyObjective: 150 * time.Millisecond, Timeout: time.Second}

	It("answers more requests in time after an outage than plain order of arrival", func() {
		for seed := range uint64(20) {
			timely, late, _ := simulateOutage(seed, func(now time.Time, q *queue) (backlog.Request, bool) {
				q.backlog.RemoveExpired(now)
				return q.backlog.Pop(now, 35*time.Millisecond)
			})
			inOrderTimely, inOrderLate, _ := simulateOutage(seed, func(_ time.Time, q *queue) (backlog.Request, bool) {
				if len(q.inOrder) == 0 {
					return backlog.Request{}, false
				}
				r := q.inOrder[0]
				q.inOrder = q.inOrder[1:]
				return r, true
			})
			// An answer in time has the value 1, a late one 0.3.
			Expect(float64(timely)+0.3*float64(late)).To(BeNumerically(">", float64(inOrderTimely)+0.3*float64(inOrderLate)), "seed %d", seed)
			Expect(timely).To(BeNumerically(">", inOrderTimely), "seed %d", seed)
		}
	})

	It("releases timely requests by priority, then by arrival", func() {
		var b backlog.Backlog
		b.Push(request(1, start, demand))
		b.Push(request(2, start, urgent))
		b.Push(request(3, start, demand))
		var order []byte
		for range 3 {
			r, ok := b.Pop(start, 20*time.Millisecond)
			Expect(ok).To(BeTrue())
			order = append(order, r.Flow.Caller.Addr().As4()[3])
		}
		Expect(order).To(Equal([]byte{2, 1, 3}))
		_, ok := b.Pop(start, 0)
		Expect(ok).To(BeFalse())
	})

	It("releases a late request only while no timely one waits", func() {
		var b backlog.Backlog
		b.Push(request(0, start.Add(-300*time.Millisecond), urgent))
		for n := 1; n < 100; n++ {
			b.Push(request(n, start, demand))
		}
		for range 99 {
			r, _ := b.Pop(start, 20*time.Millisecond)
			Expect(r.AttemptStarted).To(Equal(start))
		}
		r, ok := b.Pop(start, 20*time.Millisecond)
		Expect(ok).To(BeTrue())
		Expect(r.AttemptStarted.Before(start)).To(BeTrue())
	})

	It("removes expired requests and keeps the others", func() {
		var b backlog.Backlog
		b.Push(request(1, start, demand))
		b.Push(request(2, start, urgent))
		b.Push(request(3, start, currantturn.Demand{}))
		Expect(b.RemoveExpired(start.Add(799 * time.Millisecond))).To(BeEmpty())
		expired := b.RemoveExpired(start.Add(800 * time.Millisecond))
		Expect(expired).To(HaveLen(1))
		Expect(expired[0].Demand).To(Equal(demand))
		Expect(b.Len()).To(Equal(2))
	})

	It("refuses requests above MaxWaiting", func() {
		var b backlog.Backlog
		for n := range backlog.MaxWaiting {
			Expect(b.Push(request(n, start, demand))).To(BeTrue())
		}
		Expect(b.Push(request(5000, start, demand))).To(BeFalse())
		b.Remove(request(3, start, demand).Flow)
		Expect(b.Len()).To(Equal(backlog.MaxWaiting - 1))
	})
})

func BenchmarkPop(b *testing.B) {
	var q backlog.Backlog
	demand := currantturn.Demand{Priority: 2, LatencyObjective: 120 * time.Millisecond}
	for n := range 100 {
		q.Push(request(n, start, demand))
	}
	b.ReportAllocs()
	for b.Loop() {
		r, _ := q.Pop(start, 20*time.Millisecond)
		q.Push(r)
	}
}
