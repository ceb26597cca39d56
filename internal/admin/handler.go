package admin

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"

	"github.com/currantturn/currantturn"
	"github.com/rotisserie/eris"
)

// problem is the body of every answer that is not a success.
type problem struct {
	Code string `json:"code"`
	Text string `json:"text"`
}

// newHandler routes the API; the patterns refuse other methods with 405.
func newHandler(p *Providers) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+PathStatus, read(p.Status))
	mux.HandleFunc("GET "+PathVersion, read(versionOf(p.Status)))
	mux.HandleFunc("GET "+PathVerdicts, list(p.Verdicts))
	mux.HandleFunc("GET "+PathMembers, list(p.Members))
	mux.HandleFunc("GET "+PathFlows, list(p.Flows))
	mux.HandleFunc("GET "+PathAudit, list(p.Audit))
	mux.HandleFunc("POST "+PathDryRun, p.dryRun)
	mux.HandleFunc("GET "+PathMetrics, p.metrics)
	return mux
}

func versionOf(status func() Status) func() Configuration {
	if status == nil {
		return nil
	}
	return func() Configuration { return status().Configuration }
}

// read serves one resource.
func read[T any](get func() T) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		if get == nil {
			notProvided(w)
			return
		}
		write(w, http.StatusOK, get())
	}
}

// list serves the newest entries of a resource, as many as the query's limit.
func list[T any](get func(limit int) []T) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if get == nil {
			notProvided(w)
			return
		}
		limit, err := limitOf(r)
		if err != nil {
			refuse(w, http.StatusBadRequest, "bad_limit", err)
			return
		}
		all := get(limit)
		if all == nil {
			all = []T{} // an empty list rather than null
		}
		write(w, http.StatusOK, all)
	}
}

func limitOf(r *http.Request) (int, error) {
	s := r.URL.Query().Get("limit")
	if s == "" {
		return defaultLimit, nil
	}
	n, err := strconv.Atoi(s)
	if err != nil || n < 1 || n > maxLimit {
		return 0, eris.Wrapf(currantturn.ErrMalformed, "limit %q is not within 1 and %d", s, maxLimit)
	}
	return n, nil
}

func (p *Providers) dryRun(w http.ResponseWriter, r *http.Request) {
	if p.DryRun == nil {
		notProvided(w)
		return
	}
	against, err := strconv.ParseUint(r.URL.Query().Get("against"), 10, 64)
	if err != nil {
		refuse(w, http.StatusBadRequest, "bad_version", eris.Wrap(currantturn.ErrMalformed, "against is not a version number"))
		return
	}
	patch, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxPatchBytes))
	if tooLarge := (*http.MaxBytesError)(nil); errors.As(err, &tooLarge) {
		refuse(w, http.StatusRequestEntityTooLarge, "too_large", err)
		return
	}
	if err != nil {
		refuse(w, http.StatusBadRequest, "bad_body", err)
		return
	}
	verdict, err := p.DryRun(r.Context(), currantturn.Version(against), patch)
	if err != nil {
		refuse(w, http.StatusConflict, "not_in_force", err)
		return
	}
	write(w, http.StatusOK, verdict)
}

func (p *Providers) metrics(w http.ResponseWriter, r *http.Request) {
	if p.Metrics == nil {
		notProvided(w)
		return
	}
	p.Metrics.ServeHTTP(w, r)
}

func notProvided(w http.ResponseWriter) {
	refuse(w, http.StatusNotImplemented, "not_provided", errors.New("this process does not provide the resource"))
}

func refuse(w http.ResponseWriter, status int, code string, err error) {
	write(w, status, problem{Code: code, Text: err.Error()})
}

func write(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json; charset=utf-8")
	w.Header().Set("Cache-Control", "no-store")
	w.WriteHeader(status)
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	_ = e.Encode(body) // a client that left is no fault of the process
}
