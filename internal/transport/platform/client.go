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

// Options are the settings of a Client; zero values stand for defaults.
type Options struct {
	URLs           []*url.URL // tried in turn, the next after a failure
	HTTP           *http.Client
	Timeout        time.Duration // of a read beyond its wait
	ReadsPerSecond float64
}

// Counters counts the reads of a Client.
type Counters struct {
	Reads        uint64 `json:"reads"`         // reads of the platform
	ReadsFailed  uint64 `json:"reads_failed"`  // reads that failed
	ReadsDelayed uint64 `json:"reads_delayed"` // reads that waited for the read budget
	ReadBytes    uint64 `json:"read_bytes"`    // bytes read
}

// Client reads the platform's service; it implements currantturn.Platform.
type Client struct {
	opts    Options
	limiter *rate.Limiter
	current atomic.Uint32 // index of the URL in use

	reads, failed, delayed, bytes atomic.Uint64
}

var _ currantturn.Platform = (*Client)(nil)

// New returns a client of the service.
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
	return &Client{opts: opts, limiter: rate.NewLimiter(rate.Limit(opts.ReadsPerSecond), readBurst)}
}

// Counters returns a snapshot of the counters.
func (c *Client) Counters() Counters {
	return Counters{
		Reads: c.reads.Load(), ReadsFailed: c.failed.Load(), ReadsDelayed: c.delayed.Load(), ReadBytes: c.bytes.Load(),
	}
}

// Snapshot returns the newest published snapshot, empty when there is none.
func (c *Client) Snapshot(ctx context.Context) ([]byte, error) {
	return c.get(ctx, SnapshotPath, nil, 0)
}

// Watch returns the records after a position, waiting up to wait for one.
func (c *Client) Watch(ctx context.Context, after uint64, wait time.Duration) ([]currantturn.Record, error) {
	query := url.Values{"after": {strconv.FormatUint(after, 10)}, "wait": {wait.String()}}
	p, err := c.get(ctx, RecordsPath, query, wait)
	if err != nil {
		return nil, err
	}
	return decode[[]currantturn.Record](p)
}

// VMs returns the lagging list of VMs.
func (c *Client) VMs(ctx context.Context) ([]currantturn.VM, error) {
	p, err := c.get(ctx, VMsPath, nil, 0)
	if err != nil {
		return nil, err
	}
	return decode[[]currantturn.VM](p)
}

func decode[T any](p []byte) (T, error) {
	var v T
	if err := json.Unmarshal(p, &v); err != nil {
		return v, eris.Wrap(currantturn.ErrMalformed, err.Error())
	}
	return v, nil
}

func (c *Client) get(ctx context.Context, path string, query url.Values, wait time.Duration) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+c.opts.Timeout)
	defer cancel()
	if c.limiter.Tokens() < 1 {
		c.delayed.Add(1)
	}
	if err := c.limiter.Wait(ctx); err != nil {
		return nil, eris.Wrap(currantturn.ErrUnavailable, "read budget: "+err.Error())
	}
	c.reads.Add(1)
	i := c.current.Load()
	p, err := c.fetch(ctx, c.opts.URLs[int(i)%len(c.opts.URLs)], path, query)
	if err != nil {
		c.failed.Add(1)
		c.current.CompareAndSwap(i, i+1)
	}
	c.bytes.Add(uint64(len(p)))
	return p, err
}

func (c *Client) fetch(ctx context.Context, base *url.URL, path string, query url.Values) ([]byte, error) {
	u := base.JoinPath(path)
	u.RawQuery = query.Encode()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, u.String(), nil)
	if err != nil {
		return nil, eris.Wrap(err, "platform request")
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
		return nil, eris.Wrapf(currantturn.ErrUnavailable, "platform answered %s", res.Status)
	}
	p, err := io.ReadAll(io.LimitReader(res.Body, maxValueBytes+1))
	if err != nil {
		return nil, eris.Wrap(currantturn.ErrUnavailable, err.Error())
	}
	if len(p) > maxValueBytes {
		return nil, eris.Wrapf(currantturn.ErrTooLarge, "%s of more than %d bytes", path, maxValueBytes)
	}
	return p, nil
}
