package platform

import (
	"bytes"
	"context"
	"errors"
	"net/url"
	"os"
	"strings"

	"github.com/currantturn/currantturn"
	"github.com/currantturn/currantturn/internal/state/configuration"
	"github.com/currantturn/currantturn/pkg/patch"
	"github.com/rotisserie/eris"
)

// ErrNoVersion reports a version that the published log does not reach.
var ErrNoVersion = errors.New("version is not in the log")

// gzipMagic starts a snapshot; a log starts with a JSON array.
var gzipMagic = []byte{0x1f, 0x8b}

// Published returns the configuration of a version, from the service at a URL
// or from a file that holds a snapshot or a JSON array of records.
func Published(ctx context.Context, fileOrURL string, version currantturn.Version) (*patch.Configuration, error) {
	if !strings.HasPrefix(fileOrURL, "http://") && !strings.HasPrefix(fileOrURL, "https://") {
		return publishedFile(fileOrURL, version)
	}
	u, err := url.Parse(fileOrURL)
	if err != nil {
		return nil, eris.Wrap(currantturn.ErrMalformed, err.Error())
	}
	return publishedService(ctx, New(Options{URLs: []*url.URL{u}}), version)
}

func publishedFile(path string, version currantturn.Version) (*patch.Configuration, error) {
	p, err := os.ReadFile(path)
	if err != nil {
		return nil, eris.Wrap(err, "published log")
	}
	if bytes.HasPrefix(p, gzipMagic) {
		c, err := configuration.DecodeSnapshot(p)
		if err != nil {
			return nil, err
		}
		return reached(c, version)
	}
	records, err := decode[[]currantturn.Record](p)
	if err != nil {
		return nil, err
	}
	c, err := advance(&patch.Configuration{}, records, version)
	if err != nil {
		return nil, err
	}
	return reached(c, version)
}

func publishedService(ctx context.Context, c *Client, version currantturn.Version) (*patch.Configuration, error) {
	at := &patch.Configuration{}
	p, err := c.Snapshot(ctx)
	if err != nil {
		return nil, err
	}
	if len(p) > 0 {
		s, err := configuration.DecodeSnapshot(p)
		if err != nil {
			return nil, err
		}
		if s.Version <= version {
			at = s
		}
	}
	for {
		records, err := c.Watch(ctx, at.Position, 0)
		if err != nil {
			return nil, err
		}
		next, err := advance(at, records, version)
		if err != nil {
			return nil, err
		}
		if next.Position == at.Position {
			return reached(at, version)
		}
		at = next
	}
}

// advance folds records as long as the version is not exceeded.
func advance(c *patch.Configuration, records []currantturn.Record, version currantturn.Version) (*patch.Configuration, error) {
	for i := range records {
		next, _, err := c.Next(&records[i])
		if err != nil {
			return nil, err
		}
		if next.Version > version {
			break
		}
		c = next
	}
	return c, nil
}

func reached(c *patch.Configuration, version currantturn.Version) (*patch.Configuration, error) {
	if c.Version != version {
		return nil, eris.Wrapf(ErrNoVersion, "version %d; the log reaches %d", version, c.Version)
	}
	return c, nil
}
