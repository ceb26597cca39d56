package rank_test

import (
	"fmt"
	"testing"

	"github.com/currantturn/currantturn"
	"github.com/currantturn/currantturn/internal/coordination/rank"
	"github.com/currantturn/currantturn/internal/suite"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestRank(t *testing.T) { suite.Run(t, "rank") }

func service(n int) *currantturn.Service {
	s := &currantturn.Service{Name: "verify"}
	for i := range n {
		s.Backends = append(s.Backends, currantturn.BackendServer{
			ID: currantturn.BackendID(fmt.Sprintf("verify-%04d", i)), Weight: 1, Slots: 3, State: currantturn.BackendActive,
		})
	}
	return s
}

var _ = Describe("rendezvous ranking", func() {
	It("moves only the keys of a removed backend server, each to its second rank", func() {
		full, less := service(7), service(7)
		less.Backends[3].State = currantturn.BackendDraining
		before, after := rank.NewTable(full), rank.NewTable(less)
		for key := range uint64(5000) {
			var a, b [2]int
			before.Top(key*0x9e3779b97f4a7c15, rank.Active, a[:])
			after.Top(key*0x9e3779b97f4a7c15, rank.Active, b[:])
			if a[0] == 3 {
				Expect(b[0]).To(Equal(a[1]))
			} else {
				Expect(b[0]).To(Equal(a[0]))
			}
		}
	})

	It("orders equal weights in the same way as the weighted score", func() {
		s := service(20)
		t := rank.NewTable(s)
		for key := range uint64(5000) {
			key *= 0x9e3779b97f4a7c15
			best := 0
			for i := range s.Backends {
				if rank.Score(key, rank.Seed(s.Backends[i].ID), 1) > rank.Score(key, rank.Seed(s.Backends[best].ID), 1) {
					best = i
				}
			}
			Expect(t.Owner(key).ID).To(Equal(s.Backends[best].ID))
		}
	})

	It("gives each backend server a share of the keys in proportion to its weight", func() {
		s := service(3)
		s.Backends[2].Weight = 2
		t := rank.NewTable(s)
		var counts [3]int
		for key := range uint64(40000) {
			var out [1]int
			t.Top(key*0x9e3779b97f4a7c15, rank.Active, out[:])
			counts[out[0]]++
		}
		Expect(float64(counts[2])).To(BeNumerically("~", 20000, 600))
	})
})

func BenchmarkTop(b *testing.B) {
	for _, n := range []int{7, 20, 100, 1000} {
		b.Run(fmt.Sprintf("backends=%d", n), func(b *testing.B) {
			t := rank.NewTable(service(n))
			var out [currantturn.MaxRanks]int
			b.ReportAllocs()
			for i := range b.N {
				t.Top(uint64(i)*0x9e3779b97f4a7c15, rank.Active, out[:])
			}
		})
	}
}
