package metric

import (
	"expvar"
	"fmt"
	"net/http"
	"sync"
)

// Registry publishes the counters of one process under
// "currantturn.<subsystem>.<name>". One program may have several
// registries.
type Registry struct {
	vars *expvar.Map
}

// NewRegistry returns an empty registry.
func NewRegistry() *Registry {
	return &Registry{vars: new(expvar.Map).Init()}
}

// Publish adds the counters of a subsystem; snapshot is called at each read and
// returns their values. The subsystem must be one that docs/METRICS.md lists.
func (r *Registry) Publish(subsystem string, snapshot func() any) {
	r.vars.Set(subsystem, expvar.Func(snapshot))
}

// String returns all counters as JSON; it makes a Registry an expvar.Var.
func (r *Registry) String() string {
	return r.vars.String()
}

// ServeHTTP writes the program's expvar page, with the counters of this registry
// in place of those of the exposed one.
func (r *Registry) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json; charset=utf-8")
	fmt.Fprintf(w, "{\n%q: %s", namespace, r)
	expvar.Do(func(kv expvar.KeyValue) {
		if kv.Key != namespace {
			fmt.Fprintf(w, ",\n%q: %s", kv.Key, kv.Value)
		}
	})
	fmt.Fprint(w, "\n}\n")
}

// namespace is the common prefix of the names of all counters.
const namespace = "currantturn"

var exposeOnce sync.Once

// Expose also publishes the registry on the program's global expvar page. Only the
// first call in a program takes effect, since expvar panics on a repeated name.
func (r *Registry) Expose() {
	exposeOnce.Do(func() { expvar.Publish(namespace, r) })
}
