package flowbalancer

import (
	"time"

	"github.com/currantturn/currantturn"
	"github.com/currantturn/currantturn/internal/state/roster"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("the pace of searches", func() {
	start := time.Unix(1_000_000, 0)

	It("has no bound without a known link", func() {
		Expect(newPace(0).take(start, 1<<30)).To(BeTrue())
	})

	It("keeps to its part of the link, also for what exceeds a burst", func() {
		p := newPace(1e6)
		taken := 0
		for now := start; now.Before(start.Add(time.Second)); now = now.Add(time.Millisecond) {
			if p.take(now, 1000) {
				taken += 1000
			}
		}
		Expect(taken).To(BeNumerically("~", 1e6*searchShare, 1e6*searchShare*0.1))
		Expect(p.take(start.Add(time.Minute), 1<<30)).To(BeTrue())
		Expect(p.take(start.Add(time.Minute), 1)).To(BeFalse())
	})
})

var _ = Describe("the agents that a search asks first", func() {
	It("are those that the opening packet went to, if any is still there", func() {
		route := &currantturn.FlowRoute{Shares: []currantturn.Share{{Service: "verify", Weight: 1}}}
		p := &plan{services: map[currantturn.ServiceName][]*target{}}
		for _, id := range []currantturn.BackendID{"a", "b", "c", "d"} {
			t := &target{entry: roster.Entry{Registration: currantturn.Registration{ID: id, Service: "verify"}}}
			p.all = append(p.all, t)
			p.services["verify"] = append(p.services["verify"], t)
		}
		x := &entry{tried: []currantturn.BackendID{"b", "d"}}
		Expect(x.candidates(p, route, currantturn.FlowKey{})).To(ConsistOf(p.all[1], p.all[3]))
		x = &entry{tried: []currantturn.BackendID{"gone"}}
		Expect(x.candidates(p, route, currantturn.FlowKey{})).To(HaveLen(4))
	})
})
