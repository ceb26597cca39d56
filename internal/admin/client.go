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

// Client is a client of the administration API of one process.
type Client struct {
	base string
	http *http.Client
}

// NewClient returns a client of the API at an address. It uses plain HTTP if cfg
// is nil.
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

// Read fetches one resource of the API, such as a Status from PathStatus.
func Read[T any](ctx context.Context, c *Client, path string) (T, error) {
	var v T
	err := c.get(ctx, path, &v)
	return v, err
}

func (c *Client) get(ctx context.Context, path string, result any) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.base+path, nil)
	if err != nil {
		return eris.Wrap(err, path)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return eris.Wrapf(currantturn.ErrUnavailable, "%s: %v", path, err)
	}
	defer resp.Body.Close()
	body := io.LimitReader(resp.Body, maxResponseBytes)
	if resp.StatusCode != http.StatusOK {
		var failure errorBody
		_ = json.NewDecoder(body).Decode(&failure)
		return eris.Wrapf(currantturn.ErrUnavailable, "%s: %s: %s", path, resp.Status, failure.Text)
	}
	if err := json.NewDecoder(body).Decode(result); err != nil {
		return eris.Wrapf(currantturn.ErrMalformed, "%s: %v", path, err)
	}
	return nil
}
