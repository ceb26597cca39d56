package request

import (
	"bytes"
	"context"
	"crypto/sha256"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/currantturn/currantturn"
	"github.com/currantturn/currantturn/internal/coordination/admission"
	"github.com/currantturn/currantturn/internal/coordination/claim"
	"github.com/currantturn/currantturn/internal/event"
	protocol "github.com/currantturn/currantturn/internal/protocol/request"
)

// exchange is one request of a caller and its answer.
type exchange struct {
	h             *Handler
	w             http.ResponseWriter
	r             *http.Request
	params        protocol.Params
	deadline      time.Time
	body          []byte // buffered if the request needs a claim
	bufferedBytes int64  // reserved for the body in Handler.bufferedBytes
}

// writeOutcome answers the caller with an outcome other than the backend
// server's answer, counts the outcome and emits its event.
func (x *exchange) writeOutcome(outcome protocol.Outcome, reason string, retryAfter time.Duration) {
	key := ""
	if x.params.HasKey {
		key = x.params.Key.String()
	}
	x.h.counters.countOutcome(outcome)
	x.emitOutcome(outcome, key, reason)
	protocol.WriteOutcome(x.w, outcome, key, reason, retryAfter)
}

// emitOutcome emits the event for an outcome, if there is one.
func (x *exchange) emitOutcome(outcome protocol.Outcome, key, reason string) {
	x.h.withEffects(func(_ time.Time, out *currantturn.Effects) {
		requestField, serviceField := event.F("request", key), event.F("service", string(x.h.opts.Service))
		switch outcome {
		case protocol.NotRun, protocol.NotAccepted:
			out.Event(event.RequestShed, requestField, serviceField)
		case protocol.PastDeadline:
			out.Event(event.RequestExpired, requestField, serviceField, event.F("stage", reason))
		case protocol.Unknown:
			out.Event(event.OutcomeUnknown, requestField, serviceField, event.F("reason", reason))
		}
	})
}

// bufferBody reads the whole body, whose digest is part of the claim. It returns
// false if the request was answered because its body cannot be buffered.
func (x *exchange) bufferBody() bool {
	limit := int64(x.h.opts.MaxBodyBytes)
	size := max(x.r.ContentLength, 0)
	if x.r.ContentLength < 0 {
		size = limit
	}
	if size > limit {
		x.writeOutcome(protocol.Malformed, "request body is too large", 0)
		return false
	}
	x.bufferedBytes = size
	if x.h.bufferedBytes.Add(size) > int64(x.h.opts.MaxBufferedBytes) {
		x.refuseBeforeClaim("too many request bodies are held")
		return false
	}
	// A caller that is gone without a trace must not hold the request open.
	if err := http.NewResponseController(x.w).SetReadDeadline(x.deadline); err != nil && !errors.Is(err, http.ErrNotSupported) {
		x.refuseBeforeClaim("the request has ended")
		return false
	}
	body, err := io.ReadAll(io.LimitReader(x.r.Body, limit+1))
	if errors.Is(err, os.ErrDeadlineExceeded) {
		x.refuseBeforeClaim("the request body was not received before the deadline")
		return false
	}
	if err != nil || int64(len(body)) > limit {
		x.writeOutcome(protocol.Malformed, "request body is cut or too large", 0)
		return false
	}
	x.body = body
	return true
}

// releaseBuffer subtracts the request's reservation from Handler.bufferedBytes.
func (x *exchange) releaseBuffer() {
	x.h.bufferedBytes.Add(-x.bufferedBytes)
}

// refuseBeforeClaim refuses a request for which this attempt has sent nothing to
// the key's owner. Another attempt with the same key may have run it, so only a
// request that needs no claim is reported as not run.
func (x *exchange) refuseBeforeClaim(reason string) {
	if x.params.NeedsClaim() {
		x.writeOutcome(protocol.NotAccepted, reason, defaultRetryAfter)
		return
	}
	x.writeOutcome(protocol.NotRun, reason, defaultRetryAfter)
}

// requestDigest hashes what repeats of a request must have in common; the same
// key with another digest is a reused key.
func (x *exchange) requestDigest() protocol.Digest {
	hasher := sha256.New()
	for _, part := range []string{x.r.Method, x.r.Host, x.r.URL.RequestURI(), x.r.Header.Get("Content-Type")} {
		_, _ = io.WriteString(hasher, part+"\n")
	}
	_, _ = hasher.Write(x.body)
	return protocol.Digest(hasher.Sum(nil))
}

