package probe

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"

	"github.com/currantturn/currantturn"
	"github.com/currantturn/currantturn/internal/coordination/health"
	"github.com/rotisserie/eris"
)

// maxBodyBytes limits how much of an endpoint's reply is read.
const maxBodyBytes = 4 << 10

// Prober sends requests to the endpoints of one backend server.
type Prober struct {
	health *url.URL
	load   *url.URL
	client *http.Client
}

// New returns a prober; a URL is nil if the backend server has no such endpoint.
func New(health, load *url.URL) *Prober {
	return &Prober{health: health, load: load, client: &http.Client{}}
}

// HasHealth reports whether there is a health endpoint.
func (p *Prober) HasHealth() bool {
	return p.health != nil
}

// HasLoad reports whether there is a load endpoint.
func (p *Prober) HasLoad() bool {
	return p.load != nil
}

// Health requests the health endpoint. Status 2xx is good, 503 means that the
// backend server drains or sheds load, and anything else is a failure.
func (p *Prober) Health(ctx context.Context) health.ProbeResult {
	res, err := p.get(ctx, p.health)
	if err != nil {
		return health.Failed
	}
	defer discardBody(res)
	switch {
	case res.StatusCode >= 200 && res.StatusCode < 300:
		return health.Good
	case res.StatusCode == http.StatusServiceUnavailable:
		return health.Draining
	}
	return health.Failed
}

// loadReply is the reply of the load endpoint; Running is nil if it is missing.
type loadReply struct {
	Running *int `json:"running"`
}

// Load returns the number of running requests from the load endpoint; it reports
// ErrMalformed or ErrUnavailable.
func (p *Prober) Load(ctx context.Context) (int, error) {
	res, err := p.get(ctx, p.load)
	if err != nil {
		return 0, eris.Wrap(currantturn.ErrUnavailable, err.Error())
	}
	defer discardBody(res)
	var reply loadReply
	err = json.NewDecoder(io.LimitReader(res.Body, maxBodyBytes)).Decode(&reply)
	if err != nil || reply.Running == nil {
		return 0, eris.Wrap(currantturn.ErrMalformed, "reply of the load endpoint has no valid field running")
	}
	return *reply.Running, nil
}

func (p *Prober) get(ctx context.Context, u *url.URL) (*http.Response, error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, u.String(), nil)
	if err != nil {
		return nil, err
	}
	return p.client.Do(r)
}

// discardBody reads and closes the body, so that the connection can be used again.
func discardBody(res *http.Response) {
	_, _ = io.Copy(io.Discard, io.LimitReader(res.Body, maxBodyBytes))
	_ = res.Body.Close()
}
