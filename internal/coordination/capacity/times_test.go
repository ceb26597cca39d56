package capacity_test

import (
	"time"

	"github.com/currantturn/currantturn/internal/coordination/capacity"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("the times of kinds of requests", func() {
	// timesOf plays a load and returns the time of a kind every 100 ms.
	timesOf := func(p play, id capacity.Kind) map[time.Duration]time.Duration {
		all := make(map[time.Duration]time.Duration)
		p.each = func(at time.Duration, _ *capacity.Concurrency, t *capacity.Times) {
			if took, known := t.Of(time.Unix(1000, 0).Add(at), id); known {
				all[at] = took
			}
		}
		p.run()
		return all
	}
	// usual is the time of most requests of a kind of this median at speed 1.
	const usual = 42 * time.Millisecond

	It("do not change with the mix or the load", func() {
		p := play{seed: 1, slots: 4, speed: proportional, duration: 30 * time.Second, kinds: func(at time.Duration) []kind {
			short, long := 40.0, 10.0
			if at > 12*time.Second {
				short, long = 14, 18
			}
			return []kind{{id: 1, perSecond: short, work: median}, {id: 2, perSecond: long, work: 3 * median}}
		}}
		for at, took := range timesOf(p, 1) {
			Expect(took).To(BeNumerically("~", usual, usual*35/100), "at %s", at)
		}
		for at, took := range timesOf(p, 2) {
			Expect(took).To(BeNumerically("~", 3*usual, 3*usual*45/100), "at %s", at)
		}
	})

	It("follow a change of speed within three seconds", func() {
		speed := during(10*time.Second, 20*time.Second, 0.4, 1)
		p := play{seed: 2, slots: 2, kinds: steady(0.35, 2), duration: 30 * time.Second, speed: func(at time.Duration, n int) float64 {
			return speed(at) * float64(n)
		}}
		times := timesOf(p, 1)
		Expect(times[9*time.Second]).To(BeNumerically("~", usual, usual/4))
		Expect(times[13*time.Second]).To(BeNumerically("~", usual*10/4, usual*10/4/4))
		Expect(times[23*time.Second]).To(BeNumerically("~", usual, usual/4))
	})

	// A grey backend server that fails part of its requests at once would otherwise look
	// fast and be sent more.
	It("stay above half of the usual while nearly half of the requests fail at once", func() {
		p := play{seed: 3, slots: 2, kinds: steady(0.5, 2), speed: proportional, duration: 20 * time.Second, failing: during(8*time.Second, 14*time.Second, 0.45, 0)}
		for at, took := range timesOf(p, 1) {
			Expect(took).To(BeNumerically(">", usual/2), "at %s", at)
		}
	})

	It("show the share of answers that came far too early", func() {
		p := play{seed: 3, slots: 2, kinds: steady(0.5, 2), speed: proportional, duration: 30 * time.Second, failing: during(10*time.Second, 16*time.Second, 0.45, 0)}
		p.each = func(at time.Duration, _ *capacity.Concurrency, t *capacity.Times) {
			switch short := t.ShortShare(time.Unix(1000, 0).Add(at)); {
			case at < 10*time.Second, at > 21*time.Second:
				Expect(short).To(BeNumerically("<", 0.1), "at %s", at)
			case at > 13*time.Second && at < 16*time.Second:
				Expect(short).To(BeNumerically(">", 0.2), "at %s", at)
			}
		}
		p.run()
	})

	of := func(times *capacity.Times, now time.Time, id capacity.Kind) time.Duration {
		took, _ := times.Of(now, id)
		return took
	}

	It("rise with requests that end late without an answer", func() {
		var times capacity.Times
		now := time.Unix(1000, 0)
		for range 20 {
			times.Record(now, 1, usual)
		}
		for range 10 {
			times.RecordUnanswered(now, 1, time.Millisecond) // its caller left early
		}
		Expect(of(&times, now, 1)).To(Equal(usual))
		for range 10 {
			times.RecordUnanswered(now, 1, time.Second)
		}
		Expect(of(&times, now, 1)).To(Equal(time.Second))
	})

	It("are unknown with few samples and after ten seconds, and those of the newest kinds are kept", func() {
		var times capacity.Times
		now := time.Unix(1000, 0)
		for id := range capacity.Kind(capacity.MaxKinds + 2) {
			now = now.Add(time.Millisecond)
			for range 8 {
				times.Record(now, id+1, usual)
			}
		}
		times.Record(now, 1, usual)
		_, known := times.Of(now, 1)
		Expect(known).To(BeFalse())
		var kept []capacity.Kind
		times.All(now, func(id capacity.Kind, _ time.Duration) bool {
			kept = append(kept, id)
			return len(kept) < 3
		})
		Expect(kept).To(Equal([]capacity.Kind{10, 9, 8}))
		_, known = times.Of(now.Add(11*time.Second), 10)
		Expect(known).To(BeFalse())
	})
})
