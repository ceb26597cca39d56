package gossip

import "time"

// tokenBucket limits the byte rate of replies to peers.
type tokenBucket struct {
	available  float64
	refilledAt time.Time
}

// refill adds the bytes earned since the last refill; the bucket starts full.
func (b *tokenBucket) refill(now time.Time) {
	if b.refilledAt.IsZero() {
		b.available = sendBurstBytes
		b.refilledAt = now
	}
	if elapsed := now.Sub(b.refilledAt); elapsed > 0 {
		b.available = min(sendBurstBytes, b.available+elapsed.Seconds()*sendBytesPerSecond)
		b.refilledAt = now
	}
}

// take removes n bytes, or returns false if fewer are available.
func (b *tokenBucket) take(n int) bool {
	if b.available < float64(n) {
		return false
	}
	b.available -= float64(n)
	return true
}
