package metric

import (
	"expvar"
	"fmt"
	"net/http"
	"sync"
)

// Registry publishes the counters of one process under
// "currantturn.<subsystem>.<name>"; several may live in one program.
type Registry struct {
	vars *expvar.Map
}

// NewRegistry returns an empty registry.
func NewRegistry() *Registry {
	return &Registry{vars: new(expvar.Map).Init()}
}

// Publish makes a subsystem's snapshot readable; the snapshot is taken at each
// read. The subsystem is the one that the catalogue of metrics names.
func (r *Registry) Publish(subsystem string, snapshot func() any) {
	r.vars.Set(subsystem, expvar.Func(snapshot))
}

// String returns all counters as JSON, so that a registry is an expvar.Var.
func (r *Registry) String() string {
	return r.vars.String()
}

// ServeHTTP writes the program's expvar page with this registry in it.
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

const namespace = "currantturn"

var exposeOnce sync.Once

// Expose also publishes the registry in the program's global expvar page; the
// first one exposed stays.
func (r *Registry) Expose() {
	exposeOnce.Do(func() { expvar.Publish(namespace, r) })
}
