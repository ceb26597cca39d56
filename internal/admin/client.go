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

// Status reads the state of the process.
func (c *Client) Status(ctx context.Context) (Status, error) {
	var s Status
	err := c.get(ctx, PathStatus, &s)
	return s, err
}

// Members reads the processes that the process knows.
func (c *Client) Members(ctx context.Context) ([]Member, error) {
	var m []Member
	err := c.get(ctx, PathMembers, &m)
	return m, err
}

// Verdicts reads the newest verdicts of the process.
func (c *Client) Verdicts(ctx context.Context) ([]Verdict, error) {
	var v []Verdict
	err := c.get(ctx, PathVerdicts, &v)
	return v, err
}

// Flows reads the flows that the process knows, by backend server.
func (c *Client) Flows(ctx context.Context) ([]BackendFlows, error) {
	var f []BackendFlows
	err := c.get(ctx, PathFlows, &f)
	return f, err
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
