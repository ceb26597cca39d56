package request

import (
	"bytes"
	"context"
	"crypto/sha256"
	"errors"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/currantturn/currantturn"
	"github.com/currantturn/currantturn/internal/coordination/admission"
	"github.com/currantturn/currantturn/internal/coordination/claim"
	"github.com/currantturn/currantturn/internal/event"
	protocol "github.com/currantturn/currantturn/internal/protocol/request"
)

// exchange is one request and its answer.
type exchange struct {
	h        *Handler
	w        http.ResponseWriter
	r        *http.Request
	params   protocol.Params
	deadline time.Time
	body     []byte // of a request that needs a claim
	held     int64
}

// tell ends the request with an outcome other than the backend server's answer.
func (x *exchange) tell(o protocol.Outcome, reason string, after time.Duration) {
	key := ""
	if x.params.HasKey {
		key = x.params.Key.String()
	}
	x.h.counts.add(o)
	x.report(o, key, reason)
	protocol.Write(x.w, o, key, reason, after)
}

// report emits the event of an outcome.
func (x *exchange) report(o protocol.Outcome, key, reason string) {
	x.h.decide(func(_ time.Time, out *currantturn.Effects) {
		who, service := event.F("request", key), event.F("service", string(x.h.opts.Service))
		switch o {
		case protocol.NotRun, protocol.NotAccepted:
			out.Event(event.RequestShed, who, service)
		case protocol.PastDeadline:
			out.Event(event.RequestExpired, who, service, event.F("stage", reason))
		case protocol.Unknown:
			out.Event(event.OutcomeUnknown, who, service, event.F("reason", reason))
		}
	})
}

// buffer reads the body, which is part of the claim.
func (x *exchange) buffer() bool {
	limit := int64(x.h.opts.BodyBytes)
	x.held = max(x.r.ContentLength, 0)
	if x.r.ContentLength < 0 {
		x.held = limit
	}
	switch {
	case x.held > limit:
		x.tell(protocol.Malformed, "request body is too large", 0)
		return false
	case x.h.held.Add(x.held) > int64(x.h.opts.BufferBytes):
		x.refuse("too many request bodies are held")
		return false
	}
	p, err := io.ReadAll(io.LimitReader(x.r.Body, limit+1))
	if err != nil || int64(len(p)) > limit {
		x.tell(protocol.Malformed, "request body is cut or too large", 0)
		return false
	}
	x.body = p
	return true
}

func (x *exchange) release() {
	x.h.held.Add(-x.held)
}

// refuse gives up on a request of which this attempt has asked no owner. Only
// without a key is it certain that no other attempt has run it.
func (x *exchange) refuse(reason string) {
	if x.params.Claimed() {
		x.tell(protocol.NotAccepted, reason, retryAfter)
		return
	}
	x.tell(protocol.NotRun, reason, retryAfter)
}

// digest covers what makes two requests the same.
func (x *exchange) digest() protocol.Digest {
	s := sha256.New()
	for _, part := range []string{x.r.Method, x.r.Host, x.r.URL.RequestURI(), x.r.Header.Get("Content-Type")} {
		_, _ = io.WriteString(s, part+"\n")
	}
	_, _ = s.Write(x.body)
	return protocol.Digest(s.Sum(nil))
}

// runClaimed runs a request at most once: claim, slot, check, hand-over.
func (x *exchange) runClaimed() {
	decided := make(chan claim.Verdict, 1)
	var id uint64
	x.h.decide(func(now time.Time, out *currantturn.Effects) {
		id = x.h.opts.Claims.Begin(now, x.params.Key, x.digest(), x.deadline, false,
			func(v claim.Verdict) { decided <- v }, out)
	})
	select {
	case v := <-decided:
		if v.State != claim.Granted {
			x.tellVerdict(v)
			return
		}
	case <-x.r.Context().Done():
		x.cancel(id)
		return
	}
	t, outcome, after := x.enter()
	if t == nil {
		// This attempt holds the grant and closes it, so nothing can run any more.
		x.cancel(id)
		x.tell(outcome, "no free slot within the deadline", after)
		return
	}
	served := false
	defer func() { x.h.opts.Gate.Leave(x.h.opts.Clock(), t, served) }()
	ok := false
	x.h.decide(func(now time.Time, out *currantturn.Effects) { ok = x.h.opts.Claims.Start(now, id, out) })
	if !ok {
		x.tell(protocol.PastDeadline, "deadline passed before the request ran", 0)
		return
	}
	served = x.runGranted(id)
}

