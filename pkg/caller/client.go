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

// Sentinel errors of a request; test for them with errors.Is.
var (
	// ErrNotRun reports that the request did not run and never will.
	ErrNotRun = errors.New("request was not run")
	// ErrOutcomeUnknown reports that the request may or may not have run.
	ErrOutcomeUnknown = errors.New("outcome of the request is unknown")
	// ErrAnswerNotKept reports that the request ran, but its response was not kept.
	ErrAnswerNotKept = errors.New("request ran, but its response was not kept")
	// ErrRefused reports that the request's headers or key are not valid.
	ErrRefused = errors.New("request is not valid")
)

// responseReserve is how long before the deadline a request must be done, so that the
// last response still arrives in time.
const responseReserve = 200 * time.Millisecond

// Doer sends one HTTP request, as http.Client and http3 clients do.
type Doer interface {
	Do(*http.Request) (*http.Response, error)
}

// Client sends requests and retries them within their deadline and a retry budget.
type Client struct {
	doer   Doer
	clock  func() time.Time
	budget *admission.Budget
}

// New returns a client that sends requests with d. The clock gives keys their time of
// issue and measures deadlines.
func New(d Doer, clock func() time.Time) *Client {
	var seed [16]byte
	_, _ = rand.Read(seed[:]) // never fails
	source := mrand.NewPCG(uint64(seed[0])|uint64(seed[1])<<8|uint64(seed[2])<<16, uint64(seed[3])|uint64(seed[4])<<8)
	return &Client{doer: d, clock: clock, budget: admission.NewBudget(mrand.New(source))}
}

// Request is a request that runs at most once, however often it is sent.
type Request struct {
	Method string
	URL    string
	Header http.Header
	Body   []byte
}

// requestState is the state of one request between its attempts.
type requestState struct {
	key        request.Key
	deadline   time.Time
	mayHaveRun bool // an attempt with the current key may have reached an owner
	notRun     bool // an attempt had the outcome not run, past deadline or not accepted
}

// Do sends the request until the backend server's response arrives, the deadline is
// near or the retry budget is spent. A context without a deadline gets
// request.DefaultTimeout. The response's body is complete if reading it ends with
// io.EOF. An error wraps one of the sentinel errors.
func (c *Client) Do(ctx context.Context, r *Request) (*http.Response, error) {
	deadline, ok := ctx.Deadline()
	if !ok {
		deadline = c.clock().Add(request.DefaultTimeout)
	}
	st := &requestState{key: c.newKey(), deadline: deadline}
	for n := 1; ; n++ {
		res, err := c.send(ctx, r, st)
		if err == nil && res.Header.Get(request.HeaderOutcome) == string(request.Answered) {
			c.budget.RecordSuccess()
			return res, nil
		}
		if retry, final := c.handleResponse(st, res, err); !retry {
			return nil, final
		}
		advised := retryAfter(res)
		drainAndClose(res)
		if !c.waitForRetry(ctx, st, n, advised) {
			return nil, st.finalError()
		}
	}
}

func (c *Client) newKey() request.Key {
	var random [10]byte
	_, _ = rand.Read(random[:]) // never fails
	return request.NewKey(c.clock(), random)
}

// send makes one attempt with the current key.
func (c *Client) send(ctx context.Context, r *Request, st *requestState) (*http.Response, error) {
	out, err := http.NewRequestWithContext(ctx, r.Method, r.URL, bytes.NewReader(r.Body))
	if err != nil {
		return nil, err
	}
	for k, v := range r.Header {
		out.Header[k] = v
	}
	out.Header.Set(request.HeaderKey, st.key.String())
	out.Header.Set(request.HeaderTimeout, request.FormatTimeout(st.deadline.Sub(c.clock())-responseReserve))
	return c.doer.Do(out)
}

// handleResponse reports whether to retry after an attempt that the backend server did
// not answer, and updates the key for the retry. Without a retry, it returns the error
// of the request.
func (c *Client) handleResponse(st *requestState, res *http.Response, err error) (retry bool, final error) {
	if err != nil {
		st.mayHaveRun = true
		return true, nil
	}
	switch o := request.Outcome(res.Header.Get(request.HeaderOutcome)); o {
	case request.NotRun, request.PastDeadline:
		// No attempt with this key has run or will run, so a new key is safe.
		st.key, st.mayHaveRun, st.notRun = c.newKey(), false, true
		return true, nil
	case request.NotAccepted:
		// The outcome covers this attempt only, not earlier ones with the key.
		if !st.mayHaveRun {
			st.key, st.notRun = c.newKey(), true
		}
		return true, nil
	case request.Unknown:
		st.mayHaveRun = true
		return true, nil
	case request.AnswerNotKept:
		drainAndClose(res)
		return false, ErrAnswerNotKept
	case request.TooOld:
		drainAndClose(res)
		return false, eris.Wrap(ErrOutcomeUnknown, "key is older than its retention time")
	default:
		drainAndClose(res)
		return false, eris.Wrapf(ErrRefused, "status %d, outcome %q", res.StatusCode, o)
	}
}

// finalError returns the error of a request that is not retried any more.
func (st *requestState) finalError() error {
	if st.mayHaveRun || !st.notRun {
		return eris.Wrapf(ErrOutcomeUnknown, "key %s", st.key)
	}
	return ErrNotRun
}

// waitForRetry waits before the next attempt, after n attempts. It returns false if the
// retry budget or the deadline does not permit one, or if ctx ends. The delay is at
// least advised, the value of the last response's Retry-After header.
func (c *Client) waitForRetry(ctx context.Context, st *requestState, n int, advised time.Duration) bool {
	d, ok := c.budget.TakeRetry(c.clock(), st.deadline.Add(-responseReserve), n, advised)
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

// retryAfter returns the delay of the response's Retry-After header, or 0.
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

// drainAndClose reads the rest of a small body, so that the connection can be reused.
func drainAndClose(res *http.Response) {
	if res != nil {
		_, _ = io.Copy(io.Discard, io.LimitReader(res.Body, 1<<16))
		_ = res.Body.Close()
	}
}
