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

// maxBodyBytes bounds what is read of an endpoint's answer.
const maxBodyBytes = 4 << 10

// Prober asks one backend server's endpoints.
type Prober struct {
	health *url.URL
	load   *url.URL
	client *http.Client
}

// New returns a prober; a nil URL means that there is no such endpoint.
func New(health, load *url.URL) *Prober {
	return &Prober{health: health, load: load, client: &http.Client{}}
}

// HasHealth says whether there is a health endpoint.
func (p *Prober) HasHealth() bool {
	return p.health != nil
}

// HasLoad says whether there is a load endpoint.
func (p *Prober) HasLoad() bool {
	return p.load != nil
}

// Health asks the health endpoint: 2xx is good, 503 means that it drains or
// sheds, anything else is a failure.
func (p *Prober) Health(ctx context.Context) health.Answer {
	res, err := p.get(ctx, p.health)
	if err != nil {
		return health.Failed
	}
	defer drain(res)
	switch {
	case res.StatusCode >= 200 && res.StatusCode < 300:
		return health.Good
	case res.StatusCode == http.StatusServiceUnavailable:
		return health.Draining
	}
	return health.Failed
}

// told is the load endpoint's answer.
type told struct {
	Running *int `json:"running"`
}

// Load asks the load endpoint how many requests run; it reports ErrMalformed
// or ErrUnavailable.
func (p *Prober) Load(ctx context.Context) (int, error) {
	res, err := p.get(ctx, p.load)
	if err != nil {
		return 0, eris.Wrap(currantturn.ErrUnavailable, err.Error())
	}
	defer drain(res)
	var t told
	err = json.NewDecoder(io.LimitReader(res.Body, maxBodyBytes)).Decode(&t)
	if err != nil || t.Running == nil {
		return 0, eris.Wrap(currantturn.ErrMalformed, "answer of the load endpoint")
	}
	return *t.Running, nil
}

func (p *Prober) get(ctx context.Context, u *url.URL) (*http.Response, error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, u.String(), nil)
	if err != nil {
		return nil, err
	}
	return p.client.Do(r)
}

// drain lets the connection be used again.
func drain(res *http.Response) {
	_, _ = io.Copy(io.Discard, io.LimitReader(res.Body, maxBodyBytes))
	_ = res.Body.Close()
}
