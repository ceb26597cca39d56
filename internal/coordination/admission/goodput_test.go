package admission_test

import (
	"container/heap"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/currantturn/currantturn/internal/coordination/admission"
)

const (
	slots    = 7
	work     = 50 * time.Millisecond // mean service time
	patience = time.Second           // deadline of one try
	tries    = 4
	lasts    = 60 * time.Second
	warmUp   = 5 * time.Second
)

var epoch = time.UnixMilli(1_790_000_000_000)

// server is what callers overload: the gate, or the naive version.
type server interface {
	// enter starts a request; done is called at once or later with whether it
	// was answered, and with the advised delay if it was refused.
	enter(deadline time.Duration, done func(answered bool, after time.Duration))
}

// world is an event queue with callers.
type world struct {
	now   time.Duration
	seq   int
	queue events
	rng   *rand.Rand
	good  int
	tries int
}

type event struct {
	at  time.Duration
	seq int
	do  func()
}

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

func (w *world) after(d time.Duration, do func()) {
	w.seq++
	heap.Push(&w.queue, event{w.now + d, w.seq, do})
}

func (w *world) exponential(mean time.Duration) time.Duration {
	return time.Duration(w.rng.ExpFloat64() * float64(mean))
}

// gated is a backend server behind a gate.
type gated struct {
	w    *world
	gate *admission.Gate
}

func (g *gated) clock() time.Time { return epoch.Add(g.w.now) }

func (g *gated) enter(deadline time.Duration, done func(bool, time.Duration)) {
	var t *admission.Ticket
	settle := func(d admission.Decision, after time.Duration) {
		if d != admission.Admit {
			done(false, max(after, time.Second))
			return
		}
		g.w.after(g.w.exponential(work), func() {
			g.gate.Leave(g.clock(), t, true)
			done(g.w.now <= deadline, 0)
		})
	}
	// Decided may come within Leave of another ticket; it is settled after it.
	later := func(d admission.Decision) { g.w.after(0, func() { settle(d, 0) }) }
	t, d, after := g.gate.Enter(g.clock(), epoch.Add(deadline), later)
	if d != admission.Queue {
		settle(d, after)
	}
}

// naive queues everything and serves it in turn, however late.
type naive struct {
	w       *world
	running int
	waiting []func()
}

func (n *naive) enter(deadline time.Duration, done func(bool, time.Duration)) {
	run := func() {
		n.w.after(n.w.exponential(work), func() {
			if n.w.now <= deadline {
				done(true, 0)
			}
			n.running--
			n.next()
		})
	}
	n.w.after(deadline-n.w.now+1, func() { done(false, 0) })
	n.waiting = append(n.waiting, run)
	n.next()
}

func (n *naive) next() {
	for n.running < slots && len(n.waiting) > 0 {
		run := n.waiting[0]
		n.waiting = n.waiting[1:]
		n.running++
		run()
	}
}

// call is one caller's request with its retries.
func (w *world) call(s server, b *admission.Budget, attempt int) {
	w.tries++
	ended := false
	deadline := w.now + patience
	s.enter(deadline, func(answered bool, after time.Duration) {
		if ended {
			return
		}
		ended = true
		if answered {
			if b != nil {
				b.Success()
			}
			if w.now > warmUp {
				w.good++
			}
			return
		}
		if attempt == tries {
			return
		}
		if b == nil {
			w.call(s, b, attempt+1)
			return
		}
		if d, ok := b.Retry(epoch.Add(w.now), epoch.Add(w.now+time.Minute), attempt, after); ok {
			w.after(d, func() { w.call(s, b, attempt+1) })
		}
	})
}

// goodput returns the answers within their deadline and the tries, per second,
// when the offered load is a multiple of the capacity.
func goodput(seed uint64, load float64, budgeted bool, m func(*world) server) (answers, tries float64) {
	w := &world{rng: rand.New(rand.NewPCG(seed, 1))}
	s := m(w)
	var b *admission.Budget
	if budgeted {
		b = admission.NewBudget(rand.New(rand.NewPCG(seed, 2)))
	}
	gap := time.Duration(float64(work) / slots / load)
	var arrive func()
	arrive = func() {
		w.call(s, b, 1)
		w.after(w.exponential(gap), arrive)
	}
	arrive()
	for w.now < lasts {
		e := heap.Pop(&w.queue).(event)
		w.now = e.at
		e.do()
	}
	return float64(w.good) / (lasts - warmUp).Seconds(), float64(w.tries) / lasts.Seconds()
}

func newGated(w *world) server {
	return &gated{w: w, gate: admission.New(admission.Options{Slots: slots, Started: epoch, Rand: w.rng})}
}

func newNaive(w *world) server { return &naive{w: w} }

var loads = []float64{0.5, 0.8, 1, 1.2, 1.5, 2, 3}

// sweep returns the peak goodput over the loads and that at the last one.
func sweep(t *testing.T, name string, budgeted bool, m func(*world) server) (peak, last float64) {
	for _, load := range loads {
		answers, tries := goodput(3, load, budgeted, m)
		t.Logf("%s: load %.1fx of 140/s: %.1f answers/s in time, %.1f tries/s", name, load, answers, tries)
		peak, last = max(peak, answers), answers
	}
	return peak, last
}

func TestGoodputUnderOverload(t *testing.T) {
	peak, last := sweep(t, "gate, retries under the budget", true, newGated)
	if last < 0.9*peak {
		t.Errorf("goodput at %.0fx is %.1f/s, %.0f%% of the peak", loads[len(loads)-1], last, 100*last/peak)
	}
	naivePeak, naiveLast := sweep(t, "naive, retries at once", false, newNaive)
	if naiveLast > 0.5*naivePeak {
		t.Errorf("the load does not bite: naive goodput %.1f of %.1f", naiveLast, naivePeak)
	}
}
