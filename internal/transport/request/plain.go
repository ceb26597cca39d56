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

// runPlain runs a request without a claim; an idempotent one without a body is
// tried again under the budget.
func (x *exchange) runPlain() {
	t, outcome, after := x.enter()
	if t == nil {
		x.tell(outcome, "no free slot within the deadline", after)
		return
	}
	served := false
	defer func() { x.h.opts.Gate.Leave(x.h.opts.Clock(), t, served) }()
	res, err := x.attempts(x.r.Context())
	if err != nil {
		x.fail(err)
		return
	}
	defer func() { _ = res.Body.Close() }()
	x.relay(res, false)
	served = true
	if res.StatusCode < http.StatusInternalServerError {
		x.h.budget.Success()
	}
}

// runWatch streams an answer without end, which holds no slot.
func (x *exchange) runWatch() {
	t, d := x.h.opts.Gate.Watch()
	if d != admission.Admit {
		x.tell(protocol.NotRun, "too many watches", retryAfter)
		return
	}
	defer func() { x.h.opts.Gate.Leave(x.h.opts.Clock(), t, false) }()
	res, err := x.attempts(x.r.Context())
	if err != nil {
		x.fail(err)
		return
	}
	defer func() { _ = res.Body.Close() }()
	x.relay(res, false)
}

func (x *exchange) fail(err error) {
	if notSent(err) {
		x.tell(protocol.NotRun, "backend server is unreachable", retryAfter)
		return
	}
	x.tell(protocol.Unknown, "backend server did not answer", retryAfter)
}

// attempts calls the backend server, again while the budget and the deadline
// allow it.
func (x *exchange) attempts(ctx context.Context) (*http.Response, error) {
	again := x.params.Idempotent && x.r.ContentLength == 0
	for n := 0; ; n++ {
		res, err := x.callBackend(ctx, x.plainBody(), x.r.ContentLength)
		failed := err != nil || res.StatusCode == http.StatusServiceUnavailable
		if !failed || !again || n == maxRetries || ctx.Err() != nil {
			return res, err
		}
		delay, ok := x.h.budget.Retry(x.h.opts.Clock(), x.deadline, n, 0)
		if !ok {
			x.h.counts.suppressed.Add(1)
			x.h.decide(func(_ time.Time, out *currantturn.Effects) {
				out.Event(event.RetryBudgetExhausted, event.F("service", string(x.h.opts.Service)))
			})
			return res, err
		}
		if res != nil {
			_ = res.Body.Close()
		}
		x.h.counts.retries.Add(1)
		pause.For(ctx, delay)
	}
}
