package capacity

import (
	"slices"
	"time"
)

// Kind identifies a kind of requests, such as those of one route.
type Kind uint8

// Times estimates how long the kinds of requests take. Kinds are kept apart, so that
// a change of the mix does not look like a change of speed. It is not safe for
// concurrent use.
type Times struct {
	kinds []kindSamples
}

// kindSamples holds the newest samples of one kind.
type kindSamples struct {
	kind  Kind
	next  int // index of the next sample to be replaced
	times [sampleCount]time.Duration
	ends  [sampleCount]time.Time // when each request ended; zero if there is no sample
	last  time.Time
}

// Record adds the time that an answered request took.
func (t *Times) Record(now time.Time, kind Kind, took time.Duration) {
	k := t.find(kind)
	if now.Sub(k.last) > maxPause {
		*k = kindSamples{kind: kind}
	}
	k.times[k.next], k.ends[k.next] = took, now
	k.next = (k.next + 1) % sampleCount
	k.last = now
}

// RecordUnanswered adds a request that ended without an answer. It counts only if it
// took longer than usual: then an answer would have taken longer still.
func (t *Times) RecordUnanswered(now time.Time, kind Kind, took time.Duration) {
	if usual, known := t.Of(now, kind); known && took > usual {
		t.Record(now, kind, took)
	}
}

// find returns the samples of a kind, and makes room for them if there are none.
func (t *Times) find(kind Kind) *kindSamples {
	oldest := 0
	for i := range t.kinds {
		if t.kinds[i].kind == kind {
			return &t.kinds[i]
		}
		if t.kinds[i].last.Before(t.kinds[oldest].last) {
			oldest = i
		}
	}
	if len(t.kinds) < MaxKinds {
		t.kinds = append(t.kinds, kindSamples{kind: kind})
		return &t.kinds[len(t.kinds)-1]
	}
	t.kinds[oldest] = kindSamples{kind: kind}
	return &t.kinds[oldest]
}

// Of returns the time that most requests of a kind take; false if there are too few
// recent samples.
func (t *Times) Of(now time.Time, kind Kind) (time.Duration, bool) {
	for i := range t.kinds {
		if t.kinds[i].kind == kind {
			return t.kinds[i].quantile(now)
		}
	}
	return 0, false
}

// All calls yield with each kind whose time is known, those with the newest answers
// first, until yield returns false.
func (t *Times) All(now time.Time, yield func(Kind, time.Duration) bool) {
	var order [MaxKinds]*kindSamples
	for i := range t.kinds {
		order[i] = &t.kinds[i]
	}
	known := order[:len(t.kinds)]
	slices.SortStableFunc(known, func(x, y *kindSamples) int { return y.last.Compare(x.last) })
	for _, k := range known {
		if took, ok := k.quantile(now); ok && !yield(k.kind, took) {
			return
		}
	}
}

// ShortShare returns the share of recent answers that came far too early for their
// kind, as those of failures mostly do; 0 if there are too few.
func (t *Times) ShortShare(now time.Time) float64 {
	short, all := 0, 0
	for i := range t.kinds {
		recent, n := t.kinds[i].recent(now)
		if n < minSamples {
			continue
		}
		limit := recent[int(quantile*float64(n))] / shortDivisor
		all += n
		for _, took := range recent[:n] { // in ascending order
			if took >= limit {
				break
			}
			short++
		}
	}
	if all == 0 {
		return 0
	}
	return float64(short) / float64(all)
}

// quantile returns the quantile of the samples that still count.
func (k *kindSamples) quantile(now time.Time) (time.Duration, bool) {
	recent, n := k.recent(now)
	if n < minSamples {
		return 0, false
	}
	return recent[int(quantile*float64(n))], true
}

// recent returns the n samples that still count, in ascending order.
func (k *kindSamples) recent(now time.Time) (recent [sampleCount]time.Duration, n int) {
	for i := range sampleCount { // newest first
		at := (k.next - 1 - i + sampleCount) % sampleCount
		age := now.Sub(k.ends[at])
		if k.ends[at].IsZero() || age > sampleLifetime && n >= minSamples || age > rareLifetime {
			break
		}
		recent[n] = k.times[at]
		n++
	}
	slices.Sort(recent[:n])
	return recent, n
}
