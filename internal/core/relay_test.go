package core

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/currantturn/currantturn"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("the tick loop of a process of opaque flows", func() {
	It("is idle while nothing is due, and wakes when a decision leaves work that is due", func() {
		var pending, ticks atomic.Int64
		n := &relayNode{
			clock: time.Now, wake: make(chan struct{}, 1), hasPending: func() bool { return pending.Load() > 0 },
		}
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		go n.tickLoop(ctx, time.Hour, func(time.Time, *currantturn.Effects) {
			ticks.Add(1)
			pending.Store(0)
		})
		for wakeUps := range int64(100) {
			Eventually(n.idle.Load).Should(BeTrue())
			Expect(ticks.Load()).To(Equal(wakeUps + 1))
			pending.Store(1)
			n.decide(func(time.Time, *currantturn.Effects) {})
			Eventually(pending.Load).Should(BeZero())
		}
	})
})
