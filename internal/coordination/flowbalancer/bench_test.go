package flowbalancer_test

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/currantturn/currantturn"
	"github.com/currantturn/currantturn/internal/coordination/flowbalancer"
	"github.com/currantturn/currantturn/internal/coordination/statesync"
	"github.com/currantturn/currantturn/internal/protocol/relay"
	"github.com/currantturn/currantturn/internal/state/roster"
	"github.com/currantturn/currantturn/platform"
)

// fleetState returns a published state with the given numbers of routes and
// registrations, 20 backend servers per service.
func fleetState(routes, servers int) statesync.State {
	s := statesync.State{Position: currantturn.Position{Revision: 1}, Routing: &currantturn.Routing{Version: 1}}
	for n := range routes {
		s.Routing.Routes = append(s.Routing.Routes, currantturn.FlowRoute{
			Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{198, 18, byte(n >> 8), byte(n)}), 443),
			Shares:  []currantturn.Share{{Service: currantturn.ServiceName(fmt.Sprint("s", n%max(servers/20, 1))), Weight: 1}},
		})
	}
	for n := range servers {
		s.Servers = append(s.Servers, roster.Entry{Registration: currantturn.Registration{
			ID: currantturn.BackendID(fmt.Sprint("i-", n)), Service: currantturn.ServiceName(fmt.Sprint("s", n/20)),
			Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 2, byte(n >> 8), byte(n)}), 8080), Slots: 3,
			State: currantturn.BackendActive,
		}})
	}
	return s
}

// BenchmarkPublish measures putting a new configuration or roster in force, with 60
// backend servers and with the 9,600 that are expected in two years.
func BenchmarkPublish(b *testing.B) {
	for _, size := range []struct{ routes, servers int }{{1000, 60}, {470, 9600}} {
		b.Run(fmt.Sprintf("%d routes, %d servers", size.routes, size.servers), func(b *testing.B) {
			s := fleetState(size.routes, size.servers)
			balancer := flowbalancer.New(flowbalancer.Options{Codec: platform.Packets{}, AgentPort: linkPort})
			var out currantturn.Effects
			b.ReportAllocs()
			for b.Loop() {
				balancer.Publish(time.Unix(1_000_000, 0), s, &out)
			}
		})
	}
}

// BenchmarkPacket measures routing a packet of a known flow, and of a new flow.
func BenchmarkPacket(b *testing.B) {
	now := time.Unix(1_000_000, 0)
	service := netip.AddrPortFrom(netip.AddrFrom4([4]byte{198, 18, 0, 0}), 443)
	caller := netip.MustParseAddrPort("100.64.0.7:40001")
	open := func(balancer *flowbalancer.Balancer, caller netip.AddrPort, out *currantturn.Effects, flags byte) {
		out.Reset()
		e := currantturn.Envelope{Direction: currantturn.ToBackend}
		if err := (platform.Packets{}).Decode(encodePacket(caller, service, flags, 1, 1, 0), currantturn.ToBackend, &e.Packet); err != nil {
			b.Fatal(err)
		}
		balancer.Route(now, netip.AddrPort{}, &e, out)
	}
	b.Run("known", func(b *testing.B) {
		balancer := flowbalancer.New(flowbalancer.Options{Codec: platform.Packets{}, AgentPort: linkPort})
		var out currantturn.Effects
		balancer.Publish(now, fleetState(10, 200), &out)
		open(balancer, caller, &out, syn)
		to := out.Forwards[0].To
		balancer.Handle(now, to, relay.Accepted{Flow: relay.Flow{Caller: caller, Service: service}}, &out)
		raw := encodePacket(caller, service, ack, 1, 1, 0)
		e := currantturn.Envelope{Direction: currantturn.ToBackend}
		b.ReportAllocs()
		for b.Loop() {
			out.Reset()
			if err := (platform.Packets{}).Decode(raw, currantturn.ToBackend, &e.Packet); err != nil {
				b.Fatal(err)
			}
			balancer.Route(now, netip.AddrPort{}, &e, &out)
		}
	})
	b.Run("new", func(b *testing.B) {
		balancer := flowbalancer.New(flowbalancer.Options{Codec: platform.Packets{}, AgentPort: linkPort, MaxFlows: 1 << 24})
		var out currantturn.Effects
		balancer.Publish(now, fleetState(10, 200), &out)
		n := uint32(0)
		b.ReportAllocs()
		for b.Loop() {
			n++
			open(balancer, netip.AddrPortFrom(netip.AddrFrom4([4]byte{100, byte(n >> 16), byte(n >> 8), byte(n)}), 40001), &out, syn)
		}
	})
}
