package schedule_test

import (
	"testing"
	"time"

	"github.com/currantturn/currantturn/internal/state/schedule"
	"github.com/currantturn/currantturn/internal/suite"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestSchedule(t *testing.T) { suite.Run(t, "schedule") }

var _ = Describe("a schedule list", func() {
	It("returns the keys that are due, in order, and keeps the others", func() {
		var l schedule.List[int]
		start := time.Unix(1_000_000, 0)
		Expect(l.TakeDue(start)).To(BeEmpty())
		for n := range 5 {
			l.Add(n, start.Add(time.Duration(n)*time.Second))
		}
		Expect(l.TakeDue(start.Add(2 * time.Second))).To(Equal([]int{0, 1, 2}))
		Expect(l.TakeDue(start.Add(2 * time.Second))).To(BeEmpty())
		Expect(l.Len()).To(Equal(2))
		l.Add(9, start.Add(9*time.Second))
		Expect(l.TakeDue(start.Add(time.Minute))).To(Equal([]int{3, 4, 9}))
		Expect(l.Len()).To(BeZero())
	})
})