// runClaimed runs a request at most once. It claims the key, waits for a slot,
// checks that the request may still run, and sends it to the backend server.
func (x *exchange) runClaimed() {
	verdicts := make(chan claim.Verdict, 1)
	var id uint64
	x.h.withEffects(func(now time.Time, out *currantturn.Effects) {
		id = x.h.opts.Claims.Begin(now, x.params.Key, x.requestDigest(), x.deadline, false,
			func(v claim.Verdict) { verdicts <- v }, out)
	})
	select {
	case v := <-verdicts:
		if v.State != claim.Granted {
			x.writeVerdict(v)
			return
		}
	case <-x.r.Context().Done():
		x.cancelAttempt(id)
		return
	}
	ticket, outcome, retryAfter := x.waitForSlot()
	if ticket == nil {
		// This attempt holds the grant and closes the key, so that no other attempt can run.
		x.cancelAttempt(id)
		x.writeOutcome(outcome, "no free slot within the deadline", retryAfter)
		return
	}
	served := false
	defer func() { x.h.opts.Gate.Release(x.h.opts.Clock(), ticket, served) }()
	mayRun := false
	x.h.withEffects(func(now time.Time, out *currantturn.Effects) { mayRun = x.h.opts.Claims.Start(now, id, out) })
	if !mayRun {
		x.writeOutcome(protocol.PastDeadline, "deadline passed before the request ran", 0)
		return
	}
	served = x.runGranted(id)
}

// runGranted sends the request to the backend server, relays the answer, and
// reports to the key's owner how the request ended. It returns whether the
// backend server answered.
func (x *exchange) runGranted(id uint64) bool {
	state, answer := claim.Unknown, (*protocol.Answer)(nil)
	defer func() {
		x.h.withEffects(func(now time.Time, out *currantturn.Effects) { x.h.opts.Claims.Done(now, id, state, answer, out) })
	}()
	ctx, cancel := x.detachedContext()
	defer cancel()
	res, err := x.callBackend(ctx, &oneShotBody{bytes.NewReader(x.body)}, int64(len(x.body)))
	if err != nil {
		if notSent(err) {
			state = claim.NotRun
			x.writeOutcome(protocol.NotRun, "backend server is unreachable", defaultRetryAfter)
			return false
		}
		x.writeOutcome(protocol.Unknown, "backend server did not answer", defaultRetryAfter)
		return false
	}
	defer func() { _ = res.Body.Close() }()
	answer = x.relay(res, true)
	state = claim.Answered
	return true
}

// cancelAttempt ends an attempt that was not sent to the backend server.
func (x *exchange) cancelAttempt(id uint64) {
	x.h.withEffects(func(now time.Time, out *currantturn.Effects) { x.h.opts.Claims.Cancel(now, id, out) })
}

// writeVerdict answers the caller with the owner's verdict on the key, which
// does not allow the request to run.
func (x *exchange) writeVerdict(v claim.Verdict) {
	switch v.State {
	case claim.Answered:
		x.replay(v.Answer)
	case claim.NotRun:
		x.writeOutcome(protocol.NotRun, "closed before it ran", defaultRetryAfter)
	case claim.OwnerSilent:
		x.refuseBeforeClaim("the key's owner does not answer")
	case claim.TooOld:
		x.writeOutcome(protocol.TooOld, "key is past its retention", 0)
	case claim.KeyReused:
		x.writeOutcome(protocol.KeyReused, "key came earlier with another request", 0)
	case claim.IssuedAhead:
		x.w.Header().Set("Date", x.h.opts.Clock().UTC().Format(http.TimeFormat))
		x.writeOutcome(protocol.Malformed, "key is issued ahead of time", 0)
	default:
		x.writeOutcome(protocol.Unknown, "repeat the request with the same key", defaultRetryAfter)
	}
}

// waitForSlot waits until the request has a slot. Without one it returns no
// ticket, but the outcome and the Retry-After for the caller.
func (x *exchange) waitForSlot() (*admission.Ticket, protocol.Outcome, time.Duration) {
	decisions := make(chan admission.Decision, 1)
	ticket, decision, retryAfter := x.h.opts.Gate.Enter(x.h.opts.Clock(), x.deadline,
		func(d admission.Decision) { decisions <- d })
	if decision == admission.Queue {
		select {
		case decision = <-decisions:
		case <-x.r.Context().Done():
			x.h.opts.Gate.Release(x.h.opts.Clock(), ticket, false)
			return nil, protocol.NotRun, defaultRetryAfter
		}
	}
	switch decision {
	case admission.Admit:
		return ticket, "", 0
	case admission.Expire:
		return nil, protocol.PastDeadline, max(retryAfter, defaultRetryAfter)
	}
	return nil, protocol.NotRun, max(retryAfter, defaultRetryAfter)
}

// detachedContext returns a context that outlives the caller's connection, so
// that the answer to a request that runs at most once is still recorded. Only a
// cancellation by the caller or the returned function cancels it.
func (x *exchange) detachedContext() (context.Context, func()) {
	ctx, cancel := context.WithCancel(context.WithoutCancel(x.r.Context()))
	stop := context.AfterFunc(x.r.Context(), func() {
		if cancelledByCaller(x.r) {
			cancel()
		}
	})
	return ctx, func() { stop(); cancel() }
}

// oneShotBody is a body that the HTTP client cannot rewind and so never sends
// twice.
type oneShotBody struct{ io.Reader }

// Close does nothing: the reader is the caller's body or a buffer.
func (*oneShotBody) Close() error { return nil }

// notSent reports whether a call failed to connect, so that none of the request
// was sent.
func notSent(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}
