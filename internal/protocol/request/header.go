package request

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/currantturn/currantturn"
	"github.com/rotisserie/eris"
)

// Params are the parameters in a caller's headers.
type Params struct {
	Key        Key
	HasKey     bool
	Timeout    time.Duration
	Idempotent bool // the request may run more than once
	Watch      bool // the response is an endless stream
}

// NeedsClaim reports whether the request needs a claim before it runs.
func (p *Params) NeedsClaim() bool {
	return p.HasKey && !p.Idempotent
}

// Parse reads the parameters from a caller's headers, or returns ErrMalformed. A
// request with a key runs at most once, whatever its method, unless
// HeaderIdempotent is set explicitly.
func Parse(method string, h http.Header) (Params, error) {
	p := Params{Timeout: DefaultTimeout, Idempotent: idempotentMethod(method)}
	keys := h.Values(HeaderKey)
	if len(keys) > 1 {
		return p, eris.Wrap(currantturn.ErrMalformed, "more than one request key")
	}
	var err error
	if len(keys) == 1 {
		if p.Key, err = ParseKey(strings.TrimSpace(keys[0])); err != nil {
			return p, err
		}
		p.HasKey = true
		p.Idempotent = false
	}
	if p.Idempotent, err = parseBool(h, HeaderIdempotent, p.Idempotent); err != nil {
		return p, err
	}
	if p.Watch, err = parseBool(h, HeaderWatch, acceptsEvents(h)); err != nil {
		return p, err
	}
	p.Timeout, err = parseTimeout(h.Get(HeaderTimeout))
	return p, err
}

// idempotentMethod reports whether HTTP defines the method as idempotent.
func idempotentMethod(method string) bool {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodPut, http.MethodDelete:
		return true
	}
	return false
}

// acceptsEvents reports whether the caller requests a stream of server-sent events.
func acceptsEvents(h http.Header) bool {
	return strings.HasPrefix(strings.TrimSpace(h.Get("Accept")), "text/event-stream")
}

// parseBool reads a structured-field boolean; a missing header gives fallback.
func parseBool(h http.Header, name string, fallback bool) (bool, error) {
	switch strings.TrimSpace(h.Get(name)) {
	case "":
		return fallback, nil
	case "?1":
		return true, nil
	case "?0":
		return false, nil
	}
	return false, eris.Wrapf(currantturn.ErrMalformed, "%s is neither ?1 nor ?0", name)
}

// parseTimeout reads a number of seconds with up to three decimals; an empty
// value gives DefaultTimeout.
func parseTimeout(s string) (time.Duration, error) {
	s = strings.TrimSpace(s)
	if s == "" {
		return DefaultTimeout, nil
	}
	whole, fraction, _ := strings.Cut(s, ".")
	for len(fraction) < 3 {
		fraction += "0"
	}
	ms, err := strconv.ParseUint(whole+fraction, 10, 32)
	if err != nil || whole == "" || len(fraction) > 3 {
		return 0, eris.Wrapf(currantturn.ErrMalformed, "%s is not a number of seconds", HeaderTimeout)
	}
	d := time.Duration(ms) * time.Millisecond
	if d > MaxTimeout {
		return 0, eris.Wrapf(currantturn.ErrMalformed, "%s exceeds %s", HeaderTimeout, MaxTimeout)
	}
	return d, nil
}

// FormatTimeout formats a duration as a value of HeaderTimeout.
func FormatTimeout(d time.Duration) string {
	return strconv.FormatFloat(max(d, 0).Truncate(time.Millisecond).Seconds(), 'f', 3, 64)
}
