package metric

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
)

// TextHandler returns a handler that serves the counters as lines of a name and a value,
// sorted by name.
func (r *Registry) TextHandler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/plain; charset=utf-8")
		if err := r.WriteText(w); err != nil {
			http.Error(w, err.Error(), http.StatusInternalServerError)
		}
	})
}

// WriteText writes each counter on a line of its own, as its name and its value.
func (r *Registry) WriteText(w io.Writer) error {
	var all map[string]any
	if err := json.Unmarshal([]byte(r.String()), &all); err != nil {
		return err
	}
	lines := flatten(nil, namespace, all)
	slices.Sort(lines)
	_, err := io.WriteString(w, strings.Join(lines, ""))
	return err
}

// flatten appends a line for each number in v, a decoded JSON value; the name of a
// nested number is its path, joined by underscores.
func flatten(lines []string, name string, v any) []string {
	switch v := v.(type) {
	case map[string]any:
		for key, inner := range v {
			lines = flatten(lines, name+"_"+key, inner)
		}
	case float64:
		lines = append(lines, fmt.Sprintf("%s %g\n", name, v))
	}
	return lines
}
