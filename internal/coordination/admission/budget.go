package admission

import (
	"math/rand/v2"
	"sync"
	"time"
)

// Budget limits retries to a fraction of recent successes.
type Budget struct {
	mu     sync.Mutex
	tokens float64
	rng    *rand.Rand
}

// NewBudget returns a budget with its burst saved up.
func NewBudget(r *rand.Rand) *Budget {
	return &Budget{tokens: budgetBurst, rng: r}
}

// Success pays for a fraction of a retry.
func (b *Budget) Success() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.tokens+budgetRatio, budgetBurst)
}

// Retry takes one retry out of the budget and returns its delay; it returns
// false when the budget is spent or the deadline would pass. Advised is the
// shortest delay that the refusal named.
func (b *Budget) Retry(now, deadline time.Time, attempt int, advised time.Duration) (time.Duration, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	limit := min(backoffBase<<min(attempt, 10), backoffMax)
	delay := advised + limit/2 + time.Duration(b.rng.Int64N(int64(limit)))
	if b.tokens < 1 || !now.Add(delay).Before(deadline) {
		return 0, false
	}
	b.tokens--
	return delay, true
}
