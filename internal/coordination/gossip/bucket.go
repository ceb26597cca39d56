package gossip

import "time"

// bucket paces the bytes of transfers.
type bucket struct {
	bytes  float64
	filled time.Time
}

func (b *bucket) fill(now time.Time) {
	if b.filled.IsZero() {
		b.bytes = sendBurstBytes
		b.filled = now
	}
	if d := now.Sub(b.filled); d > 0 {
		b.bytes = min(sendBurstBytes, b.bytes+d.Seconds()*sendBytesPerSecond)
		b.filled = now
	}
}

// take spends n bytes; it returns false when they are not there.
func (b *bucket) take(n int) bool {
	if b.bytes < float64(n) {
		return false
	}
	b.bytes -= float64(n)
	return true
}
