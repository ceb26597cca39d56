package roster_test

import (
	"net/netip"
	"time"

	"github.com/currantturn/currantturn"
	"github.com/currantturn/currantturn/internal/state/roster"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// Guards against resets of the flows of backend servers whose registrations another writer has
// overwritten (review/11, review/12).
var _ = Describe("a registration under whose ID another writer writes", func() {
	const grace = 2500 * time.Millisecond
	var (
		start = time.Unix(1_000_000, 0)
		own   = currantturn.Registration{
			ID: "a", Service: "verify", Address: netip.MustParseAddrPort("10.1.0.9:80"), State: currantturn.BackendActive, StartedAt: start,
		}
		r     *roster.Roster
		write = func(at time.Duration) { r.Offer(start.Add(at), own, start) }
		// foreign overwrites the registration by one of another service, address or start.
		foreign = func(at time.Duration, service currantturn.ServiceName, address string, started time.Time) {
			reg := own
			reg.Service, reg.Address, reg.StartedAt = service, netip.MustParseAddrPort(address), started
			r.Offer(start.Add(at), reg, start)
		}
		// entries expires what is due and returns the entries.
		entries = func(at time.Duration) []roster.Entry {
			r.Expire(start.Add(at), start.Add(at))
			return r.Entries(start.Add(at))
		}
	)
	BeforeEach(func() { r = roster.New(); write(0) })

	DescribeTable("stays in force until it is written again, or for a while", func(overwrite func(at time.Duration)) {
		overwrite(time.Second)
		overwrite(2 * time.Second)
		e := entries(2 * time.Second)[0]
		Expect(e.Placeable() && e.Conflicting()).To(BeTrue())
		Expect(e.Address).To(Equal(own.Address))
		Expect(e.LapsesIn).To(Equal(grace-time.Second), "the second write gives no more time")
		write(2200 * time.Millisecond)
		e = entries(time.Minute)[0]
		Expect(e).To(Equal(roster.Entry{Registration: own}))
		overwrite(time.Minute)
		for _, e := range entries(time.Minute + grace) {
			if e.Address == own.Address && e.Service == own.Service {
				Expect(e.Placeable()).To(BeFalse())
				Expect(e.Unusable).To(BeTrue(), "no proof that it has ended")
			}
		}
		Expect(entries(2*time.Minute+2*grace)).NotTo(ContainElement(HaveField("Unusable", true)), "kept as long as a flow may last")
	},
		Entry("by what can't be used", func(at time.Duration) { r.Suspect(start.Add(at), "a", start) }),
		Entry("by another service", func(at time.Duration) { foreign(at, "elsewhere", "10.9.9.9:9", start) }),
		Entry("by another service at its address", func(at time.Duration) { foreign(at, "elsewhere", "10.1.0.9:80", start) }),
		Entry("by another address", func(at time.Duration) { foreign(at, "verify", "10.9.9.9:9", start) }),
		Entry("by a listing with what can't be used", func(at time.Duration) { r.Replace(start.Add(at), nil, []currantturn.BackendID{"a"}, start) }),
	)

	It("is not removed at once when what was written in its place is removed", func() {
		r.Suspect(start, "a", start)
		r.Remove(start.Add(time.Second), "a", start)
		Expect(entries(time.Second)[0].Placeable()).To(BeTrue())
		e := entries(time.Second + grace)[0]
		Expect(e.Gone).NotTo(BeZero())
		Expect(e.Unusable).To(BeFalse(), "nothing hides it, and it is missing")
	})

	It("is the one in force at once if it returns to an address that it had before", func() {
		foreign(0, "elsewhere", "10.9.9.9:9", start)
		Expect(entries(grace)).To(HaveLen(2))
		write(grace)
		var inForce []roster.Entry
		for _, e := range entries(grace) {
			if e.Gone.IsZero() {
				inForce = append(inForce, e)
			}
		}
		Expect(inForce).To(Equal([]roster.Entry{{Registration: own}}))
	})

	It("is left in force by a roster that never had it", func() {
		other := roster.New()
		replacement := own
		replacement.Address = netip.MustParseAddrPort("10.9.9.9:9")
		other.Put(replacement)
		r.Update(start, other.Entries(start))
		Expect(entries(0)[0].Address).To(Equal(own.Address))
		Expect(entries(0)[0].Replacement).To(Equal(&replacement))
	})

	It("is replaced by one of a later start, whose earlier address is known to have ended", func() {
		foreign(0, "verify", "10.9.9.9:9", start.Add(time.Second))
		all := entries(grace)
		Expect(all).To(HaveLen(2))
		Expect(all[0].Placeable()).To(BeTrue())
		Expect(all[1].Gone).NotTo(BeZero())
		Expect(all[1].Unusable).To(BeFalse())
	})

	It("names the address of the other one as one that may hold flows", func() {
		foreign(0, "elsewhere", "10.9.9.9:9", start)
		c, ok := entries(0)[0].ReplacementEntry(start)
		Expect(ok).To(BeTrue())
		Expect(c.Address.String()).To(Equal("10.9.9.9:9"))
		Expect(c.Placeable()).To(BeFalse())
	})

	It("is settled by what a store that returned from a copy lists", func() {
		r.Suspect(start, "a", start)
		r.Reconcile(start, []roster.Entry{{Registration: own}}, nil, 0, start)
		Expect(entries(0)[0].Conflicting()).To(BeFalse())
		r.Reconcile(start, nil, []currantturn.BackendID{"a"}, 0, start)
		Expect(entries(0)[0].Conflicting()).To(BeTrue())
	})
})
