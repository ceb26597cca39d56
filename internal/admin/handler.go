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

// errorBody is the body of the error responses of the handlers.
type errorBody struct {
	Code string `json:"code"`
	Text string `json:"text"`
}

// newHandler returns the router of the API. It responds with 405 to methods other
// than those in the patterns.
func newHandler(p *Providers) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+PathStatus, serveResource(p.Status))
	mux.HandleFunc("GET "+PathVersion, serveResource(configurationOf(p.Status)))
	mux.HandleFunc("GET "+PathVerdicts, serveList(p.Verdicts))
	mux.HandleFunc("GET "+PathMembers, serveList(p.Members))
	mux.HandleFunc("GET "+PathFlows, serveList(p.Flows))
	mux.HandleFunc("GET "+PathAudit, serveList(p.Audit))
	mux.HandleFunc("POST "+PathDryRun, p.serveDryRun)
	mux.HandleFunc("GET "+PathMetrics, p.serveMetrics)
	return mux
}

// configurationOf returns a provider of the configuration in a status.
func configurationOf(status func() Status) func() ConfigurationStatus {
	if status == nil {
		return nil
	}
	return func() ConfigurationStatus { return status().Configuration }
}

// serveResource returns a handler that responds with one resource.
func serveResource[T any](get func() T) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		if get == nil {
			writeNotProvided(w)
			return
		}
		writeJSON(w, http.StatusOK, get())
	}
}

// serveList returns a handler that responds with the newest entries of a list, up
// to the limit in the query.
func serveList[T any](get func(limit int) []T) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if get == nil {
			writeNotProvided(w)
			return
		}
		limit, err := parseLimit(r)
		if err != nil {
			writeError(w, http.StatusBadRequest, "bad_limit", err)
			return
		}
		entries := get(limit)
		if entries == nil {
			entries = []T{} // encoded as [] instead of null
		}
		writeJSON(w, http.StatusOK, entries)
	}
}

func parseLimit(r *http.Request) (int, error) {
	s := r.URL.Query().Get("limit")
	if s == "" {
		return defaultLimit, nil
	}
	n, err := strconv.Atoi(s)
	if err != nil || n < 1 || n > maxLimit {
		return 0, eris.Wrapf(currantturn.ErrMalformed, "limit %q is not between 1 and %d", s, maxLimit)
	}
	return n, nil
}

func (p *Providers) serveDryRun(w http.ResponseWriter, r *http.Request) {
	if p.DryRun == nil {
		writeNotProvided(w)
		return
	}
	against, err := strconv.ParseUint(r.URL.Query().Get("against"), 10, 64)
	if err != nil {
		writeError(w, http.StatusBadRequest, "bad_version", eris.Wrap(currantturn.ErrMalformed, "against is not a version number"))
		return
	}
	patch, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxPatchBytes))
	if tooLarge := (*http.MaxBytesError)(nil); errors.As(err, &tooLarge) {
		writeError(w, http.StatusRequestEntityTooLarge, "too_large", err)
		return
	}
	if err != nil {
		writeError(w, http.StatusBadRequest, "bad_body", err)
		return
	}
	verdict, err := p.DryRun(r.Context(), currantturn.Version(against), patch)
	if err != nil {
		writeError(w, http.StatusConflict, "not_in_force", err)
		return
	}
	writeJSON(w, http.StatusOK, verdict)
}

func (p *Providers) serveMetrics(w http.ResponseWriter, r *http.Request) {
	if p.Metrics == nil {
		writeNotProvided(w)
		return
	}
	p.Metrics.ServeHTTP(w, r)
}

func writeNotProvided(w http.ResponseWriter) {
	writeError(w, http.StatusNotImplemented, "not_provided", errors.New("this process does not provide the resource"))
}

func writeError(w http.ResponseWriter, status int, code string, err error) {
	writeJSON(w, status, errorBody{Code: code, Text: err.Error()})
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json; charset=utf-8")
	w.Header().Set("Cache-Control", "no-store")
	w.WriteHeader(status)
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	_ = e.Encode(body) // fails if the client has disconnected, which is not a fault of this process
}
