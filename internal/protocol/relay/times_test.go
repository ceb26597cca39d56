package relay_test

import (
	"maps"
	"testing"
	"time"

	"github.com/currantturn/currantturn/internal/protocol/relay"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

func TestKindTimesRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		times := rapid.SliceOfN(rapid.Int64Range(int64(200*time.Microsecond), int64(20*time.Second)), 0, relay.MaxKinds).Draw(t, "times")
		var k relay.KindTimes
		for i, took := range times {
			k = k.Add(uint8(i+1), time.Duration(took))
		}
		decoded := maps.Collect(k.All())
		if len(decoded) != len(times) {
			t.Fatalf("%d of %d kinds", len(decoded), len(times))
		}
		for i, took := range times {
			if ratio := float64(decoded[uint8(i+1)]) / float64(took); ratio < 0.97 || ratio > 1.03 {
				t.Fatalf("%s became %s", time.Duration(took), decoded[uint8(i+1)])
			}
		}
	})
}

var _ = Describe("the times of kinds of requests", func() {
	It("hold the first two kinds", func() {
		var k relay.KindTimes
		for kind := range uint8(3) {
			k = k.Add(kind+1, time.Second)
		}
		Expect(maps.Collect(k.All())).To(And(HaveLen(2), Not(HaveKey(uint8(3)))))
	})

	It("clamp times that are out of range", func() {
		decoded := maps.Collect(relay.KindTimes(0).Add(1, 0).Add(2, time.Hour).All())
		Expect(decoded[1]).To(Equal(100 * time.Microsecond))
		Expect(decoded[2]).To(BeNumerically("~", 25*time.Second, time.Second))
	})
})
