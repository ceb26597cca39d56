package roster_test

import (
	"net/netip"
	"testing"
	"time"

	"github.com/currantturn/currantturn"
	"github.com/currantturn/currantturn/internal/state/roster"
	"github.com/currantturn/currantturn/internal/suite"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

func TestRoster(t *testing.T) { suite.Run(t, "roster") }

var _ = Describe("a roster", func() {
	start := time.Unix(1_000_000, 0)
	active := currantturn.Registration{ID: "a", State: currantturn.BackendActive}
	draining := currantturn.Registration{ID: "d", State: currantturn.BackendDraining}

	It("allows placement on active registrations only", func() {
		r := roster.New()
		r.Put(active)
		r.Put(draining)
		all := r.Entries(start)
		Expect(all[0].Placeable()).To(BeTrue())
		Expect(all[1].Placeable()).To(BeFalse())
	})

	It("keeps removed registrations for a flow's lifetime, with whether they were draining", func() {
		r := roster.New()
		r.Replace(start, []currantturn.Registration{active, draining}, nil, start)
		r.Replace(start, nil, nil, start)
		all := r.Entries(start)
		Expect(all).To(HaveLen(2))
		Expect(all[0].WasDraining).To(BeFalse())
		Expect(all[1].WasDraining).To(BeTrue())
		Expect(r.Expire(start.Add(roster.GoneRetention), start.Add(roster.GoneRetention))).To(BeFalse())
		Expect(r.Expire(start.Add(roster.GoneRetention+1), start.Add(roster.GoneRetention+1))).To(BeTrue())
		Expect(r.Entries(start)).To(BeEmpty())
	})

	It("keeps a registration that disappears while the store is unstable in force until the store is trusted", func() {
		r := roster.New()
		r.Put(active)
		trustedFrom := start.Add(2 * time.Second)
		r.Remove(start, "a", trustedFrom)
		Expect(r.Entries(start)[0].Placeable()).To(BeTrue())
		r.Put(active) // reappears in time
		Expect(r.Expire(trustedFrom, trustedFrom)).To(BeFalse())
		Expect(r.Entries(start)[0].Placeable()).To(BeTrue())
		r.Remove(start, "a", trustedFrom)
		Expect(r.Expire(trustedFrom.Add(time.Minute), trustedFrom.Add(-time.Second))).To(BeFalse(), "the store was not available until then")
		Expect(r.Expire(trustedFrom, trustedFrom)).To(BeTrue())
		Expect(r.Entries(start)[0].Placeable()).To(BeFalse())
	})

	It("marks it as gone at the same time in a roster that takes it over", func() {
		r, other := roster.New(), roster.New()
		r.Put(active)
		r.Remove(start, "a", start.Add(2*time.Second))
		other.Update(start.Add(time.Second), r.Entries(start.Add(time.Second)))
		Expect(other.Expire(start.Add(1900*time.Millisecond), start.Add(1900*time.Millisecond))).To(BeFalse())
		Expect(other.Expire(start.Add(2*time.Second), start.Add(2*time.Second))).To(BeTrue())
		Expect(other.Entries(start)[0].Placeable()).To(BeFalse())
	})

	It("keeps an own entry unless another one is certainly later", func() {
		r := roster.New()
		gone, restarted := active, active
		r.Put(draining)
		gone.ID, restarted.ID = "g", "r"
		gone.StartedAt, restarted.StartedAt = start, start
		r.Put(gone)
		r.Put(restarted)
		r.Remove(start, "g", start)
		r.Remove(start, "r", start)
		ready := draining
		ready.State = currantturn.BackendActive
		restarted.StartedAt = start.Add(time.Second)
		r.Reconcile(start, []roster.Entry{{Registration: ready}, {Registration: gone}, {Registration: restarted}}, nil, 10, start)
		var placeable []currantturn.BackendID
		for _, e := range r.Entries(start) {
			if e.Placeable() {
				placeable = append(placeable, e.ID)
			}
		}
		Expect(placeable).To(Equal([]currantturn.BackendID{"r"}))
		ready.Sequence = draining.Sequence + 1
		r.Reconcile(start, []roster.Entry{{Registration: ready}}, nil, 10, start)
		d, _ := r.Get(start, "d")
		Expect(d.Placeable()).To(BeTrue(), "it was written again")
		gone.CreatedRevision = 11
		r.Reconcile(start, []roster.Entry{{Registration: gone}}, nil, 10, start)
		g, _ := r.Get(start, "g")
		Expect(g.Placeable()).To(BeTrue(), "it registered again")
	})

	It("learns of an earlier entry without giving it more time to reappear", func() {
		r := roster.New()
		earlier := active
		earlier.Sequence++
		r.Put(active)
		r.Remove(start, "a", start.Add(time.Second))
		other := active
		other.ID = "o"
		r.Learn(start, []roster.Entry{{Registration: earlier}, {Registration: other}}, start.Add(2*time.Second))
		gone := func(at time.Duration) (ids []currantturn.BackendID) {
			r.Expire(start.Add(at), start.Add(at))
			for _, e := range r.Entries(start) {
				if !e.Gone.IsZero() {
					ids = append(ids, e.ID)
				}
			}
			return ids
		}
		Expect(gone(time.Second)).To(Equal([]currantturn.BackendID{"a"}))
		Expect(gone(2 * time.Second)).To(Equal([]currantturn.BackendID{"a", "o"}))
	})

	It("marks a draining registration as gone at once, even while the store is unstable", func() {
		r := roster.New()
		r.Put(draining)
		r.Remove(start, "d", start.Add(time.Hour))
		Expect(r.Entries(start)[0].WasDraining).To(BeTrue())
	})

	It("takes over a newer state and keeps what that no longer shows as removed", func() {
		r := roster.New()
		r.Replace(start, []currantturn.Registration{active, draining}, nil, start)
		r.Remove(start, "d", start)
		other := roster.New()
		other.Put(currantturn.Registration{ID: "s", State: currantturn.BackendActive})
		other.Put(currantturn.Registration{ID: "t"})
		other.Remove(start.Add(-time.Second), "t", start.Add(-time.Minute))
		other.Update(start, r.Entries(start))
		Expect(other.Entries(start)[:2]).To(Equal(r.Entries(start)))
		var removed []currantturn.BackendID
		for _, e := range other.Entries(start)[2:] {
			Expect(e.Gone).NotTo(BeZero())
			removed = append(removed, e.ID)
		}
		Expect(removed).To(Equal([]currantturn.BackendID{"s", "t"}))
	})

	It("adds the removed entries of another roster that it has never had", func() {
		r := roster.New()
		r.Replace(start, []currantturn.Registration{active, draining}, nil, start)
		r.Remove(start, "d", start)
		other := roster.New()
		other.AdoptGone(start, r.Entries(start))
		Expect(other.Entries(start)).To(HaveLen(1))
		Expect(other.Entries(start)[0].ID).To(Equal(currantturn.BackendID("d")))
		other.Put(currantturn.Registration{ID: "d", State: currantturn.BackendActive}) // registered again
		other.AdoptGone(start, r.Entries(start))
		Expect(other.Entries(start)[0].Placeable()).To(BeTrue())
	})
})

// playDigest plays random changes of a roster, after each of which its digest is that of a
// roster that got what the store has in one go.
func playDigest(t *rapid.T) {
	RegisterFailHandler(func(message string, _ ...int) { t.Fatal(message) })
	now := time.Unix(1_000_000, 0)
	r := roster.New()
	draw := func() currantturn.Registration {
		return currantturn.Registration{
			ID:        currantturn.BackendID(rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(t, "id")),
			State:     rapid.SampledFrom([]currantturn.BackendState{currantturn.BackendActive, currantturn.BackendDraining}).Draw(t, "state"),
			StartedAt: now, Sequence: rapid.Uint64().Draw(t, "sequence"),
			Service: currantturn.ServiceName(rapid.SampledFrom([]string{"verify", "elsewhere"}).Draw(t, "service")),
			Address: rapid.SampledFrom([]netip.AddrPort{netip.MustParseAddrPort("10.1.0.8:80"), netip.MustParseAddrPort("10.1.0.9:80")}).Draw(t, "address"),
		}
	}
	entries := func() (all []roster.Entry) {
		for range rapid.IntRange(0, 4).Draw(t, "entries") {
			e := roster.Entry{Registration: draw()}
			if rapid.Bool().Draw(t, "lapses") {
				e.LapsesIn = time.Second
			}
			all = append(all, e)
		}
		return all
	}
	for range rapid.IntRange(1, 40).Draw(t, "operations") {
		trustedFrom := now.Add(time.Duration(rapid.IntRange(-1, 1).Draw(t, "trusted from")) * time.Second)
		switch rapid.SampledFrom([]string{
			"put", "offer", "supersede", "suspect", "remove", "replace", "update", "reconcile", "learn", "expire",
		}).Draw(t, "operation") {
		case "put":
			r.Put(draw())
		case "offer":
			r.Offer(now, draw(), trustedFrom)
		case "supersede":
			r.Supersede(now, draw())
		case "suspect":
			r.Suspect(now, draw().ID, trustedFrom)
		case "remove":
			r.Remove(now, draw().ID, trustedFrom)
		case "replace":
			r.Replace(now, []currantturn.Registration{draw()}, []currantturn.BackendID{draw().ID}, trustedFrom)
		case "update":
			r.Update(now, entries())
		case "reconcile":
			r.Reconcile(now, entries(), []currantturn.BackendID{draw().ID}, 0, trustedFrom)
		case "learn":
			r.Learn(now, entries(), trustedFrom)
		case "expire":
			now = now.Add(time.Duration(rapid.IntRange(0, 70).Draw(t, "seconds")) * time.Second)
			r.Expire(now, now)
		}
		other := roster.New()
		for _, e := range r.Entries(now) {
			Expect(e.Gone.IsZero() && e.Conflicting() && e.LapsesIn == 0).To(BeFalse(), "a conflict without an end")
			if e.Gone.IsZero() && e.LapsesIn == 0 {
				other.Put(e.Registration)
			}
		}
		Expect(r.Digest()).To(Equal(other.Digest()))
	}
}

var _ = Describe("a roster's digest", func() {
	It("is that of what the store has, whatever led there", func() {
		DeferCleanup(func() { RegisterFailHandler(Fail) })
		rapid.Check(GinkgoT(), playDigest)
	})
})
