package request

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/currantturn/currantturn"
	"github.com/rotisserie/eris"
)

// Params are what a caller's headers ask for.
type Params struct {
	Key        Key
	HasKey     bool
	Timeout    time.Duration
	Idempotent bool
	Watch      bool
}

// Claimed says whether the request needs a claim before it runs.
func (p *Params) Claimed() bool {
	return p.HasKey && !p.Idempotent
}

// Parse reads a caller's headers; it reports ErrMalformed. A key without an
// explicit HeaderIdempotent makes any method run at most once.
func Parse(method string, h http.Header) (Params, error) {
	p := Params{Timeout: DefaultTimeout, Idempotent: safe(method)}
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

func safe(method string) bool {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodPut, http.MethodDelete:
		return true
	}
	return false
}

func acceptsEvents(h http.Header) bool {
	return strings.HasPrefix(strings.TrimSpace(h.Get("Accept")), "text/event-stream")
}

func parseBool(h http.Header, name string, missing bool) (bool, error) {
	switch strings.TrimSpace(h.Get(name)) {
	case "":
		return missing, nil
	case "?1":
		return true, nil
	case "?0":
		return false, nil
	}
	return false, eris.Wrapf(currantturn.ErrMalformed, "%s is neither ?1 nor ?0", name)
}

// parseTimeout reads seconds with up to three decimals.
func parseTimeout(s string) (time.Duration, error) {
	s = strings.TrimSpace(s)
	if s == "" {
		return DefaultTimeout, nil
	}
	whole, part, _ := strings.Cut(s, ".")
	for len(part) < 3 {
		part += "0"
	}
	ms, err := strconv.ParseUint(whole+part, 10, 32)
	if err != nil || whole == "" || len(part) > 3 {
		return 0, eris.Wrapf(currantturn.ErrMalformed, "%s is not a number of seconds", HeaderTimeout)
	}
	d := time.Duration(ms) * time.Millisecond
	if d > MaxTimeout {
		return 0, eris.Wrapf(currantturn.ErrMalformed, "%s is above %s", HeaderTimeout, MaxTimeout)
	}
	return d, nil
}

// FormatTimeout writes a duration as HeaderTimeout has it.
func FormatTimeout(d time.Duration) string {
	return strconv.FormatFloat(max(d, 0).Truncate(time.Millisecond).Seconds(), 'f', 3, 64)
}
