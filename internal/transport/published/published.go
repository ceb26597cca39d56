package published

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/currantturn/currantturn"
	"github.com/currantturn/currantturn/internal/coordination/publication"
	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"
)

const (
	path = "/published"
	// maxStateBytes bounds a state: the store's values hold up to 1 MB each.
	maxStateBytes = 16 << 20
	// dialTimeout bounds the connection to a balancer milliseconds away.
	dialTimeout = 300 * time.Millisecond
)

// client opens a connection for each read: pulls are rare, and a connection
// that went silent would hold the next one up.
var client = &http.Client{Transport: &http.Transport{
	DialContext:       (&net.Dialer{Timeout: dialTimeout}).DialContext,
	DisableKeepAlives: true,
}}

// Handler serves the newest state.
func Handler(state func() publication.State) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+path, func(w http.ResponseWriter, _ *http.Request) {
		body, err := cbor.Marshal(state())
		if err != nil {
			http.Error(w, err.Error(), http.StatusInternalServerError)
			return
		}
		w.Header().Set("Content-Type", "application/cbor")
		_, _ = w.Write(body) // the reader tries again
	})
	return mux
}

// Read reads the state of the balancer at an address.
func Read(ctx context.Context, at netip.AddrPort) (publication.State, error) {
	var s publication.State
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+at.String()+path, nil)
	if err != nil {
		return s, eris.Wrap(err, "request for the published state")
	}
	w, err := client.Do(r)
	if err != nil {
		return s, eris.Wrap(currantturn.ErrUnavailable, err.Error())
	}
	defer w.Body.Close()
	body, err := io.ReadAll(io.LimitReader(w.Body, maxStateBytes))
	if err != nil || w.StatusCode != http.StatusOK {
		return s, eris.Wrapf(currantturn.ErrUnavailable, "status %d, error %v", w.StatusCode, err)
	}
	if err := cbor.Unmarshal(body, &s); err != nil {
		return s, eris.Wrap(currantturn.ErrMalformed, err.Error())
	}
	return s, nil
}
