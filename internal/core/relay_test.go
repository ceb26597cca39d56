package core

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/currantturn/currantturn"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("the tick of a process of opaque flows", func() {
	It("rests while nothing is due, and wakes for what a decision leaves to be done", func() {
		var pending, ticks atomic.Int64
		n := &relayNode{
			clock: time.Now, wake: make(chan struct{}, 1), pending: func() bool { return pending.Load() > 0 },
		}
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		go n.tick(ctx, time.Hour, func(time.Time, *currantturn.Effects) {
			ticks.Add(1)
			pending.Store(0)
		})
		for woken := range int64(100) {
			Eventually(n.resting.Load).Should(BeTrue())
			Expect(ticks.Load()).To(Equal(woken + 1))
			pending.Store(1)
			n.decide(func(time.Time, *currantturn.Effects) {})
			Eventually(pending.Load).Should(BeZero())
		}
	})
})
