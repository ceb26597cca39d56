package metric

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Histogram collects durations in bounded memory; it is safe for concurrent use.
type Histogram struct {
	mu sync.Mutex
	h  *hdrhistogram.Histogram // of microseconds
}

// Summary is what a histogram says about its durations.
type Summary struct {
	Count uint64        `json:"count"`
	Mean  time.Duration `json:"mean_ns"`
	P50   time.Duration `json:"p50_ns"`
	P99   time.Duration `json:"p99_ns"`
	Max   time.Duration `json:"max_ns"`
}

// NewHistogram returns an empty histogram.
func NewHistogram() *Histogram {
	return &Histogram{h: hdrhistogram.New(lowest.Microseconds(), highest.Microseconds(), significantFigures)}
}

// Record adds a duration; one outside the bounds counts as the nearest bound.
func (h *Histogram) Record(d time.Duration) {
	d = min(max(d, lowest), highest)
	h.mu.Lock()
	defer h.mu.Unlock()
	_ = h.h.RecordValue(d.Microseconds())
}

// Summary returns the present summary.
func (h *Histogram) Summary() Summary {
	h.mu.Lock()
	defer h.mu.Unlock()
	return Summary{
		Count: uint64(h.h.TotalCount()),
		Mean:  time.Duration(h.h.Mean() * float64(time.Microsecond)),
		P50:   time.Duration(h.h.ValueAtQuantile(50)) * time.Microsecond,
		P99:   time.Duration(h.h.ValueAtQuantile(99)) * time.Microsecond,
		Max:   time.Duration(h.h.Max()) * time.Microsecond,
	}
}
