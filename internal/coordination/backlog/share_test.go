package backlog_test

import (
	"net/netip"
	"time"

	"github.com/currantturn/currantturn"
	"github.com/currantturn/currantturn/internal/coordination/backlog"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("the shares of a backlog", func() {
	const expected = 20 * time.Millisecond
	kindOf := func(priority int) (netip.AddrPort, currantturn.Demand) {
		at := netip.AddrPortFrom(netip.MustParseAddr("198.18.0.1"), uint16(443+priority))
		return at, currantturn.Demand{Priority: priority, LatencyObjective: 10 * time.Second, Timeout: time.Minute}
	}
	push := func(b *backlog.Backlog, caller byte, port uint16, priority int) {
		at, demand := kindOf(priority)
		from := netip.AddrPortFrom(netip.AddrFrom4([4]byte{100, 64, 0, caller}), port)
		Expect(b.Push(backlog.Request{
			Flow: currantturn.FlowKey{Caller: from, Service: at}, AttemptStarted: start, Demand: demand,
		})).To(BeTrue())
	}
	pop := func(b *backlog.Backlog) (caller byte, priority int) {
		r, ok := b.Pop(start, expected)
		Expect(ok).To(BeTrue())
		return r.Flow.Caller.Addr().As4()[3], r.Demand.Priority
	}

	// A caller that sends much must not displace many that send little.
	It("release one request of each caller in turn, however many one sends", func() {
		var b backlog.Backlog
		for n := range uint16(50) {
			push(&b, 1, 1000+n, 2)
		}
		for caller := range byte(5) {
			push(&b, 10+caller, 1000, 2)
		}
		first := map[byte]int{}
		for range 10 {
			caller, _ := pop(&b)
			first[caller]++
		}
		Expect(first).To(HaveLen(6))
		Expect(first[1]).To(Equal(5), "the slots that no other caller waits for")
	})

	It("are not saved up by a caller that sends nothing", func() {
		var b backlog.Backlog
		for n := range uint16(40) {
			push(&b, 1, 1000+n, 2)
		}
		for range 20 {
			pop(&b)
		}
		for n := range uint16(20) {
			push(&b, 2, 1000+n, 2)
		}
		released := map[byte]int{}
		for range 20 {
			caller, _ := pop(&b)
			released[caller]++
		}
		Expect(released[1]).To(BeNumerically("~", 10, 1))
	})

	It("release a request of each new caller before more of one that sends much, however many callers come", func() {
		var b backlog.Backlog
		at, demand := kindOf(2)
		for n := range uint16(100) {
			push(&b, 1, n, 2)
		}
		for n := range 4 * backlog.MaxWaiting {
			push(&b, 1, uint16(1000+n), 2)
			from := netip.AddrPortFrom(netip.AddrFrom4([4]byte{100, 65, byte(n >> 8), byte(n)}), 1000)
			Expect(b.Push(backlog.Request{Flow: currantturn.FlowKey{Caller: from, Service: at}, AttemptStarted: start, Demand: demand})).To(BeTrue())
			var greedy int
			for range 2 {
				if r, _ := b.Pop(start, expected); r.Flow.Caller.Addr() != from.Addr() {
					greedy++
				}
			}
			Expect(greedy).To(Equal(1), "step %d", n)
		}
	})

	// A burst of one kind must not starve another, not even of an urgent kind.
	It("give a kind of the next higher priority twice as many slots while both wait", func() {
		var b backlog.Backlog
		for n := range uint16(200) {
			push(&b, byte(n), 1000, 1)
			push(&b, byte(n), 1000, 2)
		}
		released := map[int]int{}
		for range 150 {
			_, priority := pop(&b)
			released[priority]++
		}
		Expect(released[1]).To(BeNumerically("~", 100, 2))
		Expect(released[2]).To(BeNumerically("~", 50, 2))
	})
})
