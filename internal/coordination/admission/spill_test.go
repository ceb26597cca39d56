package admission_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/currantturn/currantturn"
	"github.com/currantturn/currantturn/internal/coordination/admission"
)

const (
	hop       = 3 * time.Millisecond // to a peer and back
	loadEvery = 200 * time.Millisecond
	members   = 7
)

// service is seven gates of three slots with peers' loads told now and then.
type service struct {
	w       *world
	gates   []*admission.Gate
	first   bool // pass to a peer before queueing, else only instead of a refusal
	passes  bool
	times   []time.Duration
	refused int
	uneven  float64 // share of all requests that come in at the first gate
}

func (s *service) clock() time.Time { return epoch.Add(s.w.now) }

func (s *service) request() {
	at := s.w.rng.IntN(members)
	if s.w.rng.Float64() < s.uneven {
		at = 0
	}
	began := s.w.now
	s.serve(at, began, began+patience, s.passes)
}

// pass hands a request to a peer, if there is one with a free slot.
func (s *service) pass(at int, began, deadline time.Duration) bool {
	p, ok := s.gates[at].Spill(s.clock(), false)
	if !ok {
		return false
	}
	var to int
	_, _ = fmt.Sscanf(string(p.ID), "p-%d", &to)
	s.w.after(hop, func() { s.serve(to, began, deadline, false) })
	return true
}

func (s *service) serve(at int, began, deadline time.Duration, mayPass bool) {
	if mayPass && s.first && s.pass(at, began, deadline) {
		return
	}
	var t *admission.Ticket
	g := s.gates[at]
	settle := func(d admission.Decision) {
		if d == admission.Admit {
			s.w.after(s.w.exponential(work), func() {
				g.Leave(s.clock(), t, true)
				s.times = append(s.times, s.w.now-began)
			})
			return
		}
		if !mayPass || !s.pass(at, began, deadline) {
			s.refused++
		}
	}
	later := func(d admission.Decision) { s.w.after(0, func() { settle(d) }) }
	t, d, _ := g.Enter(s.clock(), epoch.Add(deadline), later)
	if d != admission.Queue {
		settle(d)
	}
}

func (s *service) run(load float64) {
	gap := time.Duration(float64(work) / (3 * members) / load)
	var arrive, tell func()
	arrive = func() {
		s.request()
		s.w.after(s.w.exponential(gap), arrive)
	}
	tell = func() {
		for i, g := range s.gates {
			for _, peer := range s.gates {
				peer.PeerLoad(s.clock(), currantturn.BackendID(fmt.Sprint("p-", i)), g.Load(s.clock()))
			}
		}
		s.w.after(loadEvery, tell)
	}
	arrive()
	tell()
	for s.w.now < lasts {
		e := heap.Pop(&s.w.queue).(event)
		s.w.now = e.at
		e.do()
	}
	slices.Sort(s.times)
}

func newService(seed uint64, passes, first bool) *service {
	states := make([]currantturn.BackendState, members)
	for i := range states {
		states[i] = currantturn.BackendActive
	}
	s := &service{w: &world{rng: rand.New(rand.NewPCG(seed, 1))}, passes: passes, first: first, uneven: 0.2}
	for i := range members {
		g := admission.New(admission.Options{
			ID: currantturn.BackendID(fmt.Sprint("p-", i)), Service: "proofdesk", Started: epoch,
			Rand: rand.New(rand.NewPCG(seed, uint64(10+i))),
		})
		g.Configure(epoch, view(50, states...), &currantturn.Effects{})
		s.gates = append(s.gates, g)
	}
	return s
}

// Passing to a peer with a free slot goes before queueing.
func TestPassingBeforeQueueing(t *testing.T) {
	p99 := map[string]time.Duration{}
	for _, load := range []float64{0.5, 0.7, 0.9} {
		for _, way := range []struct {
			name          string
			passes, first bool
		}{{"never pass", false, false}, {"pass instead of a refusal", true, false}, {"pass before queueing", true, true}} {
			s := newService(5, way.passes, way.first)
			s.run(load)
			n := len(s.times)
			p99[way.name] = s.times[n*99/100]
			t.Logf("load %.1f, %s: p50 %v, p99 %v, %d answered, %d refused", load, way.name,
				s.times[n/2].Round(100*time.Microsecond), p99[way.name].Round(100*time.Microsecond), n, s.refused)
		}
		before, instead := p99["pass before queueing"], p99["pass instead of a refusal"]
		if before > instead || load == 0.5 && 2*before > instead {
			t.Errorf("at load %.1f passing first does not pay: %v", load, p99)
		}
	}
}
