package flowbalancer_test

import (
	"net/netip"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// naiveFlow places by a hash over the backend servers that are registered now
// and keeps a table at each balancer only, as the first trial did.
func (w *world) naiveFlow(c *caller, table map[netip.AddrPort]*backendVM) *backendVM {
	if b := table[c.at]; b != nil {
		return b
	}
	var ready []*backendVM
	for _, id := range w.ids() {
		if b := w.backends[id]; b.gone.IsZero() && b.reg.State == "active" {
			ready = append(ready, b)
		}
	}
	b := ready[int(c.at.Port())%len(ready)]
	table[c.at] = b
	return b
}

var _ = Describe("the naive way", func() {
	It("loses flows to other backend servers when balancers are replaced after a change of the roster", func() {
		w := calm(1, 1, 4, 0)
		table := map[netip.AddrPort]*backendVM{}
		var callers []*caller
		for n := range 40 {
			c := &caller{at: netip.AddrPortFrom(netip.AddrFrom4([4]byte{100, 64, 0, byte(n)}), uint16(1024+n)), opened: true, acked: 501}
			c.holder = w.naiveFlow(c, table)
			c.holder.flows[c.at] = &held{iss: 500, next: 101}
			w.callers[c.at] = c
			callers = append(callers, c)
		}
		w.addBackend(3)
		clear(table) // the balancer is replaced
		for range 15 {
			for _, c := range callers {
				c.reached(w, w.naiveFlow(c, table))
			}
			w.run(200 * time.Millisecond)
		}
		Expect(w.broken).NotTo(BeEmpty(), "the check sees it")
	})
})
