package platform

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/currantturn/currantturn"
	"github.com/rotisserie/eris"
	"golang.org/x/time/rate"
)

// Options are the settings of a Client; a zero value selects the default.
type Options struct {
	URLs           []*url.URL // used in turn: a failed read switches to the next
	HTTP           *http.Client
	Timeout        time.Duration // of a read, in addition to the time that the service may wait
	ReadsPerSecond float64
}

// Counters are the totals of a Client since its start.
type Counters struct {
	Reads        uint64 `json:"reads"`         // reads of the platform
	ReadsFailed  uint64 `json:"reads_failed"`  // reads that failed
	ReadsDelayed uint64 `json:"reads_delayed"` // reads that waited for the read budget
	ReadBytes    uint64 `json:"read_bytes"`    // bytes read
}

// Client reads the platform's configuration service; it implements currantturn.Platform.
type Client struct {
	opts       Options
	limiter    *rate.Limiter
	currentURL atomic.Uint32 // index into opts.URLs, modulo their number

	reads, readsFailed, readsDelayed, readBytes atomic.Uint64
}

var _ currantturn.Platform = (*Client)(nil)

// New returns a client of the configuration service.
func New(opts Options) *Client {
	if opts.HTTP == nil {
		opts.HTTP = &http.Client{}
	}
	if opts.Timeout <= 0 {
		opts.Timeout = defaultTimeout
	}
	if opts.ReadsPerSecond <= 0 {
		opts.ReadsPerSecond = defaultReadsPerSecond
	}
	return &Client{opts: opts, limiter: rate.NewLimiter(rate.Limit(opts.ReadsPerSecond), maxReadBurst)}
}

// Counters returns the current totals.
func (c *Client) Counters() Counters {
	return Counters{
		Reads: c.reads.Load(), ReadsFailed: c.readsFailed.Load(), ReadsDelayed: c.readsDelayed.Load(), ReadBytes: c.readBytes.Load(),
	}
}

// Snapshot returns the newest published snapshot, or nil if there is none.
func (c *Client) Snapshot(ctx context.Context) ([]byte, error) {
	return c.get(ctx, SnapshotPath, nil, 0)
}

// Watch returns the records after a position. Without one, the service waits up
// to wait for the next record.
func (c *Client) Watch(ctx context.Context, after uint64, wait time.Duration) ([]currantturn.Record, error) {
	query := url.Values{"after": {strconv.FormatUint(after, 10)}, "wait": {wait.String()}}
	body, err := c.get(ctx, RecordsPath, query, wait)
	if err != nil {
		return nil, err
	}
	return decode[[]currantturn.Record](body)
}

// VMs returns the list of VMs, which may be out of date.
func (c *Client) VMs(ctx context.Context) ([]currantturn.VM, error) {
	body, err := c.get(ctx, VMsPath, nil, 0)
	if err != nil {
		return nil, err
	}
	return decode[[]currantturn.VM](body)
}

// decode reads JSON; it reports ErrMalformed.
func decode[T any](body []byte) (T, error) {
	var v T
	if err := json.Unmarshal(body, &v); err != nil {
		return v, eris.Wrap(currantturn.ErrMalformed, err.Error())
	}
	return v, nil
}

// get reads a path within the read budget. After a failure, later reads use the
// next URL.
func (c *Client) get(ctx context.Context, path string, query url.Values, wait time.Duration) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+c.opts.Timeout)
	defer cancel()
	if c.limiter.Tokens() < 1 {
		c.readsDelayed.Add(1)
	}
	if err := c.limiter.Wait(ctx); err != nil {
		return nil, eris.Wrap(currantturn.ErrUnavailable, "wait for the read budget: "+err.Error())
	}
	c.reads.Add(1)
	i := c.currentURL.Load()
	body, err := c.fetch(ctx, c.opts.URLs[int(i)%len(c.opts.URLs)], path, query)
	if err != nil {
		c.readsFailed.Add(1)
		c.currentURL.CompareAndSwap(i, i+1)
	}
	c.readBytes.Add(uint64(len(body)))
	return body, err
}

// fetch sends one GET request and returns the body of the reply, or nil for 204.
func (c *Client) fetch(ctx context.Context, base *url.URL, path string, query url.Values) ([]byte, error) {
	u := base.JoinPath(path)
	u.RawQuery = query.Encode()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, u.String(), nil)
	if err != nil {
		return nil, eris.Wrap(err, "create a platform request")
	}
	res, err := c.opts.HTTP.Do(r)
	if err != nil {
		return nil, eris.Wrap(currantturn.ErrUnavailable, err.Error())
	}
	defer func() { _ = res.Body.Close() }()
	switch res.StatusCode {
	case http.StatusOK:
	case http.StatusNoContent:
		return nil, nil
	default:
		return nil, eris.Wrapf(currantturn.ErrUnavailable, "platform replied with status %s", res.Status)
	}
	body, err := io.ReadAll(io.LimitReader(res.Body, maxValueBytes+1))
	if err != nil {
		return nil, eris.Wrap(currantturn.ErrUnavailable, err.Error())
	}
	if len(body) > maxValueBytes {
		return nil, eris.Wrapf(currantturn.ErrTooLarge, "%s is larger than %d bytes", path, maxValueBytes)
	}
	return body, nil
}
