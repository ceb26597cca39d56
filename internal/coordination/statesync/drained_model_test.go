package statesync_test

import (
	"maps"
	"slices"
	"time"

	"github.com/currantturn/currantturn"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

// Bounds of the model of drained failure domains, for which an order or its revocation can
// be read from the store.
const (
	drainBound   = applyWithin               // until no new flow is placed there
	restoreBound = applyWithin + rewriteSpan // until the failure domain is used again
)

// operatorOrder is what the operator wants of one failure domain.
type operatorOrder struct {
	given    bool
	readable time.Duration // for which that could be read from the store
}

// drainModel plays the model of the store's eras with an operator that drains failure
// domains, and balancers that are cut off from the store or from their peers.
type drainModel struct {
	*model
	orders   map[currantturn.FailureDomain]*operatorOrder
	cut      int // balancer that is cut off; -1 for none
	cutUntil time.Time
}

func newDrainModel(balancers int) *drainModel {
	m := &drainModel{model: newModel(balancers), orders: map[currantturn.FailureDomain]*operatorOrder{}, cut: -1}
	return m
}

// command gives an order, or takes it back, if the store takes that.
func (m *drainModel) command(name currantturn.FailureDomain, given bool) {
	if m.store.away || !m.rewriteAt.IsZero() {
		return
	}
	if o := m.orders[name]; o == nil || o.given != given {
		m.orders[name] = &operatorOrder{given: given}
	}
	m.write(name)
}

// write writes to the store what the operator wants.
func (m *drainModel) write(name currantturn.FailureDomain) {
	if m.orders[name].given {
		m.store.drain(name)
	} else {
		m.store.undrain(name)
	}
}

// play plays d of the model.
func (m *drainModel) play(d time.Duration) {
	for end := m.now.Add(d); m.now.Before(end); {
		rewrites := !m.rewriteAt.IsZero()
		m.advance(tickInterval)
		for _, name := range slices.Sorted(maps.Keys(m.orders)) {
			if rewrites && m.rewriteAt.IsZero() && m.store.drained[name] != m.orders[name].given {
				m.write(name)
			}
			if o := m.orders[name]; !m.store.away && m.store.drained[name] == o.given {
				o.readable += tickInterval
			}
		}
		if m.now.After(m.cutUntil) {
			m.cut = -1
		}
		for i := range m.balancers {
			m.expectOrders(i)
		}
	}
}

// expectOrders expects a balancer to follow the orders that it could have read for long
// enough.
func (m *drainModel) expectOrders(i int) {
	s := m.balancers[i].feed.State(m.now)
	if s.Routing == nil || s.PlacementHeld {
		return // it places nothing
	}
	drained := m.drained(i)
	for name, o := range m.orders {
		if o.given && o.readable > drainBound {
			Expect(drained).To(ContainElement(string(name)), "balancer %d uses %s, which is drained for %s", i, name, o.readable)
		}
		if !o.given && o.readable > restoreBound {
			Expect(drained).NotTo(ContainElement(string(name)), "balancer %d does not use %s, which was taken back for %s", i, name, o.readable)
		}
	}
}

var _ = Describe("drained failure domains in the model", func() {
	It("get new flows neither later than the bound after the order, nor none later than the bound after its end", func() {
		DeferCleanup(func() { RegisterFailHandler(Fail) })
		rapid.Check(GinkgoT(), playDrains)
	})
})

// playDrains plays a random schedule of orders, outages, eras, compactions, restarts and
// balancers that are cut off.
func playDrains(t *rapid.T) {
	RegisterFailHandler(func(message string, _ ...int) { t.Fatal(message) })
	m := newDrainModel(rapid.IntRange(2, 6).Draw(t, "balancers"))
	fromStore := false
	m.readRefused = func(n int) bool { return n == m.cut && fromStore }
	m.heartbeatLost = func(from, to int) bool { return (from == m.cut || to == m.cut) && !fromStore }
	restarted := time.Time{}
	domains := []currantturn.FailureDomain{"kurasini", "upanga", "nowhere"}
	for range rapid.IntRange(5, 20).Draw(t, "operations") {
		operation := rapid.SampledFrom([]string{"order", "order", "revoke", "again", "add", "configure", "restore", "away", "compact", "restart", "cut", "pause"}).Draw(t, "operation")
		switch operation {
		case "order":
			m.command(rapid.SampledFrom(domains).Draw(t, "domain"), true)
		case "revoke":
			m.command(rapid.SampledFrom(domains).Draw(t, "domain"), false)
		case "again":
			name := rapid.SampledFrom(domains).Draw(t, "domain")
			m.command(name, false)
			m.command(name, true)
		case "add":
			m.add()
		case "configure", "restore", "away", "compact":
			m.disturbStore(t, operation)
		case "restart":
			if m.cut < 0 && m.now.Sub(restarted) > time.Second { // the others know what was published
				m.restart(rapid.IntRange(0, len(m.balancers)-1).Draw(t, "balancer"))
				restarted = m.now
			}
		case "cut":
			if m.cut < 0 && m.now.Sub(restarted) > time.Second {
				m.cut = rapid.IntRange(0, len(m.balancers)-1).Draw(t, "balancer")
				m.cutUntil = m.now.Add(time.Duration(rapid.IntRange(1, 60).Draw(t, "cut")) * 100 * time.Millisecond)
				fromStore = rapid.Bool().Draw(t, "from store")
			}
		}
		m.play(time.Duration(rapid.IntRange(1, 25).Draw(t, "pause")) * 50 * time.Millisecond)
	}
	m.cut = -1
	for m.store.away || !m.rewriteAt.IsZero() {
		m.play(100 * time.Millisecond)
	}
	m.play(restoreBound + drainBound)
	m.settle()
}
