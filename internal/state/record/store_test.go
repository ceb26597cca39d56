package record_test

import (
	"testing"
	"time"

	"github.com/currantturn/currantturn/internal/protocol/request"
	"github.com/currantturn/currantturn/internal/state/record"
	"github.com/currantturn/currantturn/internal/suite"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

func TestRecord(t *testing.T) { suite.Run(t, "record") }

var start = time.UnixMilli(1_790_000_000_000)

// TestStoreAgainstModel compares a store with a map without limits: a record is
// in the store unless its key was refused or is too old.
func TestStoreAgainstModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const retention = time.Minute
		s := record.New[int](record.Shards*3*record.EntryBytes, retention)
		model := map[request.Key]int{}
		latest := start
		now := start
		for i := range rapid.IntRange(1, 120).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(-2000, 20000).Draw(t, "step")) * time.Millisecond)
			latest = maxTime(latest, now)
			k := request.NewKey(now, [10]byte{9: byte(rapid.IntRange(0, 3).Draw(t, "shard"))})
			s.Do(now, k, func(sh *record.Shard[int]) {
				v, ok := sh.Get(k)
				if want, known := model[k]; ok && (!known || v != want) {
					t.Fatalf("value %d was not stored for this key", v)
				} else if !ok && known && !sh.TooOld(now, k) {
					t.Fatalf("record of key %s was dropped before its retention period ended", k)
				}
				if ok || sh.TooOld(now, k) || sh.Refused(k) {
					return
				}
				if sh.Put(k, i, record.EntryBytes) != nil {
					sh.RefuseUpTo(k)
					if !sh.Refused(k) {
						t.Fatal("key is not refused after RefuseUpTo")
					}
					return
				}
				model[k] = i
			})
			if _, bytes := s.Size(); bytes > record.Shards*3*record.EntryBytes {
				t.Fatalf("store takes %d bytes, above its limit", bytes)
			}
		}
	})
}

func maxTime(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

var _ = Describe("a record store", func() {
	It("reports a dropped key as too old even after the clock is set back", func() {
		s := record.New[int](record.MinBytes, time.Minute)
		k := request.NewKey(start, [10]byte{})
		s.Do(start, k, func(sh *record.Shard[int]) { Expect(sh.Put(k, 1, record.EntryBytes)).To(Succeed()) })
		s.Do(start.Add(time.Minute), k, func(sh *record.Shard[int]) {
			_, ok := sh.Get(k)
			Expect(ok).To(BeFalse())
		})
		s.Do(start.Add(time.Second), k, func(sh *record.Shard[int]) { Expect(sh.TooOld(start.Add(time.Second), k)).To(BeTrue()) })
	})

	It("releases reserved bytes that an answer does not need", func() {
		s := record.New[int](record.Shards*1000, time.Minute)
		k := request.NewKey(start, [10]byte{})
		s.Do(start, k, func(sh *record.Shard[int]) {
			Expect(sh.Put(k, 1, 1000)).To(Succeed())
			Expect(sh.Put(request.NewKey(start, [10]byte{1}), 1, 1)).To(MatchError(record.ErrFull))
			sh.Shrink(k, 400)
			Expect(sh.Put(request.NewKey(start, [10]byte{1}), 1, 600)).To(Succeed())
		})
	})
})
