package limit

import (
	"net/netip"
	"time"

	"github.com/currantturn/currantturn"
	"github.com/currantturn/currantturn/internal/event"
)

// Guard is a router that limits the opening packets of each caller before it calls
// the wrapped router, so that no caller can fill that router's flow table.
type Guard struct {
	currantturn.Router
	limiter *Limiter
}

// NewGuard returns a guard that wraps an agent's router.
func NewGuard(r currantturn.Router, l *Limiter) *Guard {
	return &Guard{Router: r, limiter: l}
}

// Route drops an opening packet from a balancer if its caller is above the limit,
// and passes all others on. Packets forwarded by another agent were counted there.
func (g *Guard) Route(now time.Time, from netip.AddrPort, e *currantturn.Envelope, out *currantturn.Effects) {
	if e.Hops == 0 && e.Direction == currantturn.ToBackend && e.Packet.Mark == currantturn.MarkOpening {
		caller := e.Packet.Flow.Caller.Addr()
		if g.limiter.AllowOpening(now, caller) != Allowed {
			out.Event(event.CallerLimitReached, event.F("caller", caller), event.F("service", e.Service),
				event.F("limit", g.limiter.limits.Load().OpeningsPerSecond))
			return
		}
	}
	g.Router.Route(now, from, e, out)
}
