package placement

import (
	"math"
	"slices"
	"time"

	"github.com/currantturn/currantturn/internal/protocol/relay"
)

// UsualTimes are the usual times of the kinds of requests at the backend servers of
// one service.
type UsualTimes map[uint8]time.Duration

// UsualTimesOf returns the lower median of the times of each kind, so that a slow
// minority does not count as usual.
func UsualTimesOf(all []relay.KindTimes) UsualTimes {
	byKind := make(map[uint8][]time.Duration)
	for _, times := range all {
		for kind, took := range times.All() {
			byKind[kind] = append(byKind[kind], took)
		}
	}
	usual := make(UsualTimes, len(byKind))
	for kind, times := range byKind {
		slices.Sort(times)
		usual[kind] = times[(len(times)-1)/2]
	}
	return usual
}

// Slowness returns how long a backend server takes compared to the usual, as the mean
// over the kinds of requests; 0 if no kind is known of both. Work of one kind is
// compared with that kind alone, so that long work does not look like a slow backend
// server.
func (u UsualTimes) Slowness(times relay.KindTimes) float64 {
	sum, n := 0.0, 0
	for kind, took := range times.All() {
		if usual := u[kind]; usual > 0 && took > 0 {
			sum += math.Log(float64(took) / float64(usual))
			n++
		}
	}
	if n == 0 {
		return 0
	}
	return math.Exp(sum / float64(n))
}
