package shard_test

import (
	"testing"

	"github.com/currantturn/currantturn/internal/state/shard"
	"github.com/currantturn/currantturn/internal/suite"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestShard(t *testing.T) { suite.Run(t, "shard") }

var _ = Describe("a sharded map", func() {
	put := func(m *shard.Map[int, int], key int) bool {
		return m.Update(key, func(*int) *int { return &key })
	}

	It("adds, changes and deletes entries", func() {
		m := shard.New[int, int](1000)
		Expect(put(m, 1)).To(BeTrue())
		m.Update(1, func(v *int) *int { *v = 5; return v })
		m.Update(1, func(v *int) *int { Expect(*v).To(Equal(5)); return nil })
		m.Update(1, func(v *int) *int { Expect(v).To(BeNil()); return nil })
		Expect(m.Len()).To(BeZero())
	})

	It("refuses new entries in a full shard and keeps the existing ones", func() {
		m := shard.New[int, int](shard.Shards)
		refused := 0
		for key := range 1000 {
			if !put(m, key) {
				refused++
			}
		}
		Expect(m.Len()).To(Equal(shard.Shards))
		Expect(refused).To(Equal(1000 - shard.Shards))
	})

	It("sweeps one shard at a time", func() {
		m := shard.New[int, int](1 << 16)
		for key := range 1000 {
			put(m, key)
		}
		for number := range shard.Shards {
			m.Sweep(number, func(key int, _ *int) bool { return key%2 == 0 })
		}
		Expect(m.Len()).To(Equal(500))
	})
})
