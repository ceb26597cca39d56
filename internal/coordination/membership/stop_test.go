package membership_test

import (
	"net/netip"
	"testing"
	"time"

	"github.com/currantturn/currantturn"
	"github.com/currantturn/currantturn/internal/coordination/membership"
	"github.com/currantturn/currantturn/internal/suite"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestMembership(t *testing.T) { suite.Run(t, "membership") }

var _ = Describe("the notice of a planned stop", func() {
	It("makes peers declare the member dead at once, and gossip does not revert that", func() {
		now := time.Unix(1_700_000_000, 0)
		service := &currantturn.Service{Name: "verify"}
		lists := map[netip.AddrPort]*membership.List{}
		for i, id := range []currantturn.BackendID{"verify-1", "verify-2"} {
			link := netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(7001+i))
			service.Backends = append(service.Backends, currantturn.BackendServer{
				ID: id, Agent: link, Slots: 3, Weight: 1, State: currantturn.BackendActive,
			})
			lists[link] = membership.New(membership.Options{ID: id, Service: "verify", Seed: uint64(i)})
		}
		stopping, peer := service.Backends[0].Agent, service.Backends[1].Agent
		for _, l := range lists {
			l.Configure(now, 1, service)
		}
		run := func(ticks int) {
			for range ticks {
				now = now.Add(currantturn.TickInterval)
				for self, l := range lists {
					var out currantturn.Effects
					l.Tick(now, currantturn.Load{}, &out)
					deliver(now, lists, self, &out)
				}
			}
		}
		run(100)
		Expect(state(lists[peer], "verify-1")).To(Equal(membership.Alive))
		var out currantturn.Effects
		lists[stopping].AnnounceStop(now, &out)
		deliver(now, lists, stopping, &out)
		Expect(state(lists[peer], "verify-1")).To(Equal(membership.Dead))
		run(40)
		Expect(state(lists[peer], "verify-1")).To(Equal(membership.Dead))
	})
})

// deliver delivers messages and the replies to them without delay.
func deliver(now time.Time, lists map[netip.AddrPort]*membership.List, from netip.AddrPort, out *currantturn.Effects) {
	for _, s := range out.Sends {
		var replies currantturn.Effects
		if l := lists[s.To]; l != nil {
			l.Handle(now, from, s.Message, &replies)
			deliver(now, lists, s.To, &replies)
		}
	}
}

func state(l *membership.List, id currantturn.BackendID) membership.State {
	m, ok := l.Get(id)
	Expect(ok).To(BeTrue())
	return m.State
}
