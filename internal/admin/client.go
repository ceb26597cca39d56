package admin

import (
	"context"
	"crypto/tls"
	"encoding/json"
	"io"
	"net/http"
	"net/netip"

	"github.com/currantturn/currantturn"
	"github.com/rotisserie/eris"
)

// Client reads the administration API of one process.
type Client struct {
	base string
	http *http.Client
}

// NewClient returns a client of the API at an address; no TLS configuration
// means plain HTTP.
func NewClient(address netip.AddrPort, cfg *tls.Config) *Client {
	scheme := "https"
	if cfg == nil {
		scheme = "http"
	}
	return &Client{
		base: scheme + "://" + address.String(),
		http: &http.Client{
			Timeout:   clientTimeout,
			Transport: &http.Transport{TLSClientConfig: cfg, DisableKeepAlives: true},
			CheckRedirect: func(*http.Request, []*http.Request) error {
				return http.ErrUseLastResponse
			},
		},
	}
}

// Read returns one resource of the API, such as a Status from PathStatus.
func Read[T any](ctx context.Context, c *Client, path string) (T, error) {
	var v T
	err := c.get(ctx, path, &v)
	return v, err
}

func (c *Client) get(ctx context.Context, path string, into any) error {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, c.base+path, nil)
	if err != nil {
		return eris.Wrap(err, path)
	}
	w, err := c.http.Do(r)
	if err != nil {
		return eris.Wrapf(currantturn.ErrUnavailable, "%s: %v", path, err)
	}
	defer w.Body.Close()
	body := io.LimitReader(w.Body, maxResponseBytes)
	if w.StatusCode != http.StatusOK {
		var p problem
		_ = json.NewDecoder(body).Decode(&p)
		return eris.Wrapf(currantturn.ErrUnavailable, "%s: %s: %s", path, w.Status, p.Text)
	}
	if err := json.NewDecoder(body).Decode(into); err != nil {
		return eris.Wrapf(currantturn.ErrMalformed, "%s: %v", path, err)
	}
	return nil
}
