package flowbalancer_test

import (
	"net/netip"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// hashPlacement places a flow by a hash over the backend servers that are registered
// now and remembers it in a table of one balancer only. This simple scheme loses
// flows, which the simulation must detect.
func (sim *simulation) hashPlacement(c *caller, table map[netip.AddrPort]*backendVM) *backendVM {
	if b := table[c.address]; b != nil {
		return b
	}
	var ready []*backendVM
	for _, id := range sim.backendIDs() {
		if b := sim.backends[id]; b.removedAt.IsZero() && b.registration.State == "active" {
			ready = append(ready, b)
		}
	}
	b := ready[int(c.address.Port())%len(ready)]
	table[c.address] = b
	return b
}

var _ = Describe("placement by a hash and a table at each balancer only", func() {
	It("misdelivers packets when balancers are replaced after the roster has changed", func() {
		sim := startFleet(1, 1, 4, 0)
		table := map[netip.AddrPort]*backendVM{}
		var callers []*caller
		for n := range 40 {
			c := &caller{address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{100, 64, 0, byte(n)}), uint16(1024+n)), opened: true, accepted: 500, acked: 501}
			c.holder = sim.hashPlacement(c, table)
			c.holder.flows[c.address] = &connection{initialSequence: 500, nextSequence: 101}
			sim.callers[c.address] = c
			callers = append(callers, c)
		}
		sim.addBackend(3)
		clear(table) // a replaced balancer starts with an empty table
		for range 15 {
			for _, c := range callers {
				c.recordDelivery(sim, sim.hashPlacement(c, table), 1)
			}
			sim.run(200 * time.Millisecond)
		}
		Expect(sim.violations).NotTo(BeEmpty(), "the simulation must detect misdelivered packets")
	})
})
