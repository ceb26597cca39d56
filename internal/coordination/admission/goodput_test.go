package admission_test

import (
	"container/heap"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/currantturn/currantturn/internal/coordination/admission"
)

const (
	slotsPerServer  = 7
	meanServiceTime = 50 * time.Millisecond
	tryTimeout      = time.Second // deadline of each try
	maxTries        = 4
	runTime         = 60 * time.Second // simulated
	warmUpTime      = 5 * time.Second  // answers up to then are not counted
)

var epoch = time.UnixMilli(1_790_000_000_000)

// server is the system under load: a gate, or a plain FIFO queue to compare with.
type server interface {
	// enter starts a request. It calls done at once or later, with whether the
	// request was answered and, if it was refused, the advised delay of a retry.
	enter(deadline time.Duration, done func(answered bool, after time.Duration))
}

// simulation is a discrete-event simulation of callers.
type simulation struct {
	now            time.Duration
	seq            int
	queue          events
	rng            *rand.Rand
	answeredInTime int
	tries          int
}

// event is a function scheduled for a time; seq orders events of the same time.
type event struct {
	at  time.Duration
	seq int
	do  func()
}

// events is a heap of events by time.
type events []event

func (q events) Len() int { return len(q) }
func (q events) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].seq < q[j].seq
}
func (q events) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *events) Push(x any)   { *q = append(*q, x.(event)) }
func (q *events) Pop() any {
	old := *q
	x := old[len(old)-1]
	*q = old[:len(old)-1]
	return x
}

// after schedules do in d.
func (sim *simulation) after(d time.Duration, do func()) {
	sim.seq++
	heap.Push(&sim.queue, event{sim.now + d, sim.seq, do})
}

// exponential returns an exponentially distributed random duration.
func (sim *simulation) exponential(mean time.Duration) time.Duration {
	return time.Duration(sim.rng.ExpFloat64() * float64(mean))
}

// gatedServer is a backend server with a gate.
type gatedServer struct {
	sim  *simulation
	gate *admission.Gate
}

func (g *gatedServer) clock() time.Time { return epoch.Add(g.sim.now) }

func (g *gatedServer) enter(deadline time.Duration, done func(bool, time.Duration)) {
	var t *admission.Ticket
	finish := func(d admission.Decision, after time.Duration) {
		if d != admission.Admit {
			done(false, max(after, time.Second))
			return
		}
		g.sim.after(g.sim.exponential(meanServiceTime), func() {
			g.gate.Release(g.clock(), t, true)
			done(g.sim.now <= deadline, 0)
		})
	}
	// The gate may call this while another ticket is released, so the request is
	// finished in a later event.
	later := func(d admission.Decision) { g.sim.after(0, func() { finish(d, 0) }) }
	t, d, after := g.gate.Enter(g.clock(), epoch.Add(deadline), later)
	if d != admission.Queue {
		finish(d, after)
	}
}

// fifoServer queues every request and runs them in order of arrival, even after
// their deadlines.
type fifoServer struct {
	sim     *simulation
	running int
	waiting []func()
}

func (n *fifoServer) enter(deadline time.Duration, done func(bool, time.Duration)) {
	run := func() {
		n.sim.after(n.sim.exponential(meanServiceTime), func() {
			if n.sim.now <= deadline {
				done(true, 0)
			}
			n.running--
			n.next()
		})
	}
	n.sim.after(deadline-n.sim.now+1, func() { done(false, 0) })
	n.waiting = append(n.waiting, run)
	n.next()
}

// next starts queued requests while slots are free.
func (n *fifoServer) next() {
	for n.running < slotsPerServer && len(n.waiting) > 0 {
		run := n.waiting[0]
		n.waiting = n.waiting[1:]
		n.running++
		run()
	}
}

// call sends a request and retries it until it is answered, maxTries are used or
// the budget allows no retry. Without a budget it retries at once.
func (sim *simulation) call(s server, b *admission.Budget, attempt int) {
	sim.tries++
	ended := false
	deadline := sim.now + tryTimeout
	s.enter(deadline, func(answered bool, after time.Duration) {
		if ended {
			return
		}
		ended = true
		if answered {
			if b != nil {
				b.RecordSuccess()
			}
			if sim.now > warmUpTime {
				sim.answeredInTime++
			}
			return
		}
		if attempt == maxTries {
			return
		}
		if b == nil {
			sim.call(s, b, attempt+1)
			return
		}
		if d, ok := b.TakeRetry(epoch.Add(sim.now), epoch.Add(sim.now+time.Minute), attempt, after); ok {
			sim.after(d, func() { sim.call(s, b, attempt+1) })
		}
	})
}

// goodput returns the answers before their deadline and the tries, both per
// second. The load is given as a multiple of the server's capacity.
func goodput(seed uint64, load float64, budgeted bool, newServer func(*simulation) server) (answers, tries float64) {
	sim := &simulation{rng: rand.New(rand.NewPCG(seed, 1))}
	s := newServer(sim)
	var b *admission.Budget
	if budgeted {
		b = admission.NewBudget(rand.New(rand.NewPCG(seed, 2)))
	}
	gap := time.Duration(float64(meanServiceTime) / slotsPerServer / load)
	var arrive func()
	arrive = func() {
		sim.call(s, b, 1)
		sim.after(sim.exponential(gap), arrive)
	}
	arrive()
	for sim.now < runTime {
		e := heap.Pop(&sim.queue).(event)
		sim.now = e.at
		e.do()
	}
	return float64(sim.answeredInTime) / (runTime - warmUpTime).Seconds(), float64(sim.tries) / runTime.Seconds()
}

func newGatedServer(sim *simulation) server {
	return &gatedServer{sim: sim, gate: admission.New(admission.Options{Slots: slotsPerServer, Started: epoch, Rand: sim.rng})}
}

func newFIFOServer(sim *simulation) server { return &fifoServer{sim: sim} }

var loads = []float64{0.5, 0.8, 1, 1.2, 1.5, 2, 3}

// sweep measures the goodput at each load and returns the highest and the last.
func sweep(t *testing.T, name string, budgeted bool, newServer func(*simulation) server) (peak, last float64) {
	for _, load := range loads {
		answers, tries := goodput(3, load, budgeted, newServer)
		t.Logf("%s: load %.1fx of 140/s: %.1f answers/s in time, %.1f tries/s", name, load, answers, tries)
		peak, last = max(peak, answers), answers
	}
	return peak, last
}

// TestGoodputUnderOverload checks that a gate and a retry budget keep the goodput
// under overload at 90% of its peak or more. The same load must collapse the
// goodput of a FIFO queue with immediate retries, which shows that it is an
// overload.
func TestGoodputUnderOverload(t *testing.T) {
	peak, last := sweep(t, "gate, retries under the budget", true, newGatedServer)
	if last < 0.9*peak {
		t.Errorf("goodput at load %.0fx is %.1f/s, %.0f%% of the peak", loads[len(loads)-1], last, 100*last/peak)
	}
	fifoPeak, fifoLast := sweep(t, "FIFO queue, retries at once", false, newFIFOServer)
	if fifoLast > 0.5*fifoPeak {
		t.Errorf("load too low to overload a FIFO queue: goodput is %.1f/s, the peak %.1f/s", fifoLast, fifoPeak)
	}
}
