package pause

import (
	"context"
	"time"
)

// For waits for d and returns true, or returns false as soon as ctx ends.
func For(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return true
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}
