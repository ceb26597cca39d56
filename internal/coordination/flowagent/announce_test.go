package flowagent_test

import (
	"net/netip"
	"time"

	"github.com/currantturn/currantturn"
	"github.com/currantturn/currantturn/internal/coordination/flowagent"
	"github.com/currantturn/currantturn/internal/protocol/relay"
	"github.com/currantturn/currantturn/platform"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("an agent that receives nothing from balancers", func() {
	var (
		seeds = []netip.AddrPort{netip.MustParseAddrPort("10.9.0.1:7120"), netip.MustParseAddrPort("10.9.0.2:7120")}
		start = time.Unix(1_000_000, 0)
		agent *flowagent.Agent
	)
	// announcements returns how many announcements each seed is sent from one time to another.
	announcements := func(from, to time.Duration) (n int) {
		for at := from; at < to; at += 10 * time.Millisecond {
			if !agent.AnnounceDue(start.Add(at)) {
				continue
			}
			var out currantturn.Effects
			agent.Announce(start.Add(at), &out)
			sent := 0
			for _, s := range out.Sends {
				if m, ok := s.Message.(relay.Announce); ok {
					Expect(m).To(Equal(relay.Announce{Service: "verify", FailureDomain: "hall-a"}))
					Expect(s.To).To(Equal(seeds[sent]))
					sent++
				}
			}
			Expect(sent).To(Equal(len(seeds)))
			n++
		}
		return n
	}
	BeforeEach(func() {
		agent = flowagent.New(flowagent.Options{
			Codec: platform.Packets{}, Service: "verify", FailureDomain: "hall-a", LinkPort: 7120, Started: start, Seeds: seeds,
		})
	})

	It("announces itself at its start, and then less and less often", func() {
		Expect(announcements(0, 10*time.Millisecond)).To(Equal(1))
		Expect(announcements(10*time.Millisecond, time.Second)).To(Equal(2))
		Expect(announcements(time.Second, time.Minute)).To(BeNumerically("~", 8, 2))
	})

	It("announces itself again soon after the last packet of a balancer, and not while there are any", func() {
		announcements(0, time.Second)
		for at := time.Second; at < 3*time.Second; at += 200 * time.Millisecond {
			var out currantturn.Effects
			agent.Handle(start.Add(at), seeds[0], relay.Probe{}, &out)
			Expect(announcements(at, at+200*time.Millisecond)).To(BeZero())
		}
		Expect(announcements(3*time.Second, 3300*time.Millisecond)).To(Equal(1))
	})
})
