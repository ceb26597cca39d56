package admission

import (
	"math/rand/v2"
	"sync"
	"time"
)

// Budget limits retries to a fraction of the successful requests.
type Budget struct {
	mu           sync.Mutex
	savedRetries float64
	rng          *rand.Rand
}

// NewBudget returns a budget that starts with the most retries it can accumulate.
func NewBudget(r *rand.Rand) *Budget {
	return &Budget{savedRetries: maxSavedRetries, rng: r}
}

// RecordSuccess adds a fraction of a retry to the budget.
func (b *Budget) RecordSuccess() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.savedRetries = min(b.savedRetries+retriesPerSuccess, maxSavedRetries)
}

// TakeRetry takes one retry from the budget and returns the delay before it. It
// returns false if the budget is spent or the deadline would pass before the
// retry. The random backoff is added to advised, the delay given in the refusal.
func (b *Budget) TakeRetry(now, deadline time.Time, attempt int, advised time.Duration) (time.Duration, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	limit := min(backoffBase<<min(attempt, 10), backoffMax)
	delay := advised + limit/2 + time.Duration(b.rng.Int64N(int64(limit)))
	if b.savedRetries < 1 || !now.Add(delay).Before(deadline) {
		return 0, false
	}
	b.savedRetries--
	return delay, true
}
