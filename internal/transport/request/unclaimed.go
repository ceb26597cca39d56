package request

import (
	"context"
	"net/http"
	"time"

	"github.com/currantturn/currantturn"
	"github.com/currantturn/currantturn/internal/coordination/admission"
	"github.com/currantturn/currantturn/internal/event"
	"github.com/currantturn/currantturn/internal/pause"
	protocol "github.com/currantturn/currantturn/internal/protocol/request"
)

// runUnclaimed runs a request without a claim and relays the answer.
func (x *exchange) runUnclaimed() {
	ticket, outcome, retryAfter := x.waitForSlot()
	if ticket == nil {
		x.writeOutcome(outcome, "no free slot within the deadline", retryAfter)
		return
	}
	served := false
	defer func() { x.h.opts.Gate.Release(x.h.opts.Clock(), ticket, served) }()
	res, err := x.callWithRetries(x.r.Context())
	if err != nil {
		x.writeCallError(err)
		return
	}
	defer func() { _ = res.Body.Close() }()
	x.relay(res, false)
	served = true
	if res.StatusCode < http.StatusInternalServerError {
		x.h.retryBudget.RecordSuccess()
	}
}

// runWatch streams an answer without end. It takes no slot.
func (x *exchange) runWatch() {
	ticket, decision := x.h.opts.Gate.EnterWatch()
	if decision != admission.Admit {
		x.writeOutcome(protocol.NotRun, "too many watches", defaultRetryAfter)
		return
	}
	defer func() { x.h.opts.Gate.Release(x.h.opts.Clock(), ticket, false) }()
	res, err := x.callWithRetries(x.r.Context())
	if err != nil {
		x.writeCallError(err)
		return
	}
	defer func() { _ = res.Body.Close() }()
	x.relay(res, false)
}

// writeCallError answers the caller after a failed call of the backend server.
func (x *exchange) writeCallError(err error) {
	if notSent(err) {
		x.writeOutcome(protocol.NotRun, "backend server is unreachable", defaultRetryAfter)
		return
	}
	x.writeOutcome(protocol.Unknown, "backend server did not answer", defaultRetryAfter)
}

// callWithRetries calls the backend server. An idempotent request without a body
// is retried while maxRetries, the retry budget and the deadline allow it.
func (x *exchange) callWithRetries(ctx context.Context) (*http.Response, error) {
	retryable := x.params.Idempotent && x.r.ContentLength == 0
	for n := 0; ; n++ {
		res, err := x.callBackend(ctx, x.bodyToSend(), x.r.ContentLength)
		failed := err != nil || res.StatusCode == http.StatusServiceUnavailable
		if !failed || !retryable || n == maxRetries || ctx.Err() != nil {
			return res, err
		}
		delay, ok := x.h.retryBudget.TakeRetry(x.h.opts.Clock(), x.deadline, n, 0)
		if !ok {
			x.h.counters.suppressed.Add(1)
			x.h.withEffects(func(_ time.Time, out *currantturn.Effects) {
				out.Event(event.RetryBudgetExhausted, event.F("service", string(x.h.opts.Service)))
			})
			return res, err
		}
		if res != nil {
			_ = res.Body.Close()
		}
		x.h.counters.retries.Add(1)
		pause.For(ctx, delay)
	}
}
