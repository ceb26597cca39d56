package core

import (
	"net/http"
	"net/netip"
	"time"

	"github.com/currantturn/currantturn"
	"github.com/currantturn/currantturn/internal/coordination/limit"
)

// limitUpdater is the machine that sets the agent's limits from each
// configuration.
type limitUpdater Agent

// Configure sets the flow limits from the service's configuration.
func (u *limitUpdater) Configure(_ time.Time, v *currantturn.View, _ *currantturn.Effects) {
	s := v.Service(u.opts.Service)
	if s == nil {
		return
	}
	limits := u.opts.Limits
	limits.CallerFlows = s.Limits.FlowsPerCaller
	limits.HostFlows = s.Limits.FlowsPerBackend
	u.limiter.Configure(limits)
}

// Handle does nothing: no control message is for this machine.
func (*limitUpdater) Handle(time.Time, netip.AddrPort, currantturn.Message, *currantturn.Effects) {}

// Tick does nothing.
func (*limitUpdater) Tick(time.Time, *currantturn.Effects) {}

// limitRequests refuses a caller that has too many requests in progress.
func (a *Agent) limitRequests(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		caller, err := netip.ParseAddrPort(r.RemoteAddr)
		if err != nil {
			http.Error(w, "no caller address", http.StatusBadRequest)
			return
		}
		addr := caller.Addr().Unmap()
		if verdict := a.limiter.BeginRequest(addr); verdict != limit.Allowed {
			refuseRequest(w, r, verdict)
			return
		}
		defer a.limiter.EndRequest(addr)
		next.ServeHTTP(w, r)
	})
}
