package published

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"time"

	"github.com/currantturn/currantturn"
	"github.com/currantturn/currantturn/internal/coordination/statesync"
	"github.com/currantturn/currantturn/internal/transport/body"
	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"
)

const (
	// statePath is the HTTP path of the published state.
	statePath = "/published"
	// knownVersionParam is the query parameter with the version of the reader's routing.
	knownVersionParam = "known_version"
	// maxStateBytes limits the state that Read accepts; each value in the store may
	// have up to 1 MB.
	maxStateBytes = 16 << 20
	// maxPause limits the time until a response and pauses within it. A state with
	// thousands of routes takes seconds on a slow link.
	maxPause = time.Second
	// dialTimeout limits the connection set-up to a balancer, whose round trip is
	// a few milliseconds.
	dialTimeout = 300 * time.Millisecond
)

// stateEncoding encodes a State with times in RFC 3339 form, which keeps their
// fractions of a second.
var stateEncoding = mustEncMode()

func mustEncMode() cbor.EncMode {
	mode, err := cbor.EncOptions{Time: cbor.TimeRFC3339Nano}.EncMode()
	if err != nil {
		panic(err) // the options are fixed
	}
	return mode
}

// client opens a connection for each read: reads are rare, and an idle connection
// that no longer works would delay the next one.
var client = &http.Client{Transport: &http.Transport{
	DialContext:       (&net.Dialer{Timeout: dialTimeout}).DialContext,
	DisableKeepAlives: true,
}}

// Handler returns a handler that serves the newest state.
func Handler(state func() statesync.State) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+statePath, func(w http.ResponseWriter, r *http.Request) {
		s := state()
		s.Version = s.RoutingVersion()
		if r.URL.Query().Get(knownVersionParam) == strconv.FormatUint(uint64(s.Version), 10) {
			s.Routing = nil // the reader has it; by far the largest part, which changes rarely
		}
		body, err := stateEncoding.Marshal(s)
		if err != nil {
			http.Error(w, err.Error(), http.StatusInternalServerError)
			return
		}
		w.Header().Set("Content-Type", "application/cbor")
		_, _ = w.Write(body) // after an error the reader tries again
	})
	return mux
}

// Read returns the state of the balancer at an address, without the routing if
// that still has the known version.
func Read(ctx context.Context, addr netip.AddrPort, knownVersion currantturn.Version) (statesync.State, error) {
	var s statesync.State
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, fmt.Sprintf("http://%s%s?%s=%d", addr, statePath, knownVersionParam, knownVersion), nil)
	if err != nil {
		return s, eris.Wrap(err, "create a request for the published state")
	}
	header := time.AfterFunc(maxPause, cancel)
	defer header.Stop()
	res, err := client.Do(r)
	if err != nil {
		return s, eris.Wrap(currantturn.ErrUnavailable, err.Error())
	}
	defer res.Body.Close()
	header.Stop()
	content, err := body.Read(res.Body, maxStateBytes, maxPause, cancel)
	if err != nil || res.StatusCode != http.StatusOK {
		return s, eris.Wrapf(currantturn.ErrUnavailable, "read the published state: status %d, error %v", res.StatusCode, err)
	}
	if err := cbor.Unmarshal(content, &s); err != nil {
		return s, eris.Wrap(currantturn.ErrMalformed, err.Error())
	}
	return s, nil
}
