package core

import (
	"net/http"
	"net/netip"
	"time"

	"github.com/currantturn/currantturn"
	"github.com/currantturn/currantturn/internal/coordination/limit"
)

// bounds is the machine that keeps the agent's limits as the configuration
// has them.
type bounds Agent

// Configure takes the service's limits.
func (b *bounds) Configure(_ time.Time, v *currantturn.View, _ *currantturn.Effects) {
	s := v.Service(b.opts.Service)
	if s == nil {
		return
	}
	limits := b.opts.Limits
	limits.CallerFlows = s.Limits.FlowsPerCaller
	limits.HostFlows = s.Limits.FlowsPerBackend
	b.limiter.Configure(limits)
}

// Handle takes no control messages.
func (*bounds) Handle(time.Time, netip.AddrPort, currantturn.Message, *currantturn.Effects) {}

// Tick has nothing to do.
func (*bounds) Tick(time.Time, *currantturn.Effects) {}

// limited refuses a caller that has too many requests in progress.
func (a *Agent) limited(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		caller, err := netip.ParseAddrPort(r.RemoteAddr)
		if err != nil {
			http.Error(w, "no caller address", http.StatusBadRequest)
			return
		}
		addr := caller.Addr().Unmap()
		if v := a.limiter.BeginRequest(addr); v != limit.Allowed {
			refuse(w, r, v)
			return
		}
		defer a.limiter.EndRequest(addr)
		h.ServeHTTP(w, r)
	})
}
