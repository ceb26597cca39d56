package balancer_test

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"github.com/currantturn/currantturn"
	"github.com/currantturn/currantturn/internal/coordination/balancer"
	"github.com/currantturn/currantturn/internal/coordination/membership"
	"github.com/currantturn/currantturn/internal/coordination/rank"
	"github.com/currantturn/currantturn/internal/protocol/connid"
	"github.com/currantturn/currantturn/internal/state/hint"
	"github.com/currantturn/currantturn/internal/suite"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestBalancer(t *testing.T) { suite.Run(t, "balancer") }

var (
	now         = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	serviceAddr = netip.MustParseAddrPort("10.9.0.1:443")
	key         = rank.Key{K0: 5}
	codec       = connid.NewCodec([connid.KeyBytes]byte{1})
)

func view() *currantturn.View {
	s := currantturn.Service{Name: "verify", Addresses: []netip.AddrPort{serviceAddr}}
	for i := range 5 {
		s.Backends = append(s.Backends, currantturn.BackendServer{
			ID:    currantturn.BackendID(fmt.Sprintf("b%d", i)),
			Agent: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 7000),
			Slots: 3, Weight: 1, State: currantturn.BackendActive,
		})
	}
	return currantturn.NewView(1, []currantturn.Service{s})
}

var _ = Describe("balancer", func() {
	var b *balancer.Balancer
	v := view()
	f := currantturn.FlowKey{Caller: netip.MustParseAddrPort("192.168.0.1:5000"), Service: serviceAddr}
	route := func(payload []byte) currantturn.Forward {
		var out currantturn.Effects
		b.Route(now, netip.AddrPort{}, &currantturn.Envelope{
			Direction: currantturn.ToBackend,
			Packet:    currantturn.Packet{Flow: f, Mark: currantturn.MarkData, Payload: payload},
		}, &out)
		Expect(out.Forwards).To(HaveLen(1))
		return out.Forwards[0]
	}
	handle := func(m currantturn.Message) { b.Handle(now, serviceAddr, m, new(currantturn.Effects)) }
	agentOf := func(id currantturn.BackendID) netip.AddrPort { return v.Services[0].Backend(id).Agent }
	BeforeEach(func() {
		b = balancer.New(balancer.Options{Self: serviceAddr, Key: key, ConnIDs: codec})
		b.Configure(now, v, nil)
	})

	DescribeTable("forwards to the next rank until the notice expires if the home", func(u membership.Update) {
		first := route([]byte{0})
		u.ID, u.Incarnation = first.Envelope.Ranks[0], 1
		Expect(first.To).To(Equal(agentOf(u.ID)))
		handle(membership.Notice{Service: "verify", Update: u})
		Expect(route([]byte{0}).To).To(Equal(agentOf(first.Envelope.Ranks[1])))
		b.Tick(now.Add(balancer.NoticeLifetime+time.Second), new(currantturn.Effects))
		Expect(route([]byte{0}).To).To(Equal(first.To))
	},
		Entry("died", membership.Update{State: membership.Dead}),
		Entry("is leaving", membership.Update{State: membership.Alive, Leaving: true}),
	)

	It("forwards by a hint and a connection ID to a leaving holder, but not to a dead one", func() {
		first := route([]byte{0})
		holder := first.Envelope.Ranks[2]
		id, err := connid.NewGenerator(codec, rank.Seed(holder), rand.NewChaCha8([32]byte{})).GenerateConnectionID()
		Expect(err).NotTo(HaveOccurred())
		shortHeader := append([]byte{0x40}, id.Bytes()...)
		Expect(route(shortHeader).To).To(Equal(agentOf(holder)))
		handle(hint.Hint{Hash: key.HashFlow(f), Holder: holder})
		Expect(route([]byte{0}).To).To(Equal(agentOf(holder)))

		handle(membership.Notice{Service: "verify", Update: membership.Update{
			ID: holder, State: membership.Alive, Leaving: true, Incarnation: 1,
		}})
		Expect(route(shortHeader).To).To(Equal(agentOf(holder)))
		Expect(route([]byte{0}).To).To(Equal(agentOf(holder)))
		handle(membership.Notice{Service: "verify", Update: membership.Update{ID: holder, State: membership.Dead, Incarnation: 2}})
		Expect(route(shortHeader).To).To(Equal(first.To))
		Expect(route([]byte{0}).To).To(Equal(first.To))
	})

	It("keeps hints within their limit", func() {
		c := hint.New(2 * hint.Shards)
		for i := range uint64(1000) {
			c.Apply(hint.Hint{Hash: i, Holder: "b1"})
		}
		Expect(c.Len()).To(Equal(2 * hint.Shards))
		c.Apply(hint.Hint{Hash: 999})
		Expect(c.Get(999)).To(BeEmpty())
		Expect(c.Get(998)).To(BeEquivalentTo("b1"))
	})
})
