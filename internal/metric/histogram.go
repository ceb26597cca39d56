package metric

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Histogram collects durations in bounded memory; it is safe for concurrent use.
type Histogram struct {
	mu     sync.Mutex
	micros *hdrhistogram.Histogram // of durations in microseconds
}

// Summary describes the durations recorded in a histogram.
type Summary struct {
	Count uint64        `json:"count"`
	Mean  time.Duration `json:"mean_ns"`
	P50   time.Duration `json:"p50_ns"`
	P99   time.Duration `json:"p99_ns"`
	Max   time.Duration `json:"max_ns"`
}

// NewHistogram returns an empty histogram.
func NewHistogram() *Histogram {
	return &Histogram{micros: hdrhistogram.New(minDuration.Microseconds(), maxDuration.Microseconds(), significantFigures)}
}

// Record adds a duration; one outside the histogram's bounds is recorded as the
// nearest bound.
func (h *Histogram) Record(d time.Duration) {
	d = min(max(d, minDuration), maxDuration)
	h.mu.Lock()
	defer h.mu.Unlock()
	_ = h.micros.RecordValue(d.Microseconds())
}

// Summary returns the summary of the durations recorded so far.
func (h *Histogram) Summary() Summary {
	h.mu.Lock()
	defer h.mu.Unlock()
	return Summary{
		Count: uint64(h.micros.TotalCount()),
		Mean:  time.Duration(h.micros.Mean() * float64(time.Microsecond)),
		P50:   time.Duration(h.micros.ValueAtQuantile(50)) * time.Microsecond,
		P99:   time.Duration(h.micros.ValueAtQuantile(99)) * time.Microsecond,
		Max:   time.Duration(h.micros.Max()) * time.Microsecond,
	}
}
