package warmup_test

import (
	"testing"
	"time"

	"github.com/currantturn/currantturn"
	"github.com/currantturn/currantturn/internal/coordination/warmup"
	"github.com/currantturn/currantturn/internal/suite"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

func TestWarmUp(t *testing.T) { suite.Run(t, "warmup") }

var start = time.Unix(1_000_000, 0)

// cold returns what a balancer knows of a backend server that bears 12 requests per
// second for 4 s after its start.
func cold(remaining time.Duration) currantturn.Warming {
	return currantturn.Warming{WarmUp: currantturn.WarmUp{Duration: 4 * time.Second, Rate: 12}, Remaining: remaining}
}

// limit is 12 x 1.5 + 5.
const limit = 23

func newLimiter(fresh bool) *warmup.Limiter {
	return warmup.New(warmup.Options{Overshoot: 1.5, Tolerance: 5, Started: start, Fresh: fresh})
}

// mostWithinASecond returns the largest number of times within any second.
func mostWithinASecond(times []time.Time) (most int) {
	first := 0
	for i := range times {
		for times[i].Sub(times[first]) > time.Second {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// take takes opening packets at intervals and returns when it got any.
func take(l *warmup.Limiter, from time.Time, n int, interval time.Duration) (times []time.Time) {
	for i := range n {
		if now := from.Add(time.Duration(i) * interval); l.Take(now) {
			times = append(times, now)
		}
	}
	return times
}

var _ = Describe("the limit on opening packets of a cold backend server", func() {
	at := func(d time.Duration) time.Time { return start.Add(d) }
	answer, bounced := &currantturn.Packet{Mark: currantturn.MarkData}, &currantturn.Packet{Mark: currantturn.MarkData, Bounced: true}
	revision := func(n uint64) currantturn.Position { return currantturn.Position{Revision: n} }

	It("holds in every second, and nearly that many are taken", func() {
		l := newLimiter(true)
		l.Learn(start, revision(1), cold(4*time.Second))
		times := take(l, start, 4000, time.Millisecond)
		Expect(mostWithinASecond(times)).To(Equal(limit))
		Expect(len(times)).To(BeNumerically(">=", 4*limit-limit/2))
	})

	// A fixed window of a second lets a burst at its end and one at the start of the next
	// pass, twice the limit within a moment.
	It("holds over bursts at any phase", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			l := newLimiter(true)
			var times []time.Time
			now := start
			for range rapid.IntRange(1, 40).Draw(t, "bursts") {
				now = now.Add(time.Duration(rapid.IntRange(0, 1200).Draw(t, "pause")) * time.Millisecond)
				l.Learn(now, revision(1), cold(4*time.Second))
				times = append(times, take(l, now, rapid.IntRange(1, 60).Draw(t, "size"), time.Duration(rapid.IntRange(0, 20).Draw(t, "interval"))*time.Millisecond)...)
			}
			if n := mostWithinASecond(times); n > limit {
				t.Fatalf("%d within a second", n)
			}
		})
	})

	It("does not apply without a rate, nor to a warm backend server", func() {
		l := newLimiter(true)
		Expect(take(l, start, 500, 0)).To(HaveLen(500))
		l.Learn(start, revision(1), cold(0))
		Expect(take(l, start, 500, 0)).To(HaveLen(500))
		Expect(l.Wait(start)).To(BeZero())
	})

	It("ends when the backend server is warm", func() {
		l := newLimiter(true)
		l.Learn(start, revision(1), cold(1500*time.Millisecond))
		take(l, start, 500, 0)
		Expect(l.Wait(at(1200 * time.Millisecond))).To(BeZero())
		take(l, at(1200*time.Millisecond), 500, 0)
		Expect(l.Wait(at(1400 * time.Millisecond))).To(Equal(100 * time.Millisecond))
		Expect(take(l, at(1500*time.Millisecond), 500, 0)).To(HaveLen(500))
	})

	It("counts what was taken while the backend server counted as warm", func() {
		l := newLimiter(true)
		l.Learn(start, revision(1), cold(0))
		take(l, start, 100, 0)
		l.Learn(at(500*time.Millisecond), revision(2), cold(4*time.Second))
		Expect(l.Take(at(500 * time.Millisecond))).To(BeFalse())
		Expect(l.Take(at(1100 * time.Millisecond))).To(BeTrue())
	})

	It("assumes the worst of what was taken before the rate was known", func() {
		l := newLimiter(true)
		Expect(l.Take(start)).To(BeTrue())
		l.Learn(start, revision(1), cold(4*time.Second))
		Expect(take(l, start, 1000, time.Millisecond)).To(BeEmpty())
		Expect(l.Take(at(1100 * time.Millisecond))).To(BeTrue())
	})

	// What a process delivered before it was killed is not known to the next one.
	It("takes nothing for a second after a restart of the process beside a cold backend server", func() {
		l := newLimiter(false)
		l.Learn(start, revision(1), cold(3*time.Second))
		Expect(take(l, start, 600, time.Millisecond)).To(BeEmpty())
		Expect(l.Wait(at(600 * time.Millisecond))).To(Equal(500 * time.Millisecond))
		Expect(take(l, at(600*time.Millisecond), 500, time.Millisecond)).To(BeEmpty())
		Expect(take(l, at(1100*time.Millisecond), 100, 0)).To(HaveLen(limit))
	})

	// After a loss of power of the VM both start together, and balancers still have the
	// registration of the warm backend server before it.
	It("applies after a start of the process that its balancers call warm, for a warm-up", func() {
		l := newLimiter(false)
		l.Learn(start, revision(1), cold(0))
		Expect(take(l, start, 100, 0)).To(HaveLen(limit))
		Expect(take(l, at(4*time.Second), 100, 0)).To(HaveLen(100))
	})

	// Balancers with an older registration do not lift the limit.
	It("is kept while any balancer believes that the backend server is cold", func() {
		l := newLimiter(true)
		l.Learn(start, revision(5), cold(3*time.Second))
		l.Learn(start, revision(3), cold(0))
		l.Learn(at(time.Second), revision(6), cold(0))
		Expect(l.Cold(at(2900 * time.Millisecond))).To(BeTrue())
		Expect(l.Cold(at(3 * time.Second))).To(BeFalse())
	})

	It("uses the rate of the newest configuration", func() {
		l := newLimiter(true)
		l.Learn(start, revision(5), cold(time.Second))
		older := cold(time.Second)
		older.WarmUp.Rate = 100
		l.Learn(start, revision(4), older)
		Expect(l.Limit()).To(Equal(limit))
		l.Learn(start, revision(6), older)
		Expect(l.Limit()).To(Equal(155))
	})

	It("does not last longer than the configured warm-up, whatever a registration says", func() {
		l := newLimiter(true)
		l.Learn(start, revision(1), cold(time.Hour))
		Expect(l.Cold(at(4 * time.Second))).To(BeFalse())
	})

	// The registration of a backend server that restarted reaches balancers later than its
	// first answers.
	It("applies when the backend server answers after it did not", func() {
		l := newLimiter(true)
		l.Learn(start, revision(1), cold(0))
		l.RecordRecovery(at(5 * time.Second))
		Expect(take(l, at(5*time.Second), 100, 0)).To(HaveLen(limit))
		Expect(l.Cold(at(9 * time.Second))).To(BeFalse())
	})

	// It may have restarted while nothing was sent to it.
	It("applies when the backend server has sent nothing for a second, but not before its first packet", func() {
		l := newLimiter(true)
		l.Learn(start, revision(1), cold(0))
		Expect(take(l, at(10*time.Second), 100, 0)).To(HaveLen(100))
		l.RecordAnswer(at(10*time.Second), answer)
		Expect(take(l, at(10900*time.Millisecond), 100, 0)).To(HaveLen(100))
		l.RecordAnswer(at(11*time.Second), answer)
		Expect(take(l, at(13*time.Second), 100, 0)).To(HaveLen(limit))
		l.RecordAnswer(at(13*time.Second), answer)
		Expect(l.Cold(at(16900 * time.Millisecond))).To(BeTrue())
		Expect(l.Cold(at(17 * time.Second))).To(BeFalse())
	})

	// After a restart it bounces the packets of flows that the agent has no record of.
	It("applies when the backend server bounces a packet after it has sent nothing for a second", func() {
		l := newLimiter(true)
		l.Learn(start, revision(1), cold(0))
		l.RecordAnswer(at(10*time.Second), bounced)
		l.RecordAnswer(at(10500*time.Millisecond), bounced)
		l.RecordAnswer(at(12*time.Second), answer)
		Expect(l.Cold(at(12 * time.Second))).To(BeFalse())
		l.RecordAnswer(at(13*time.Second), bounced)
		Expect(l.Cold(at(13 * time.Second))).To(BeTrue())
	})

	// While it is down, its VM bounces opening packets at once, so there is no silence.
	It("applies when the backend server accepts an opening packet after it bounced some", func() {
		l := newLimiter(true)
		l.Learn(start, revision(1), cold(0))
		for n := range 10 {
			l.RecordAnswer(at(time.Duration(n)*100*time.Millisecond), &currantturn.Packet{Mark: currantturn.MarkOpening, Bounced: true})
		}
		Expect(l.Cold(at(900 * time.Millisecond))).To(BeFalse())
		l.RecordAnswer(at(time.Second), &currantturn.Packet{Mark: currantturn.MarkOpening})
		Expect(l.Cold(at(time.Second))).To(BeTrue())
		l.RecordAnswer(at(2*time.Second), &currantturn.Packet{Mark: currantturn.MarkOpening})
		Expect(l.Cold(at(5 * time.Second))).To(BeFalse())
	})

	It("applies when the backend server has lost a flow, but not for ever when it drops idle ones", func() {
		l := newLimiter(true)
		coldTime := 0
		for now := start; now.Before(at(160 * time.Second)); now = now.Add(time.Second) {
			l.Learn(now, revision(1), cold(0))
			l.RecordForgotten(now)
			if l.Cold(now) {
				coldTime++
			}
		}
		Expect(coldTime).To(BeNumerically("~", 40, 4))
	})

	It("does not take more when the clock goes back", func() {
		l := newLimiter(true)
		l.Learn(start, revision(1), cold(4*time.Second))
		take(l, at(time.Second), 100, 0)
		Expect(l.Take(start)).To(BeFalse())
		Expect(l.Take(at(2 * time.Second))).To(BeFalse())
		Expect(l.Take(at(2100 * time.Millisecond))).To(BeTrue())
	})

	It("admits none at a rate whose limit is below one, until the backend server is warm", func() {
		l := warmup.New(warmup.Options{Overshoot: 1, Fresh: true})
		slow := cold(2 * time.Second)
		slow.WarmUp.Rate = 0.5
		l.Learn(start, revision(1), slow)
		Expect(l.Take(start)).To(BeFalse())
		Expect(l.Wait(start)).To(Equal(2 * time.Second))
		Expect(l.Take(at(2 * time.Second))).To(BeTrue())
	})

	It("is forgotten when no balancer sends a rate any more", func() {
		l := newLimiter(true)
		l.Learn(start, revision(1), cold(0))
		l.RecordRecovery(at(2 * time.Minute))
		Expect(take(l, at(2*time.Minute), 100, 0)).To(HaveLen(100))
	})
})