// runGranted hands the request over and reports how it ended.
func (x *exchange) runGranted(id uint64) bool {
	state, answer := claim.Unknown, (*protocol.Answer)(nil)
	defer func() {
		x.h.decide(func(now time.Time, out *currantturn.Effects) { x.h.opts.Claims.Done(now, id, state, answer, out) })
	}()
	ctx, stop := x.detached()
	defer stop()
	res, err := x.callBackend(ctx, &single{bytes.NewReader(x.body)}, int64(len(x.body)))
	if err != nil {
		if notSent(err) {
			state = claim.NotRun
			x.tell(protocol.NotRun, "backend server is unreachable", retryAfter)
			return false
		}
		x.tell(protocol.Unknown, "backend server did not answer", retryAfter)
		return false
	}
	defer func() { _ = res.Body.Close() }()
	answer = x.relay(res, true)
	state = claim.Answered
	return true
}

// cancel ends an attempt that has not been handed over.
func (x *exchange) cancel(id uint64) {
	x.h.decide(func(now time.Time, out *currantturn.Effects) { x.h.opts.Claims.Cancel(now, id, out) })
}

// tellVerdict tells what the owner knows of the key.
func (x *exchange) tellVerdict(v claim.Verdict) {
	switch v.State {
	case claim.Answered:
		x.replay(v.Answer)
	case claim.NotRun:
		x.tell(protocol.NotRun, "closed before it ran", retryAfter)
	case claim.Silent:
		x.refuse("the key's owner does not answer")
	case claim.TooOld:
		x.tell(protocol.TooOld, "key is past its retention", 0)
	case claim.Reused:
		x.tell(protocol.KeyReused, "key came earlier with another request", 0)
	case claim.Early:
		x.w.Header().Set("Date", x.h.opts.Clock().UTC().Format(http.TimeFormat))
		x.tell(protocol.Malformed, "key is issued ahead of time", 0)
	default:
		x.tell(protocol.Unknown, "repeat the request with the same key", retryAfter)
	}
}

// enter waits for a slot; it returns no ticket with the outcome to tell.
func (x *exchange) enter() (*admission.Ticket, protocol.Outcome, time.Duration) {
	decided := make(chan admission.Decision, 1)
	t, d, after := x.h.opts.Gate.Enter(x.h.opts.Clock(), x.deadline, func(d admission.Decision) { decided <- d })
	if d == admission.Queue {
		select {
		case d = <-decided:
		case <-x.r.Context().Done():
			x.h.opts.Gate.Leave(x.h.opts.Clock(), t, false)
			return nil, protocol.NotRun, retryAfter
		}
	}
	switch d {
	case admission.Admit:
		return t, "", 0
	case admission.Expire:
		return nil, protocol.PastDeadline, max(after, retryAfter)
	}
	return nil, protocol.NotRun, max(after, retryAfter)
}

// detached outlives the caller's connection, so that the answer of a request
// that runs at most once is recorded; only a cancellation by the caller ends it.
func (x *exchange) detached() (context.Context, func()) {
	ctx, cancel := context.WithCancel(context.WithoutCancel(x.r.Context()))
	stop := context.AfterFunc(x.r.Context(), func() {
		if cancelled(x.r) {
			cancel()
		}
	})
	return ctx, func() { stop(); cancel() }
}

// single is a body that the HTTP client cannot rewind and so never sends twice.
type single struct{ io.Reader }

// Close has nothing to end.
func (*single) Close() error { return nil }

// notSent says whether a call failed before any of it was sent.
func notSent(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}
