package agent_test

import (
	"fmt"
	"testing"

	"github.com/currantturn/currantturn"
	"github.com/currantturn/currantturn/internal/coordination/agent"
	"github.com/currantturn/currantturn/internal/coordination/balancer"
	"github.com/currantturn/currantturn/internal/coordination/rank"
)

var backendCounts = []int{7, 20, 100, 1000}

// BenchmarkDeliver measures the routing of data packets of held flows.
func BenchmarkDeliver(b *testing.B) {
	for _, n := range backendCounts {
		b.Run(fmt.Sprintf("backends=%d", n), func(b *testing.B) {
			a := newAgent(0, view(1, n))
			out := new(currantturn.Effects)
			const flows = 1000
			for i := range flows {
				e := packet(currantturn.FlowKey{Caller: callerAddr(i), Service: serviceAddr}, currantturn.MarkOpening)
				e.Intent = currantturn.IntentPlace
				a.Route(settled, linkAddr(1), e, out)
			}
			e := packet(currantturn.FlowKey{Service: serviceAddr}, currantturn.MarkData, id(0))
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				out.Reset()
				e.Packet.Flow.Caller = callerAddr(i % flows)
				a.Route(settled, balancerAddr, e, out)
			}
		})
	}
}

// BenchmarkPlace measures the placement of new flows by their home.
func BenchmarkPlace(b *testing.B) {
	const flows = 16
	for _, n := range backendCounts {
		b.Run(fmt.Sprintf("backends=%d", n), func(b *testing.B) {
			v := view(1, n)
			t := rank.NewTable(&v.Services[0])
			var homeFlows []currantturn.FlowKey
			for i := 0; len(homeFlows) < flows; i++ {
				f := currantturn.FlowKey{Caller: callerAddr(i), Service: serviceAddr}
				if t.Owner(key.HashFlow(f)).ID == id(0) {
					homeFlows = append(homeFlows, f)
				}
			}
			out := new(currantturn.Effects)
			var a *agent.Agent
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				if i%flows == 0 {
					b.StopTimer()
					a = newAgent(0, v)
					b.StartTimer()
				}
				out.Reset()
				a.Route(settled, balancerAddr, packet(homeFlows[i%flows], currantturn.MarkOpening, id(0)), out)
			}
		})
	}
}

// BenchmarkBalancer measures the routing of callers' packets at a balancer.
func BenchmarkBalancer(b *testing.B) {
	for _, n := range backendCounts {
		b.Run(fmt.Sprintf("backends=%d", n), func(b *testing.B) {
			m := balancer.New(balancer.Options{Self: balancerAddr, Key: key})
			out := new(currantturn.Effects)
			m.Configure(start, view(1, n), out)
			e := packet(currantturn.FlowKey{Service: serviceAddr}, currantturn.MarkData)
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				out.Reset()
				e.Packet.Flow.Caller = callerAddr(i % 60000)
				m.Route(settled, currantturn.FlowKey{}.Caller, e, out)
			}
		})
	}
}
