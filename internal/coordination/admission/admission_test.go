package admission_test

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"github.com/currantturn/currantturn"
	"github.com/currantturn/currantturn/internal/coordination/admission"
	"github.com/currantturn/currantturn/internal/suite"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

func TestAdmission(t *testing.T) { suite.Run(t, "admission") }

// view returns a configuration with one backend server of three slots per state.
func view(queue int, states ...currantturn.BackendState) *currantturn.View {
	s := currantturn.Service{Name: "proofdesk", Limits: currantturn.Limits{QueuePerBackend: queue}}
	for i, state := range states {
		s.Backends = append(s.Backends, currantturn.BackendServer{
			ID: currantturn.BackendID(fmt.Sprint("p-", i)), Slots: 3, State: state,
			Stream: netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), uint16(2000+i)),
		})
	}
	return currantturn.NewView(1, []currantturn.Service{s})
}

// newGate returns the gate of the first backend server of v.
func newGate(v *currantturn.View) *admission.Gate {
	g := admission.New(admission.Options{
		ID: "p-0", Service: "proofdesk", Started: epoch, WatchLimit: 2, Rand: rand.New(rand.NewPCG(1, 1)),
	})
	g.Configure(epoch, v, &currantturn.Effects{})
	return g
}

// TestGateInvariants sends random requests to one gate. No more requests run than
// it has slots, its queue is bounded, every queued request gets one decision, and
// none is admitted after its deadline.
func TestGateInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		queue := rapid.IntRange(1, 5).Draw(t, "queue")
		g := newGate(view(queue, currantturn.BackendActive))
		now := epoch
		var admitted []*admission.Ticket
		queued := map[*admission.Ticket]time.Time{}
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "step")) * time.Millisecond)
			if rapid.Bool().Draw(t, "enter") {
				var ticket *admission.Ticket
				deadline := now.Add(time.Duration(rapid.IntRange(0, 1000).Draw(t, "timeout")) * time.Millisecond)
				ticket, d, _ := g.Enter(now, deadline, func(d admission.Decision) {
					if _, ok := queued[ticket]; !ok {
						t.Fatal("second decision for one request")
					}
					delete(queued, ticket)
					if d == admission.Admit {
						admitted = append(admitted, ticket)
						if !now.Before(deadline) {
							t.Fatal("admitted after its deadline")
						}
					}
				})
				switch d {
				case admission.Admit:
					admitted = append(admitted, ticket)
				case admission.Queue:
					queued[ticket] = deadline
				}
			} else if len(admitted) > 0 {
				ticket := admitted[0]
				admitted = admitted[1:]
				g.Release(now, ticket, true)
			}
			var out currantturn.Effects
			g.Tick(now, &out)
			if len(out.Events) > 0 {
				t.Fatalf("%+v", out.Events)
			}
			for _, deadline := range queued {
				if !now.Before(deadline) {
					t.Fatal("still queued after its deadline")
				}
			}
			l := g.Load(now)
			if len(admitted) > 3 || l.Running != len(admitted) || l.Queued != len(queued) || l.Queued > queue {
				t.Fatalf("load %+v with %d requests admitted and %d queued", l, len(admitted), len(queued))
			}
		}
	})
}

