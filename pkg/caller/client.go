package caller

import (
	"bytes"
	"context"
	"crypto/rand"
	"errors"
	"io"
	mrand "math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"github.com/currantturn/currantturn/internal/coordination/admission"
	"github.com/currantturn/currantturn/internal/protocol/request"
	"github.com/rotisserie/eris"
)

// Sentinel errors of a request; callers test for them with errors.Is.
var (
	// ErrNotRun says that the request did not run and never will.
	ErrNotRun = errors.New("request was not run")
	// ErrOutcomeUnknown says that the request may or may not have run.
	ErrOutcomeUnknown = errors.New("outcome of the request is unknown")
	// ErrAnswerNotKept says that the request ran, but its answer is lost.
	ErrAnswerNotKept = errors.New("request ran, its answer was not kept")
	// ErrRefused says that the request's headers or key are not valid.
	ErrRefused = errors.New("request is not valid")
)

// responseReserve is the part of the deadline that is kept for the last answer.
const responseReserve = 200 * time.Millisecond

// Doer sends one HTTP request, as http.Client and http3 clients do.
type Doer interface {
	Do(*http.Request) (*http.Response, error)
}

// Client repeats requests within their deadline and a budget.
type Client struct {
	doer   Doer
	clock  func() time.Time
	budget *admission.Budget
}

// New returns a client; the clock gives keys their time of issue.
func New(d Doer, clock func() time.Time) *Client {
	var seed [16]byte
	_, _ = rand.Read(seed[:]) // never fails
	source := mrand.NewPCG(uint64(seed[0])|uint64(seed[1])<<8|uint64(seed[2])<<16, uint64(seed[3])|uint64(seed[4])<<8)
	return &Client{doer: d, clock: clock, budget: admission.NewBudget(mrand.New(source))}
}

// Request is one request that runs at most once.
type Request struct {
	Method string
	URL    string
	Header http.Header
	Body   []byte
}

// requestState is the state of one request between its tries.
type requestState struct {
	key        request.Key
	deadline   time.Time
	mayHaveRun bool // a try under this key may have reached an owner
	notRun     bool // not run so far, at least once
}

// Do sends the request until it is answered or the context's deadline nears.
// The answer's body is whole when it ends in io.EOF. An error wraps one of the
// sentinel errors.
func (c *Client) Do(ctx context.Context, r *Request) (*http.Response, error) {
	deadline, ok := ctx.Deadline()
	if !ok {
		deadline = c.clock().Add(request.DefaultTimeout)
	}
	a := &requestState{key: c.newKey(), deadline: deadline}
	for n := 1; ; n++ {
		res, err := c.send(ctx, r, a)
		if err == nil && res.Header.Get(request.HeaderOutcome) == string(request.Answered) {
			c.budget.Success()
			return res, nil
		}
		if again, final := c.handleResponse(a, res, err); !again {
			return nil, final
		}
		after := retryAfter(res)
		drainAndClose(res)
		if !c.waitForRetry(ctx, a, n, after) {
			return nil, a.finalError()
		}
	}
}

func (c *Client) newKey() request.Key {
	var random [10]byte
	_, _ = rand.Read(random[:]) // never fails
	return request.NewKey(c.clock(), random)
}

func (c *Client) send(ctx context.Context, r *Request, a *requestState) (*http.Response, error) {
	out, err := http.NewRequestWithContext(ctx, r.Method, r.URL, bytes.NewReader(r.Body))
	if err != nil {
		return nil, err
	}
	for k, v := range r.Header {
		out.Header[k] = v
	}
	out.Header.Set(request.HeaderKey, a.key.String())
	out.Header.Set(request.HeaderTimeout, request.FormatTimeout(a.deadline.Sub(c.clock())-responseReserve))
	return c.doer.Do(out)
}

// handleResponse says whether to try again, and under which key, or gives the error.
func (c *Client) handleResponse(a *requestState, res *http.Response, err error) (again bool, final error) {
	if err != nil {
		a.mayHaveRun = true
		return true, nil
	}
	switch o := request.Outcome(res.Header.Get(request.HeaderOutcome)); o {
	case request.NotRun, request.PastDeadline:
		// The key is closed for good, whatever its earlier tries met.
		a.key, a.mayHaveRun, a.notRun = c.newKey(), false, true
		return true, nil
	case request.NotAccepted:
		if !a.mayHaveRun {
			a.key, a.notRun = c.newKey(), true
		}
		return true, nil
	case request.Unknown:
		a.mayHaveRun = true
		return true, nil
	case request.AnswerNotKept:
		drainAndClose(res)
		return false, ErrAnswerNotKept
	case request.TooOld:
		drainAndClose(res)
		return false, eris.Wrap(ErrOutcomeUnknown, "key is past its retention")
	default:
		drainAndClose(res)
		return false, eris.Wrapf(ErrRefused, "status %d, outcome %q", res.StatusCode, o)
	}
}

// finalError is the error of a request that is given up between two tries.
func (a *requestState) finalError() error {
	if a.mayHaveRun || !a.notRun {
		return eris.Wrapf(ErrOutcomeUnknown, "key %s", a.key)
	}
	return ErrNotRun
}

// waitForRetry waits before the next try, if the budget and the deadline allow one.
func (c *Client) waitForRetry(ctx context.Context, a *requestState, n int, after time.Duration) bool {
	d, ok := c.budget.Retry(c.clock(), a.deadline.Add(-responseReserve), n, after)
	if !ok {
		return false
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

func retryAfter(res *http.Response) time.Duration {
	if res == nil {
		return 0
	}
	s, err := strconv.Atoi(res.Header.Get(request.HeaderRetryAfter))
	if err != nil || s < 0 {
		return 0
	}
	return time.Duration(s) * time.Second
}

func drainAndClose(res *http.Response) {
	if res != nil {
		_, _ = io.Copy(io.Discard, io.LimitReader(res.Body, 1<<16))
		_ = res.Body.Close()
	}
}
