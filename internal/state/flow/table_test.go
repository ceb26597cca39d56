package flow_test

import (
	"fmt"
	"net/netip"
	"runtime"
	"testing"
	"time"

	"github.com/currantturn/currantturn"
	"github.com/currantturn/currantturn/internal/state/flow"
	"github.com/currantturn/currantturn/internal/suite"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

func TestFlow(t *testing.T) { suite.Run(t, "flow") }

func keyOf(i int) flow.Key {
	a := netip.AddrFrom4([4]byte{10, byte(i >> 16), byte(i >> 8), byte(i)})
	return flow.KeyOf(currantturn.FlowKey{
		Caller:  netip.AddrPortFrom(a, 9),
		Service: netip.MustParseAddrPort("[2001:db8::1]:443"),
	})
}

var _ = Describe("a flow table", func() {
	It("decodes the keys that it encodes", func() {
		k := keyOf(77)
		Expect(flow.KeyOf(k.Flow())).To(Equal(k))
		parsed, ok := flow.ParseKey(k[:])
		Expect(ok).To(BeTrue())
		Expect(parsed).To(Equal(k))
		_, ok = flow.ParseKey(k[1:])
		Expect(ok).To(BeFalse())
	})

	It("matches a map and stays within its limit", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			const limit = 8
			table := flow.NewTable(limit * flow.Shards)
			model := map[int]flow.Ref{}
			t.Repeat(map[string]func(*rapid.T){
				"put": func(t *rapid.T) {
					i := rapid.IntRange(0, 20).Draw(t, "flow")
					k := keyOf(i)
					s := table.At(0)
					r := s.Put(uint64(i*flow.Shards), &k)
					_, exists := model[i]
					if (r == nil) != (!exists && len(model) >= limit) {
						t.Fatalf("put of flow %d returned %v with %d records in the shard", i, r, len(model))
					}
					if r != nil {
						holder := flow.Ref(rapid.IntRange(0, 3).Draw(t, "holder"))
						s.Redirect(r, holder)
						if holder == 0 {
							s.Hold(r)
						}
						model[i] = holder
					}
				},
				"delete": func(t *rapid.T) {
					i := rapid.IntRange(0, 20).Draw(t, "flow")
					k := keyOf(i)
					if r := table.At(0).Get(uint64(i*flow.Shards), &k); r != nil {
						table.At(0).Delete(r)
					}
					delete(model, i)
				},
				"": func(t *rapid.T) {
					held := 0
					for i, holder := range model {
						k := keyOf(i)
						r := table.At(0).Get(uint64(i*flow.Shards), &k)
						if r == nil || r.Holder != holder || r.Has(flow.Held) != (holder == 0) {
							t.Fatalf("flow %d has record %+v, want holder %d", i, r, holder)
						}
						if holder == 0 {
							held++
						}
					}
					seen := 0
					for !table.At(0).Sweep(5, func(*flow.Record) bool { seen++; return true }) {
					}
					if n, h := table.Len(); n != len(model) || h != held || seen > len(model) {
						t.Fatalf("got %d records, %d held, %d swept; want %d records, %d held", n, h, seen, len(model), held)
					}
				},
			})
		})
	})

	It("measures the time since a stamp, never below zero", func() {
		now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
		s := flow.StampOf(now)
		Expect(s.Since(flow.StampOf(now.Add(time.Minute)))).To(Equal(time.Minute))
		Expect(flow.StampOf(now.Add(time.Minute)).Since(s)).To(BeZero())
	})
})

// BenchmarkShard measures lookups in one shard and its memory per flow.
func BenchmarkShard(b *testing.B) {
	for _, n := range []int{10_000, 100_000, 1_000_000} {
		b.Run(fmt.Sprintf("flows=%d", n), func(b *testing.B) {
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			t := flow.NewTable(n * flow.Shards)
			hash := func(i int) uint64 { return uint64(i) * 0x9e3779b97f4a7c15 * flow.Shards }
			for i := range n {
				k := keyOf(i)
				t.At(0).Put(hash(i), &k)
			}
			runtime.GC()
			runtime.ReadMemStats(&after)
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				k := keyOf(i % n)
				t.At(0).Lock()
				t.At(0).Get(hash(i%n), &k)
				t.At(0).Unlock()
			}
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(n), "B/flow")
			runtime.KeepAlive(t)
		})
	}
}
