package flowbalancer

import (
	"time"

	"github.com/currantturn/currantturn"
	"github.com/currantturn/currantturn/internal/state/roster"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("the search limiter", func() {
	start := time.Unix(1_000_000, 0)

	It("allows everything without a known link rate", func() {
		Expect(newSearchLimiter(0).allow(start, 1<<30)).To(BeTrue())
	})

	It("stays within its share of the link, also for packets larger than a burst", func() {
		limiter := newSearchLimiter(1e6)
		sent := 0
		for now := start; now.Before(start.Add(time.Second)); now = now.Add(time.Millisecond) {
			if limiter.allow(now, 1000) {
				sent += 1000
			}
		}
		Expect(sent).To(BeNumerically("~", 1e6*searchLinkShare, 1e6*searchLinkShare*0.1))
		Expect(limiter.allow(start.Add(time.Minute), 1<<30)).To(BeTrue())
		Expect(limiter.allow(start.Add(time.Minute), 1)).To(BeFalse())
	})
})

var _ = Describe("the likely holders of a flow", func() {
	It("are the backend servers that the opening packet was sent to, if any is still present", func() {
		route := &currantturn.FlowRoute{Shares: []currantturn.Share{{Service: "verify", Weight: 1}}}
		p := &plan{byService: map[currantturn.ServiceName][]*target{}}
		for _, id := range []currantturn.BackendID{"a", "b", "c", "d"} {
			t := &target{entry: roster.Entry{Registration: currantturn.Registration{ID: id, Service: "verify"}}}
			p.targets, p.routedTargets = append(p.targets, t), append(p.routedTargets, t)
			p.byService["verify"] = append(p.byService["verify"], t)
		}
		e := &entry{tried: []currantturn.BackendID{"b", "d"}}
		Expect(e.likelyHolders(p, route, currantturn.FlowKey{})).To(ConsistOf(p.targets[1], p.targets[3]))
		e = &entry{tried: []currantturn.BackendID{"gone"}}
		Expect(e.likelyHolders(p, route, currantturn.FlowKey{})).To(HaveLen(4))
	})
})
