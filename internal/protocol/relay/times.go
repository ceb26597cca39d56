package relay

import (
	"iter"
	"math"
	"time"
)

// MaxKinds is the largest number of kinds of requests in KindTimes.
const MaxKinds = 2

const (
	kindBits  = 8
	entryBits = 16
	// shortestTime and timeStep set the range of times: up to 25 s, in steps of 5%.
	shortestTime = 100 * time.Microsecond
	timeStep     = 1.05
)

// KindTimes holds how long requests of some kinds take, in 16 bits each: the kind, and
// the logarithm of the time. Kind 0 marks an unused entry.
type KindTimes uint32

// Add returns the times with one more kind, or unchanged if there is no room.
func (k KindTimes) Add(kind uint8, took time.Duration) KindTimes {
	steps := math.Log(float64(took)/float64(shortestTime)) / math.Log(timeStep)
	entry := KindTimes(kind)<<kindBits | KindTimes(math.Round(min(max(steps, 0), maxUint8)))
	for shift := 0; shift < MaxKinds*entryBits; shift += entryBits {
		if k>>(shift+kindBits)&maxUint8 == 0 {
			return k | entry<<shift
		}
	}
	return k
}

// All returns the kinds and their times.
func (k KindTimes) All() iter.Seq2[uint8, time.Duration] {
	return func(yield func(uint8, time.Duration) bool) {
		for rest := k; rest != 0; rest >>= entryBits {
			kind := uint8(rest >> kindBits & maxUint8)
			took := float64(shortestTime) * math.Pow(timeStep, float64(rest&maxUint8))
			if kind != 0 && !yield(kind, time.Duration(took)) {
				return
			}
		}
	}
}
