package published

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"time"

	"github.com/currantturn/currantturn"
	"github.com/currantturn/currantturn/internal/coordination/statesync"
	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"
)

const (
	path = "/published"
	// knownVersion is the parameter with the version of the reader's routing.
	knownVersion = "known_version"
	// maxStateBytes bounds a state: the store's values hold up to 1 MB each.
	maxStateBytes = 16 << 20
	// dialTimeout bounds the connection to a balancer milliseconds away.
	dialTimeout = 300 * time.Millisecond
)

// encoding keeps the milliseconds of a time.
var encoding = mustEncoding()

func mustEncoding() cbor.EncMode {
	m, err := cbor.EncOptions{Time: cbor.TimeRFC3339Nano}.EncMode()
	if err != nil {
		panic(err) // the options are fixed
	}
	return m
}

// client opens a connection for each read: pulls are rare, and a connection
// that went silent would hold the next one up.
var client = &http.Client{Transport: &http.Transport{
	DialContext:       (&net.Dialer{Timeout: dialTimeout}).DialContext,
	DisableKeepAlives: true,
}}

// Handler serves the newest state.
func Handler(state func() statesync.State) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+path, func(w http.ResponseWriter, r *http.Request) {
		s := state()
		s.Version = s.Known()
		if r.URL.Query().Get(knownVersion) == strconv.FormatUint(uint64(s.Version), 10) {
			s.Routing = nil // by far the largest part, which changes rarely
		}
		body, err := encoding.Marshal(s)
		if err != nil {
			http.Error(w, err.Error(), http.StatusInternalServerError)
			return
		}
		w.Header().Set("Content-Type", "application/cbor")
		_, _ = w.Write(body) // the reader tries again
	})
	return mux
}

// Read reads the state of the balancer at an address; the routing is left out
// if it has the known version.
func Read(ctx context.Context, at netip.AddrPort, known currantturn.Version) (statesync.State, error) {
	var s statesync.State
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, fmt.Sprintf("http://%s%s?%s=%d", at, path, knownVersion, known), nil)
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