var _ = Describe("gate", func() {
	never := func(admission.Decision) { Fail("decision for a request that was not queued") }
	active, draining := currantturn.BackendActive, currantturn.BackendDraining

	It("queues only requests that can be answered in time, and returns the wait of a refused one", func() {
		g := newGate(view(50, active))
		now := epoch
		for range 20 { // sets the mean service time to 100 ms
			t, _, _ := g.Enter(now, now.Add(time.Hour), never)
			now = now.Add(100 * time.Millisecond)
			g.Release(now, t, true)
		}
		for range 3 {
			_, d, _ := g.Enter(now, now.Add(time.Hour), never)
			Expect(d).To(Equal(admission.Admit))
		}
		_, d, after := g.Enter(now, now.Add(120*time.Millisecond), never)
		Expect(d).To(Equal(admission.Shed))
		Expect(after).To(BeNumerically("~", 33*time.Millisecond, 5*time.Millisecond))
		_, d, _ = g.Enter(now, now.Add(200*time.Millisecond), func(admission.Decision) {})
		Expect(d).To(Equal(admission.Queue))
		_, d, _ = g.Enter(now, now, never)
		Expect(d).To(Equal(admission.Expire))
	})

	It("ramps up the slots of a restarted backend server", func() {
		g := admission.New(admission.Options{Slots: 10, Started: epoch, RampUp: 10 * time.Second})
		for _, c := range []struct{ at, slots int }{{0, 1}, {3, 3}, {9, 9}, {11, 10}} {
			Expect(g.Load(epoch.Add(time.Duration(c.at) * time.Second)).Slots).To(Equal(c.slots))
		}
		g.BeginRampUp(epoch.Add(time.Minute))
		Expect(g.Load(epoch.Add(time.Minute)).Slots).To(Equal(1))
	})

	It("counts watches separately from the slots", func() {
		g := newGate(view(1, active))
		first, d := g.EnterWatch()
		Expect(d).To(Equal(admission.Admit))
		_, _ = g.EnterWatch()
		_, d = g.EnterWatch()
		Expect(d).To(Equal(admission.Shed))
		Expect(g.Load(epoch).Running).To(BeZero())
		g.Release(epoch, first, false)
		_, d = g.EnterWatch()
		Expect(d).To(Equal(admission.Admit))
	})

	It("spills to the peer with more free slots and a recent load, and counts the spilled requests", func() {
		g := newGate(view(5, active, active, active, draining))
		fill := func() {
			for range 3 {
				_, d, _ := g.Enter(epoch, epoch.Add(time.Hour), never)
				Expect(d).To(Equal(admission.Admit))
			}
		}
		g.SetPeerLoad(epoch, "p-1", currantturn.Load{Running: 1, Slots: 3})
		_, ok := g.Spill(epoch, false)
		Expect(ok).To(BeFalse(), "a free slot of this gate is used first")
		fill()
		g.SetPeerLoad(epoch, "p-2", currantturn.Load{Running: 3, Slots: 3})
		g.SetPeerLoad(epoch, "p-3", currantturn.Load{Slots: 3})
		for range 2 {
			p, ok := g.Spill(epoch, false)
			Expect([]any{p.ID, ok}).To(Equal([]any{currantturn.BackendID("p-1"), true}))
		}
		_, ok = g.Spill(epoch, false)
		Expect(ok).To(BeFalse(), "both free slots of p-1 are taken, p-2 is full and p-3 drains")
		g.SetPeerLoad(epoch, "p-1", currantturn.Load{Slots: 3})
		_, ok = g.Spill(epoch.Add(time.Minute), false)
		Expect(ok).To(BeFalse(), "an old load is not used")
	})

	It("admits nothing new while it drains", func() {
		g := newGate(view(5, draining, active))
		_, d, _ := g.Enter(epoch, epoch.Add(time.Hour), never)
		Expect(d).To(Equal(admission.Shed))
		_, d = g.EnterWatch()
		Expect(d).To(Equal(admission.Shed))
		p, ok := g.Spill(epoch, true)
		Expect([]any{p.ID, ok}).To(Equal([]any{currantturn.BackendID("p-1"), true}))
	})
})

var _ = Describe("a leaving gate", func() {
	It("keeps leaving after a new configuration, until SetLeaving(false)", func() {
		v := view(5, currantturn.BackendActive)
		g := newGate(v)
		g.SetLeaving(true)
		g.Configure(epoch, v, &currantturn.Effects{})
		_, d := g.EnterWatch()
		Expect(d).To(Equal(admission.Shed))
		g.SetLeaving(false)
		_, d = g.EnterWatch()
		Expect(d).To(Equal(admission.Admit))
	})
})

var _ = Describe("retry budget", func() {
	It("allows one retry per ten successes and never waits past the deadline", func() {
		b := admission.NewBudget(rand.New(rand.NewPCG(1, 1)))
		granted := 0
		for range 1000 {
			b.RecordSuccess()
			for range 3 {
				if _, ok := b.TakeRetry(epoch, epoch.Add(time.Hour), 1, 0); ok {
					granted++
				}
			}
		}
		Expect(granted).To(BeNumerically("<=", 110))
		Expect(granted).To(BeNumerically(">=", 100))
		b = admission.NewBudget(rand.New(rand.NewPCG(1, 1)))
		_, ok := b.TakeRetry(epoch, epoch.Add(time.Second), 1, time.Second)
		Expect(ok).To(BeFalse())
		d, ok := b.TakeRetry(epoch, epoch.Add(time.Hour), 9, time.Second)
		Expect(ok).To(BeTrue())
		Expect(d).To(BeNumerically(">=", 2*time.Second))
	})
})
