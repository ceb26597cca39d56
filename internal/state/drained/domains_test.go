package drained_test

import (
	"testing"
	"time"

	"github.com/currantturn/currantturn"
	"github.com/currantturn/currantturn/internal/state/drained"
	"github.com/currantturn/currantturn/internal/suite"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestDrained(t *testing.T) { suite.Run(t, "drained") }

var _ = Describe("drained failure domains", func() {
	const grace = 2 * time.Second
	var (
		start = time.Unix(1_000_000, 0)
		d     *drained.Domains
	)
	names := func(now time.Time) (all []string) {
		for _, e := range d.Entries(now) {
			all = append(all, string(e.FailureDomain))
		}
		return all
	}
	BeforeEach(func() {
		d = drained.New()
		d.Apply(currantturn.DrainOrder{FailureDomain: "b"})
		d.Apply(currantturn.DrainOrder{FailureDomain: "a"})
	})

	It("are those with an order that was not revoked", func() {
		Expect(names(start)).To(Equal([]string{"a", "b"}))
		d.Apply(currantturn.DrainOrder{FailureDomain: "a", Revoked: true})
		d.Apply(currantturn.DrainOrder{FailureDomain: "c", Revoked: true})
		Expect(names(start)).To(Equal([]string{"b"}))
	})

	It("are replaced by those of a listing", func() {
		d.Replace(start, []drained.Entry{{FailureDomain: "c"}}, time.Time{})
		Expect(names(start)).To(Equal([]string{"c"}))
	})

	It("stay for a while when a listing of a copy lacks their orders", func() {
		d.Replace(start, []drained.Entry{{FailureDomain: "a"}}, start.Add(grace))
		Expect(d.Entries(start.Add(time.Second))).To(Equal([]drained.Entry{{FailureDomain: "a"}, {FailureDomain: "b", LapsesIn: time.Second}}))
		d.Replace(start.Add(time.Second), nil, start.Add(2*grace))
		Expect(d.Expire(start.Add(grace), start.Add(grace))).To(BeTrue())
		Expect(names(start.Add(grace))).To(Equal([]string{"a"}), "another listing does not prolong the time of b")
	})

	It("stay while the store has not been available for their orders to return", func() {
		d.Replace(start, nil, start.Add(grace))
		Expect(d.Expire(start.Add(time.Minute), start)).To(BeFalse())
		d.Postpone(start.Add(time.Minute + grace))
		Expect(d.Expire(start.Add(time.Minute), start.Add(time.Minute))).To(BeFalse())
		Expect(d.Expire(start.Add(time.Minute+grace), start.Add(time.Minute+grace))).To(BeTrue())
		Expect(names(start)).To(BeEmpty())
	})

	It("are completed by an earlier set, for a while", func() {
		d.Learn(start, []drained.Entry{{FailureDomain: "a"}, {FailureDomain: "c"}, {FailureDomain: "d", LapsesIn: time.Second}}, start.Add(grace))
		Expect(names(start)).To(Equal([]string{"a", "b", "c", "d"}))
		Expect(d.Expire(start.Add(time.Second), start.Add(time.Second))).To(BeTrue())
		Expect(names(start)).To(Equal([]string{"a", "b", "c"}))
		d.Apply(currantturn.DrainOrder{FailureDomain: "c"})
		Expect(d.Expire(start.Add(grace), start.Add(grace))).To(BeFalse())
	})
})
